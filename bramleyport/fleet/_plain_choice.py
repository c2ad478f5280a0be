"""Choose the upstream of a call that no engine prefills."""

from collections.abc import Sequence

from bramleyport.core import Place
from bramleyport.fleet._even_load import EvenLoad, Pick, compute_amount
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._types import Registration

# Occupancy, whether in another zone, and running calls; the lowest is best.
_Rank = tuple[float, bool, int]


class PlainChooser:
    """Choose plain upstreams by their load and zone."""

    def __init__(
        self, place: Place, loads: LoadTracker, even_load: EvenLoad | None
    ) -> None:
        self._place = place
        self._loads = loads
        self._even_load = even_load

    def choose(
        self, ready: Sequence[Registration], now_s: float
    ) -> tuple[Registration, int]:
        """Return one of the best upstreams, and among how many it was chosen."""
        ranks = self._rank(ready)
        lowest = min(ranks)
        best = ready[ranks.index(lowest)]
        if self._even_load is None:
            return best, 1
        unseen = self._even_load.estimate(best, now_s)
        if unseen is None:
            return best, 1
        amount = compute_amount(unseen.calls, 1.0)
        if lowest[0]:
            pick = _spread_crowded(self._even_load, ready, ranks, best, amount, now_s)
        else:
            pick = _spread_free(self._even_load, ready, ranks, lowest, amount, now_s)
        return ready[pick.index], pick.spread

    def _rank(self, ready: Sequence[Registration]) -> list[_Rank]:
        own_zone, find_load = self._place.zone, self._loads.of
        ranks = []
        for candidate in ready:
            running = len(find_load(candidate.upstream))
            # More work doesn't slow a plain upstream until half of its slots are in
            # use.
            is_free = running < candidate.slots / 2
            occupancy = 0.0 if is_free else running / max(1, candidate.slots)
            ranks.append((occupancy, candidate.zone != own_zone, running))
        return ranks


def _spread_crowded(
    even_load: EvenLoad,
    ready: Sequence[Registration],
    ranks: Sequence[_Rank],
    best: Registration,
    amount: float,
    now_s: float,
) -> Pick:
    """Choose among the upstreams of the best one's zone by occupancy."""
    in_other_zone = min(ranks)[1]
    similar = [index for index, rank in enumerate(ranks) if rank[1] == in_other_zone]
    costs = [best.slots * ranks[index][0] for index in similar]
    pick = even_load.choose([ready[index] for index in similar], costs, amount, now_s)
    return Pick(similar[pick.index], pick.spread)


def _spread_free(
    even_load: EvenLoad,
    ready: Sequence[Registration],
    ranks: Sequence[_Rank],
    lowest: _Rank,
    amount: float,
    now_s: float,
) -> Pick:
    """Choose among the upstreams that no more calls would slow, by their calls."""
    equal = [index for index, rank in enumerate(ranks) if rank == lowest]
    if amount <= len(equal):
        # The unseen calls don't fill these up to the next number of calls.
        return Pick(even_load.choose_equal(ready, equal, now_s), len(equal))
    highest = (lowest[0], lowest[1], lowest[2] + amount)
    similar = [index for index, rank in enumerate(ranks) if rank <= highest]
    costs = [float(ranks[index][2]) for index in similar]
    pick = even_load.choose([ready[index] for index in similar], costs, amount, now_s)
    return Pick(similar[pick.index], pick.spread)
