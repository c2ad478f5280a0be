"""Spread calls evenly while several gateways choose from the same stale information.

Load pattern: gateways don't know yet what their peers have just sent. If each of them
takes the upstream with the lowest cost, all take the same one until they learn of each
other's calls, and upstreams are overloaded in turns while others idle (herding).

The unseen work of the peers is assumed to fill the upstreams with the lowest costs up
to a common level, as water fills a vessel. Upstreams below that level are as good as
each other as far as is known. Among these a gateway prefers those that are assigned to
it alone, since it knows their load, and chooses by chance among the others otherwise.
The fresher the information, the less work is unseen and the fewer upstreams are below
the level.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import Final

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet._members import Membership
from bramleyport.fleet._types import Registration
from bramleyport.fleet._unseen_load import (
    LoadGroup,
    UnseenLoad,
    UnseenWork,
    find_group,
)

# Less unseen work than this fraction of a call changes no choice.
MIN_UNSEEN_CALLS: Final = 0.001
# Time for which the assignment of upstreams to gateways is used.
ASSIGNMENT_REFRESH_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Pick:
    """Describe which of some costs was chosen, and among how many it was."""

    index: int
    spread: int


@dataclass(frozen=True, slots=True)
class _Assignment:
    """Describe the upstreams of a group that are assigned to this gateway alone."""

    upstreams: frozenset[UpstreamId]
    made_s: float


class EvenLoad:
    """Choose among upstreams whose load differs by no more than what may be unseen."""

    def __init__(
        self,
        own: ProcessId,
        members: Membership,
        unseen: UnseenLoad,
        random: Random,
        count_gateways: Callable[[], int | None],
    ) -> None:
        self._own = own
        self._members = members
        self._unseen = unseen
        self._random = random
        self._count_gateways = count_gateways
        self._assignments: dict[LoadGroup, _Assignment] = {}

    def estimate(self, upstream: Registration, now_s: float) -> UnseenWork | None:
        """Return the unseen work at the group of an upstream; None if it is none."""
        if (self._count_gateways() or 1) < 2:
            return None
        work = self._unseen.estimate(find_group(upstream), now_s)
        return work if work.calls >= MIN_UNSEEN_CALLS else None

    def choose(
        self,
        upstreams: Sequence[Registration],
        costs: Sequence[float],
        amount: float,
        now_s: float,
        *,
        shared_key: str | None = None,
    ) -> Pick:
        """Choose one of some upstreams of a group by their costs.

        The amount is what the unseen work may add to the costs. Gateways that give the
        same key choose the same upstream if they see the same costs.
        """
        level, near = find_level(costs, amount)
        if len(near) == 1:
            return Pick(near[0], 1)
        if shared_key is not None:
            index = _choose_by_key(upstreams, costs, level, near, shared_key)
            return Pick(index, len(near))
        assigned = self._list_assigned(upstreams[0], now_s)
        own = [index for index in near if upstreams[index].upstream in assigned]
        if own:
            return Pick(min(own, key=costs.__getitem__), len(near))
        slack = [level - costs[index] for index in near]
        return Pick(self._random.choices(near, slack)[0], len(near))

    def choose_equal(
        self, upstreams: Sequence[Registration], equal: Sequence[int], now_s: float
    ) -> int:
        """Choose one of some upstreams of a group that have the same cost."""
        assigned = self._list_assigned(upstreams[equal[0]], now_s)
        for index in equal:
            if upstreams[index].upstream in assigned:
                return index
        return self._random.choice(equal)

    def _list_assigned(
        self, upstream: Registration, now_s: float
    ) -> frozenset[UpstreamId]:
        group = find_group(upstream)
        known = self._assignments.get(group)
        if known is None or now_s - known.made_s >= ASSIGNMENT_REFRESH_S:
            known = _Assignment(self._assign(group), now_s)
            self._assignments[group] = known
        return known.upstreams

    def _assign(self, group: LoadGroup) -> frozenset[UpstreamId]:
        names = [
            item.upstream
            for item in self._members.list_ready(group.service)
            if find_group(item) == group
        ]
        gateways = self._unseen.list_active(group)
        return assign(names, gateways.index(self._own), len(gateways))


def compute_amount(unseen: float, call: float) -> float:
    """Return how much unseen work may be, given its mean and that of its calls.

    Work arrives in whole calls, so a mean of less than a call understates what one adds
    where there is one.
    """
    return unseen + min(unseen, call)


def assign(
    names: Sequence[UpstreamId], rank: int, gateways: int
) -> frozenset[UpstreamId]:
    """Return the upstreams of one of several gateways; none if there are too few.

    The order of a hash mixes upstreams whose names follow a pattern.
    """
    if gateways > len(names):
        return frozenset()
    return frozenset(sorted(names, key=_hash_name)[rank::gateways])


def find_level(costs: Sequence[float], amount: float) -> tuple[float, list[int]]:
    """Return the level up to which an amount fills costs, and those below it."""
    lowest = min(costs)
    lowest_ones = [index for index, cost in enumerate(costs) if cost == lowest]
    # The level is no higher than if all went to the lowest ones.
    limit = lowest + amount / len(lowest_ones)
    near = [index for index, cost in enumerate(costs) if cost < limit]
    while near:
        level = (amount + sum(costs[index] for index in near)) / len(near)
        below = [index for index in near if costs[index] < level]
        if len(below) == len(near):
            return level, near
        near = below
    # The amount is too small to change the sum.
    return math.nextafter(lowest, math.inf), lowest_ones


def _choose_by_key(
    upstreams: Sequence[Registration],
    costs: Sequence[float],
    level: float,
    near: Sequence[int],
    key: str,
) -> int:
    """Choose by weighted rendezvous hashing, with the distance from the level."""

    def draw(index: int) -> float:
        share = (_hash_name(f"{key}/{upstreams[index].upstream}") + 1) / 2**64
        return -math.log(share) / (level - costs[index])

    return min(near, key=draw)


def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
