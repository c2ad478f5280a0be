"""Count how requests ended, by service and rank."""

from collections import Counter
from enum import Enum

from bramleyport.core import Rank, ServiceName, Work
from bramleyport.records import RankCounts


class Outcome(str, Enum):
    """Name how a request ended, as its record's status counts it."""

    IN_TIME = "in_time"
    LATE = "late"
    REJECTED = "rejected"


class OutcomeCounter:
    """Hold the counts of one process."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[ServiceName, Rank, Outcome]] = Counter()

    def count(self, service: ServiceName, rank: Rank, outcome: Outcome) -> None:
        """Count one request."""
        self._counts[service, rank, outcome] += 1

    def count_answer(
        self, work: Work, first_token_s: float | None, answer_s: float
    ) -> None:
        """Count an answered request as in time or late."""
        in_time = answer_s <= work.targets.answer_s
        if first_token_s is not None and first_token_s > work.targets.first_token_s:
            in_time = False
        outcome = Outcome.IN_TIME if in_time else Outcome.LATE
        self.count(work.service, work.rank, outcome)

    def read(self, service: ServiceName) -> dict[Rank, RankCounts]:
        """Return the counts of a service by rank."""
        return {
            rank: RankCounts(
                in_time=self._counts[service, rank, Outcome.IN_TIME],
                late=self._counts[service, rank, Outcome.LATE],
                rejected=self._counts[service, rank, Outcome.REJECTED],
            )
            for rank in Rank
            if any(self._counts[service, rank, outcome] for outcome in Outcome)
        }
