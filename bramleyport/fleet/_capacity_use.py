"""Measure the capacity of a service that client accounts share, and its use."""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from bramleyport.fleet._fair_sharing import CapacityUse
from bramleyport.fleet._load import AccountRank, LoadTracker
from bramleyport.fleet._pacing import compute_update_delay
from bramleyport.fleet._types import Registration

# What a call needs of the share of its account at a plain service.
ONE_SLOT: Final = 1.0
# How far one account alone may fill plain upstreams, relative to their slots. Others
# that begin to ask then find queues that are short, and no upstream that declines.
ALONE_FACTOR: Final = 2.0


def measure_slots(
    ready: Sequence[Registration], loads: LoadTracker, run_s: float, gateways: int
) -> CapacityUse:
    """Return the use of the slots of plain upstreams, whose calls run for a time."""
    capacity = sum(item.slots for item in ready)
    occupied: Counter[AccountRank] = Counter()
    own_occupied: Counter[AccountRank] = Counter()
    used = 0
    for item in ready:
        load = loads.of(item.upstream)
        occupied.update(load.counts)
        own_occupied.update(load.own_counts)
        used += len(load)
    own = own_occupied.total()
    fraction = max(1 / gateways, own / used if used else 0.0)
    # The others' newest calls are not known here, so each gateway keeps to its part.
    own_left = ALONE_FACTOR * capacity / gateways - own
    return CapacityUse(
        capacity=float(capacity),
        used=float(used),
        free=float(_count_free_slots(ready, loads)),
        occupied=occupied,
        call_size=ONE_SLOT,
        entry_size=ONE_SLOT,
        calls_per_s=fraction * capacity / run_s if run_s > 0 else 0.0,
        own=float(own),
        own_occupied=own_occupied,
        gateways=gateways,
        delay_s=compute_update_delay(gateways - 1),
        extension=max(0.0, used - capacity + own_left),
    )


def extend_for_one(use: CapacityUse) -> CapacityUse:
    """Return the use that applies while only one account asks."""
    # Each gateway keeps to its part, so that none needs a quota.
    capacity = use.capacity + use.extension
    free = max(use.free, capacity - use.used)
    return replace(use, capacity=capacity, free=free, gateways=1)


def has_free_prefill(
    ready: Sequence[Registration],
    loads: LoadTracker,
    priority: int,
    objective_s: float,
    now_s: float,
) -> bool:
    """Return whether engines prefill what is ahead of a call within its objective."""
    outstanding_s = sum(
        loads.of(item.upstream).forecast_queue(priority, now_s).ranked_s
        for item in ready
    )
    return outstanding_s < len(ready) * objective_s


def has_free_slots(ready: Sequence[Registration], loads: LoadTracker) -> bool:
    """Return whether plain upstreams have a slot that no work occupies."""
    return _count_free_slots(ready, loads) > 0


def _count_free_slots(ready: Sequence[Registration], loads: LoadTracker) -> int:
    return sum(max(0, item.slots - len(loads.of(item.upstream))) for item in ready)


def measure_prefill(
    ready: Sequence[Registration],
    loads: LoadTracker,
    key: AccountRank,
    objective_s: float,
    gateways: int,
    now_s: float,
) -> CapacityUse:
    """Return the use of the prefill time of engines, for calls of one rank.

    Engines prefill urgent prompts first, so only those of its own rank and of more
    urgent ones delay a call.
    """
    outstanding_s = 0.0
    occupied: dict[AccountRank, float] = {}
    count, own, total_s = 0, 0, 0.0
    for item in ready:
        load = loads.of(item.upstream)
        outstanding_s += load.forecast_queue(key.priority, now_s).ranked_s
        for work in load.list_prefilling(now_s):
            holder = AccountRank(work.account, work.priority)
            occupied[holder] = occupied.get(holder, 0.0) + work.prefill_s
            total_s += work.prefill_s
            count += 1
            own += not work.origin
    mean_s = total_s / count if total_s else objective_s
    fraction = max(1 / gateways, own / count if count else 0.0)
    capacity_s = len(ready) * objective_s
    return CapacityUse(
        capacity=capacity_s,
        used=outstanding_s,
        free=capacity_s - outstanding_s,
        occupied=occupied,
        call_size=mean_s,
        entry_size=0.0,
        calls_per_s=fraction * len(ready) / mean_s if mean_s > 0 else 0.0,
        # Gateways tell each other at once of long prompts, so that no quota is needed.
        own=0.0,
        own_occupied={},
        gateways=1,
        delay_s=compute_update_delay(0),
        extension=math.inf,
    )
