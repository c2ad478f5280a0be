"""Guaranteed shares of the ranks, accounted in cost seconds."""

from collections.abc import Collection
from dataclasses import dataclass, field

from bramleyport.core import Rank


@dataclass(slots=True)
class RankShares:
    """Track how much service each waiting rank is owed.

    A waiting rank earns its share of all cost taken and pays for its own. The debt of a
    rank never exceeds its latest item, so capacity borrowed while others were idle is
    not paid back when they return.
    """

    shares: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))
    owed_s: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))

    def set_share(self, rank: Rank, share: float) -> None:
        """Take the guaranteed share of a rank from its service record."""
        self.shares[rank] = min(1.0, max(0.0, share))

    def get_share(self, rank: Rank) -> float:
        """Return the share of a rank, scaled down when all exceed the whole."""
        return self.shares[rank] / max(1.0, sum(self.shares.values()))

    def is_owed(self, rank: Rank) -> bool:
        """Return whether a rank has had less than its share."""
        return self.owed_s[rank] > 0.0

    def choose(self, waiting: Collection[Rank]) -> Rank:
        """Return the rank to serve: one that is owed service, else the most urgent."""
        owed = [rank for rank in waiting if self.is_owed(rank)]
        if owed:
            return max(owed, key=lambda rank: (self.owed_s[rank], -rank.priority))
        return min(waiting, key=lambda rank: rank.priority)

    def charge(self, rank: Rank, cost_s: float, waiting: Collection[Rank]) -> None:
        """Account for one item of a rank while the given ranks were waiting."""
        for other in waiting:
            self.owed_s[other] += self.get_share(other) * cost_s
        self.owed_s[rank] = max(self.owed_s[rank] - cost_s, -cost_s)

    def clear_idle(self, waiting: Collection[Rank]) -> None:
        """Forget what ranks without queued work were owed."""
        for rank in Rank:
            if rank not in waiting:
                self.owed_s[rank] = min(0.0, self.owed_s[rank])
