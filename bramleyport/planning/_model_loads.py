"""Schedule model and adapter loads on the rate-limited weight store."""

from collections.abc import Set
from typing import Final

from bramleyport.core import Explanation, UpstreamId, UpstreamState
from bramleyport.planning._base import (
    ModelLoad,
    ModelRequirement,
    PoolEngine,
    PoolState,
)

# Loads that would start later are left to a later plan, which has newer data.
LOAD_HORIZON_S: Final = 10.0


def schedule_loads(
    pool: PoolState, changed: Set[UpstreamId], now_s: float
) -> tuple[ModelLoad, ...]:
    """Return loads one after another, the most value per second of loading first."""
    busy = set(changed)
    start_s = max(now_s, pool.weights.busy_until_s)
    loads: list[ModelLoad] = []
    for requirement in sorted(
        pool.requirements, key=lambda requirement: _make_sort_key(requirement, pool)
    ):
        for _ in range(_count_missing(requirement, pool)):
            engine = _choose_engine(requirement, pool, busy)
            if engine is None or start_s > now_s + LOAD_HORIZON_S:
                break
            end_s = start_s + requirement.size_bytes / pool.weights.bytes_per_s
            loads.append(
                ModelLoad(
                    engine=engine.engine,
                    model=requirement.model,
                    adapter=requirement.adapter,
                    start_s=start_s,
                    end_s=end_s,
                    explanation=Explanation(
                        reason="wanted",
                        numbers={"value_per_s": requirement.value_per_s},
                    ),
                )
            )
            busy.add(engine.engine)
            start_s = end_s
    return tuple(loads)


def _make_sort_key(
    requirement: ModelRequirement, pool: PoolState
) -> tuple[float, str, str]:
    seconds = requirement.size_bytes / pool.weights.bytes_per_s
    return (
        -requirement.value_per_s / max(seconds, 1e-9),
        requirement.model,
        requirement.adapter or "",
    )


def _has_model(engine: PoolEngine, requirement: ModelRequirement) -> bool:
    if requirement.adapter is None:
        return requirement.model in engine.models
    return requirement.model in engine.models and requirement.adapter in engine.adapters


def _count_missing(requirement: ModelRequirement, pool: PoolState) -> int:
    present = sum(
        _has_model(engine, requirement)
        for engine in pool.engines
        if engine.state in (UpstreamState.LIVE, UpstreamState.CHANGING)
    )
    return max(0, requirement.engines - present)


def _choose_engine(
    requirement: ModelRequirement, pool: PoolState, busy: Set[UpstreamId]
) -> PoolEngine | None:
    free = [
        engine
        for engine in pool.engines
        if engine.state is UpstreamState.LIVE
        and engine.engine not in busy
        and not _has_model(engine, requirement)
        and (requirement.adapter is None or requirement.model in engine.models)
    ]
    return min(
        free,
        key=lambda e: (len(e.models), e.running_streams, e.engine),
        default=None,
    )
