"""Schedule model and adapter loads on the rate-limited weight store."""

from collections.abc import Set
from typing import Final

from bramleyport.core import Explanation, UpstreamId, UpstreamState
from bramleyport.planning._base import ModelLoad, ModelWant, PoolEngine, PoolState

# Loads that would start later are left to a later plan, which knows more.
LOAD_HORIZON_S: Final = 10.0


def schedule_loads(
    pool: PoolState, taken: Set[UpstreamId], now_s: float
) -> tuple[ModelLoad, ...]:
    """Return loads in sequence, those with the most value per second first."""
    busy = set(taken)
    start_s = max(now_s, pool.weights.busy_until_s)
    loads: list[ModelLoad] = []
    for want in sorted(pool.wants, key=lambda want: _rank_want(want, pool)):
        for _ in range(_count_missing(want, pool)):
            engine = _choose_engine(want, pool, busy)
            if engine is None or start_s > now_s + LOAD_HORIZON_S:
                break
            end_s = start_s + want.size_bytes / pool.weights.bytes_per_s
            loads.append(
                ModelLoad(
                    engine=engine.engine,
                    model=want.model,
                    adapter=want.adapter,
                    start_s=start_s,
                    end_s=end_s,
                    explanation=Explanation(
                        reason="wanted", numbers={"value_per_s": want.value_per_s}
                    ),
                )
            )
            busy.add(engine.engine)
            start_s = end_s
    return tuple(loads)


def _rank_want(want: ModelWant, pool: PoolState) -> tuple[float, str, str]:
    seconds = want.size_bytes / pool.weights.bytes_per_s
    return (-want.value_per_s / max(seconds, 1e-9), want.model, want.adapter or "")


def _has(engine: PoolEngine, want: ModelWant) -> bool:
    if want.adapter is None:
        return want.model in engine.models
    return want.model in engine.models and want.adapter in engine.adapters


def _count_missing(want: ModelWant, pool: PoolState) -> int:
    present = sum(
        _has(engine, want)
        for engine in pool.engines
        if engine.state in (UpstreamState.LIVE, UpstreamState.CHANGING)
    )
    return max(0, want.engines - present)


def _choose_engine(
    want: ModelWant, pool: PoolState, busy: Set[UpstreamId]
) -> PoolEngine | None:
    free = [
        engine
        for engine in pool.engines
        if engine.state is UpstreamState.LIVE
        and engine.engine not in busy
        and not _has(engine, want)
        and (want.adapter is None or want.model in engine.models)
    ]
    return min(
        free,
        key=lambda e: (len(e.models), e.running_streams, e.engine),
        default=None,
    )
