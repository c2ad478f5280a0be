"""Counts of requests that add up over processes."""

from collections import Counter
from collections.abc import Iterable, Mapping

from bramleyport.core import Outcome, Rank, ServiceName
from bramleyport.records._status import RankCounts

# The order of the numbers between processes.
_ORDER = [(rank, outcome) for rank in Rank for outcome in Outcome]

Counts = Counter[tuple[Rank, Outcome]]


class CountBook:
    """Hold how many requests of each service and rank ended in which way."""

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
        # A later version may append outcomes, which this one leaves out.
        for (rank, outcome), number in zip(_ORDER, numbers, strict=False):
            if number > 0:
                self.add(service, rank, outcome, number)

    def take_packed(self) -> list[tuple[ServiceName, tuple[int, ...]]]:
        """Remove and return all counts as numbers in a fixed order."""
        services, self._services = self._services, {}
        return [
            (name, tuple(counts[key] for key in _ORDER))
            for name, counts in services.items()
        ]

    def read(self, service: ServiceName) -> dict[Rank, RankCounts]:
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
        counts = self.read(service)
        self._services.pop(service, None)
        return counts


def add_ranks(
    first: Mapping[Rank, RankCounts], second: Mapping[Rank, RankCounts]
) -> dict[Rank, RankCounts]:
    """Return the sum of two sets of counts."""
    none = RankCounts()
    return {
        rank: RankCounts(
            **{
                o.value: getattr(first.get(rank, none), o.value)
                + getattr(second.get(rank, none), o.value)
                for o in Outcome
            }
        )
        for rank in Rank
        if rank in first or rank in second
    }
