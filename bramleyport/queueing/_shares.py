"""Guaranteed shares of the ranks, measured in seconds of cost."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import Rank

DEMAND_WINDOW_S: Final = 5.0
# The cost of about two requests with a thousand prompt tokens each. It bounds how long
# the first burst of a rank can delay more urgent work.
MAX_IDLE_CREDIT_S: Final = 0.4
# Minimum share credited to a rank that is held back. An engine may miss a target even
# without other work, and then holding a rank back would not help, so a rank without a
# guaranteed share still makes slow progress.
MIN_HELD_BACK_SHARE: Final = 0.05


@dataclass(slots=True)
class RankShares:
    """Track how much service each waiting rank is owed.

    A rank with demand is credited its share of the cost of every item that starts, and
    is charged the cost of its own items. Its debt never exceeds the cost of its latest
    item, so it does not pay back capacity that it used while other ranks were idle.
    A rank counts as having demand for a few seconds after its last request: with short
    deadlines only one or two items wait at a time, and a rank that lost its credit each
    time its queue was empty for a moment would not get its share.
    """

    shares: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))
    owed_s: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(Rank, 0.0))
    last_demand_s: dict[Rank, float] = field(
        default_factory=lambda: dict.fromkeys(Rank, -math.inf)
    )
    _unused_capacity_s: float = 0.0

    def set_share(self, rank: Rank, share: float) -> None:
        """Set the guaranteed share of a rank, as given in the service record."""
        self.shares[rank] = min(1.0, max(0.0, share))

    def get_share(self, rank: Rank) -> float:
        """Return the share of a rank, scaled down if the shares exceed 1 in total."""
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
        """Record that work of a rank was offered."""
        self.last_demand_s[rank] = now_s

    def credit_held_back(self, ranks: Collection[Rank], capacity_s: float) -> None:
        """Credit ranks for capacity that was unused while they were held back.

        Without this a rank that is held back would be owed a share of the cost that
        others took instead of a share of the capacity.
        """
        if not ranks:
            self._unused_capacity_s = 0.0
            return
        self._unused_capacity_s += capacity_s
        if self._unused_capacity_s <= 0.0:
            return
        for rank in ranks:
            share = max(MIN_HELD_BACK_SHARE, self.get_share(rank))
            self.owed_s[rank] += share * self._unused_capacity_s
        self._unused_capacity_s = 0.0

    def sum_demand_below(self, rank: Rank, now_s: float) -> float:
        """Return the shares of the less urgent ranks that have demand."""
        return sum(
            self.get_share(other)
            for other in Rank
            if other.priority > rank.priority
            and now_s - self.last_demand_s[other] <= DEMAND_WINDOW_S
        )

    def charge(
        self, rank: Rank, cost_s: float, waiting: Collection[Rank], now_s: float
    ) -> None:
        """Charge a rank for one item and credit the waiting ranks their shares."""
        for other in Rank:
            owed_s = self.owed_s[other]
            if other in waiting:
                self.owed_s[other] = owed_s + self.get_share(other) * cost_s
            elif now_s - self.last_demand_s[other] <= DEMAND_WINDOW_S:
                earned_s = owed_s + self.get_share(other) * cost_s
                self.owed_s[other] = min(max(owed_s, MAX_IDLE_CREDIT_S), earned_s)
            else:
                self.owed_s[other] = min(0.0, owed_s)
        self.owed_s[rank] = max(self.owed_s[rank] - cost_s, -cost_s)
        self._unused_capacity_s -= cost_s
