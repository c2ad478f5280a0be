"""Upper bound of goodput, computed from all requests of a finished run.

The bound relaxes the fleet to one machine that works preemptively at the sum of the
speeds of the engines in service, knows all requests in advance, changes roles at once,
runs all decode steps in the largest batch and computes each prefix block once in the
run. A request counts with the fraction of its work that is done between its arrival and
its answer deadline. Work with the most tokens per engine second is scheduled first;
this greedy choice is optimal because the sets of work that fit such a machine form a
polymatroid. Arrivals are rounded down to slots and deadlines up, so the result is still
an upper bound.
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
# Ratio between the densities of neighboring bins; all requests of a bin count with its
# highest density.
DENSITY_BIN_RATIO: Final = 1.05
BISECTIONS: Final = 10
ROUNDING_S: Final = 1e-6


@dataclass(slots=True, kw_only=True)
class _WorkBin:
    release: int
    due: int
    density: float
    work_s: float = 0.0
    tokens: float = 0.0


# Engine seconds of work by the slots of its arrival and its deadline.
_Load = dict[tuple[int, int], float]


def compute_bound(
    requests: Sequence[Request],
    engines_at: Sequence[float],
    profile: EngineProfile,
) -> float:
    """Return the most tokens of work that any policy could finish in time.

    `engines_at` has the number of engines in service for each slot of `SLOT_S`.
    """
    bins = _make_bins(requests, len(engines_at), profile)
    capacity = [engines * SLOT_S for engines in engines_at]
    load: _Load = {}
    for work_bin in bins:
        _add(load, work_bin, 1.0)
    if _fits(load, capacity):
        return sum(work_bin.tokens for work_bin in bins)
    load, tokens = {}, 0.0
    for work_bin in sorted(bins, key=lambda work_bin: -work_bin.density):
        low, high = _find_fraction(load, work_bin, capacity)
        _add(load, work_bin, low)
        tokens += min(work_bin.tokens, high * work_bin.work_s * work_bin.density)
    return tokens


def _make_bins(
    requests: Sequence[Request], slots: int, profile: EngineProfile
) -> list[_WorkBin]:
    seen: set[PrefixBlock] = set()
    token_s = profile.stream_step_s + profile.step_base_s / profile.decode_role_streams
    bins: dict[tuple[int, int, int], _WorkBin] = {}
    for request in requests:
        work = request.work
        if work.kind is not ServiceKind.LANGUAGE:
            continue
        cached_blocks = sum(block in seen for block in work.prefix_blocks)
        seen.update(work.prefix_blocks)
        uncached = work.prompt_tokens - cached_blocks * profile.block_tokens
        work_s = (
            max(1, uncached) / profile.prefill_tokens_per_s
            + request.output_tokens * token_s
        )
        release = int(work.arrived_s // SLOT_S)
        due = min(slots, math.ceil(work.answer_deadline_s / SLOT_S))
        level = math.ceil(math.log(request.tokens / work_s, DENSITY_BIN_RATIO))
        work_bin = bins.setdefault(
            (release, due, level),
            _WorkBin(release=release, due=due, density=DENSITY_BIN_RATIO**level),
        )
        work_bin.work_s += work_s
        work_bin.tokens += request.tokens
    return list(bins.values())


def _add(load: _Load, work_bin: _WorkBin, fraction: float) -> None:
    key = (work_bin.release, work_bin.due)
    load[key] = load.get(key, 0.0) + fraction * work_bin.work_s


def _find_fraction(
    load: _Load, work_bin: _WorkBin, capacity: Sequence[float]
) -> tuple[float, float]:
    """Return a lower and an upper limit of the fraction of the work that fits."""
    if _fits_with(load, work_bin, 1.0, capacity):
        return 1.0, 1.0
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _fits_with(load, work_bin, middle, capacity):
            low = middle
        else:
            high = middle
    return low, high


def _fits_with(
    load: _Load, work_bin: _WorkBin, fraction: float, capacity: Sequence[float]
) -> bool:
    trial = dict(load)
    _add(trial, work_bin, fraction)
    return _fits(trial, capacity)


def _fits(load: _Load, capacity: Sequence[float]) -> bool:
    """Return whether earliest deadline first finishes all work in time."""
    arriving: defaultdict[int, list[tuple[int, float]]] = defaultdict(list)
    for (release, due), work_s in load.items():
        arriving[release].append((due, work_s))
    pending_work: defaultdict[int, float] = defaultdict(float)
    for slot, available_s in enumerate(capacity):
        for due, work_s in arriving[slot]:
            pending_work[due] += work_s
        for due in sorted(pending_work):
            done = min(available_s, pending_work[due])
            pending_work[due] -= done
            available_s -= done
            if pending_work[due] > ROUNDING_S:
                break
            del pending_work[due]
        if pending_work.get(slot + 1, 0.0) > ROUNDING_S:
            return False
    return True
