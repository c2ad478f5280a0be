"""Upper bound of goodput, computed with hindsight.

The bound relaxes the fleet to one machine that works preemptively at the sum of the
speeds of the engines in service, knows all requests in advance, changes roles at once,
runs all decode steps in the largest batch and computes each prefix block once in the
run. Requests count by the part of their work that is done between arrival and answer
deadline. The densest work, by tokens per engine second, is taken first; this greedy
choice is optimal because the sets of work that fit such a machine form a polymatroid.
Slots round arrivals down and deadlines up, so the relaxation stays an upper bound.
"""

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.bench._policy_traffic import Request
from bramleyport.core import PrefixBlock, ServiceKind
from bramleyport.standins import EngineProfile

SLOT_S: Final = 10.0
# Requests of one bin count with the highest density of the bin.
DENSITY_BIN: Final = 1.05
BISECTIONS: Final = 10
ROUNDING_S: Final = 1e-6


@dataclass(slots=True, kw_only=True)
class _Item:
    release: int
    due: int
    density: float
    work_s: float = 0.0
    tokens: float = 0.0


# Work by the slots of its release and its deadline.
_Load = dict[tuple[int, int], float]


def compute_bound(
    requests: Sequence[Request],
    engines_at: Sequence[float],
    profile: EngineProfile,
) -> float:
    """Return the most tokens of work that any policy could finish in time.

    The engines in service are given for each slot of `SLOT_S`.
    """
    items = _make_items(requests, len(engines_at), profile)
    capacity = [engines * SLOT_S for engines in engines_at]
    load: _Load = {}
    for item in items:
        _add(load, item, 1.0)
    if _fits(load, capacity):
        return sum(item.tokens for item in items)
    load, tokens = {}, 0.0
    for item in sorted(items, key=lambda item: -item.density):
        low, high = _find_part(load, item, capacity)
        _add(load, item, low)
        tokens += min(item.tokens, high * item.work_s * item.density)
    return tokens


def _make_items(
    requests: Sequence[Request], slots: int, profile: EngineProfile
) -> list[_Item]:
    seen: set[PrefixBlock] = set()
    token_s = profile.stream_step_s + profile.step_base_s / profile.decode_role_streams
    items: dict[tuple[int, int, int], _Item] = {}
    for request in requests:
        work = request.work
        if work.kind is not ServiceKind.LANGUAGE:
            continue
        known = sum(block in seen for block in work.prefix_blocks)
        seen.update(work.prefix_blocks)
        uncached = work.prompt_tokens - known * profile.block_tokens
        work_s = (
            max(1, uncached) / profile.prefill_tokens_per_s
            + request.output_tokens * token_s
        )
        release = int(work.arrived_s // SLOT_S)
        due = min(slots, math.ceil(work.answer_deadline_s / SLOT_S))
        level = math.ceil(math.log(request.tokens / work_s, DENSITY_BIN))
        item = items.setdefault(
            (release, due, level),
            _Item(release=release, due=due, density=DENSITY_BIN**level),
        )
        item.work_s += work_s
        item.tokens += request.tokens
    return list(items.values())


def _add(load: _Load, item: _Item, part: float) -> None:
    key = (item.release, item.due)
    load[key] = load.get(key, 0.0) + part * item.work_s


def _find_part(
    load: _Load, item: _Item, capacity: Sequence[float]
) -> tuple[float, float]:
    """Return the part of the item that fits, as a lower and an upper limit."""
    if _fits_with(load, item, 1.0, capacity):
        return 1.0, 1.0
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _fits_with(load, item, middle, capacity):
            low = middle
        else:
            high = middle
    return low, high


def _fits_with(
    load: _Load, item: _Item, part: float, capacity: Sequence[float]
) -> bool:
    trial = dict(load)
    _add(trial, item, part)
    return _fits(trial, capacity)


def _fits(load: _Load, capacity: Sequence[float]) -> bool:
    """Return whether earliest deadline first finishes all work in time."""
    arriving: defaultdict[int, list[tuple[int, float]]] = defaultdict(list)
    for (release, due), work_s in load.items():
        arriving[release].append((due, work_s))
    open_work: defaultdict[int, float] = defaultdict(float)
    for slot, room in enumerate(capacity):
        for due, work_s in arriving[slot]:
            open_work[due] += work_s
        for due in sorted(open_work):
            done = min(room, open_work[due])
            open_work[due] -= done
            room -= done
            if open_work[due] > ROUNDING_S:
                break
            del open_work[due]
        if open_work.get(slot + 1, 0.0) > ROUNDING_S:
            return False
    return True
