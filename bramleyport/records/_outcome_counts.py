"""Counts of requests by outcome, to be summed over processes."""

from collections import Counter
from collections.abc import Iterable, Mapping

from bramleyport.core import Outcome, Rank, ServiceName
from bramleyport.records._status import RankCounts

# The order of packed counts in messages between processes.
_PACKED_ORDER = [(rank, outcome) for rank in Rank for outcome in Outcome]

Counts = Counter[tuple[Rank, Outcome]]


class CountTracker:
    """Track how many requests of each service and rank had which outcome."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, Counts] = {}

    def __bool__(self) -> bool:
        return bool(self._services)

    def add(
        self, service: ServiceName, rank: Rank, outcome: Outcome, count: int = 1
    ) -> None:
        """Add to one of the counts."""
        self._services.setdefault(service, Counter())[rank, outcome] += count

    def add_packed(self, service: ServiceName, numbers: Iterable[int]) -> None:
        """Add numbers in the order that `take_packed` returns."""
        # A newer version may append outcomes, which are ignored here.
        for (rank, outcome), number in zip(_PACKED_ORDER, numbers, strict=False):
            if number > 0:
                self.add(service, rank, outcome, number)

    def take_packed(self) -> list[tuple[ServiceName, tuple[int, ...]]]:
        """Remove and return all counts of each service, in a fixed order."""
        services, self._services = self._services, {}
        return [
            (name, tuple(counts[key] for key in _PACKED_ORDER))
            for name, counts in services.items()
        ]

    def get_rank_counts(self, service: ServiceName) -> dict[Rank, RankCounts]:
        """Return the counts of a service by rank."""
        counts = self._services.get(service, Counter())
        return {
            rank: RankCounts(**{o.value: counts[rank, o] for o in Outcome})
            for rank in Rank
            if any(counts[rank, outcome] for outcome in Outcome)
        }

    def add_ranks(self, service: ServiceName, ranks: Mapping[Rank, RankCounts]) -> None:
        """Add the counts of one service by rank."""
        for rank, counts in ranks.items():
            for outcome in Outcome:
                number = getattr(counts, outcome.value)
                if number:
                    self.add(service, rank, outcome, number)

    def take(self, service: ServiceName) -> dict[Rank, RankCounts]:
        """Remove and return the counts of a service by rank."""
        counts = self.get_rank_counts(service)
        self._services.pop(service, None)
        return counts


def add_ranks(
    first: Mapping[Rank, RankCounts], second: Mapping[Rank, RankCounts]
) -> dict[Rank, RankCounts]:
    """Return the sum of two sets of counts."""
    no_counts = RankCounts()
    return {
        rank: RankCounts(
            **{
                o.value: getattr(first.get(rank, no_counts), o.value)
                + getattr(second.get(rank, no_counts), o.value)
                for o in Outcome
            }
        )
        for rank in Rank
        if rank in first or rank in second
    }
