"""Guaranteed shares of the ranks, accounted in cost seconds."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import Rank

DEMAND_WINDOW_S: Final = 5.0
# About two requests of a thousand prompt tokens; it bounds how long the first burst of
# a rank can hold up more urgent work.
MAX_IDLE_CREDIT_S: Final = 0.4
# An engine may be slower than a target even without other work; holding work back does
# not help there, so work of a rank without a guarantee still proceeds slowly.
MIN_HELD_SHARE: Final = 0.05


@dataclass(slots=True)
class RankShares:
    """Track how much service each waiting rank is owed.

    A rank with demand earns its share of all cost taken and pays for its own. The debt
    of a rank never exceeds its latest item, so capacity borrowed while others were idle
    is not paid back when they return. Demand lasts a few seconds beyond the last
    request: with a short deadline only one or two items wait at a time, and a share
    that was lost whenever the queue was empty for a moment would stay unused.
    """

    shares: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))
    owed_s: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))
    demand_s: dict[Rank, float] = field(
        default_factory=lambda: dict.fromkeys(Rank, -math.inf)
    )
    _unused_s: float = 0.0

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

    def record_demand(self, rank: Rank, now_s: float) -> None:
        """Note that work of a rank was offered."""
        self.demand_s[rank] = now_s

    def credit_held(self, ranks: Collection[Rank], capacity_s: float) -> None:
        """Credit ranks for capacity that went unused while they were held back.

        Without this a held rank would be owed a share of what others took rather than
        of the capacity.
        """
        if not ranks:
            self._unused_s = 0.0
            return
        self._unused_s += capacity_s
        if self._unused_s <= 0.0:
            return
        for rank in ranks:
            share = max(MIN_HELD_SHARE, self.get_share(rank))
            self.owed_s[rank] += share * self._unused_s
        self._unused_s = 0.0

    def sum_demand_below(self, rank: Rank, now_s: float) -> float:
        """Return the shares of the less urgent ranks that have demand."""
        return sum(
            self.get_share(other)
            for other in Rank
            if other.priority > rank.priority
            and now_s - self.demand_s[other] <= DEMAND_WINDOW_S
        )

    def charge(
        self, rank: Rank, cost_s: float, waiting: Collection[Rank], now_s: float
    ) -> None:
        """Account for one item of a rank while the given ranks were waiting."""
        for other in Rank:
            owed_s = self.owed_s[other]
            if other in waiting:
                self.owed_s[other] = owed_s + self.get_share(other) * cost_s
            elif now_s - self.demand_s[other] <= DEMAND_WINDOW_S:
                earned_s = owed_s + self.get_share(other) * cost_s
                self.owed_s[other] = min(max(owed_s, MAX_IDLE_CREDIT_S), earned_s)
            else:
                self.owed_s[other] = min(0.0, owed_s)
        self.owed_s[rank] = max(self.owed_s[rank] - cost_s, -cost_s)
        self._unused_s -= cost_s
