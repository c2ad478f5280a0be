"""Planner that follows the ratio of prefill to decode work."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import (
    EngineRole,
    Explanation,
    UpstreamId,
    UpstreamState,
    ZoneName,
)
from bramleyport.planning._base import (
    ROLE_PLANNERS,
    Plan,
    PoolEngine,
    PoolState,
    RoleChange,
)
from bramleyport.planning._capacity import (
    Mix,
    count_at_risk,
    decode_token_s,
    serve_factor,
)
from bramleyport.planning._loads import schedule_loads
from bramleyport.planning._trend import Trend, measure_trend

# Spare capacity brings no more work in time.
ENOUGH_FACTOR: Final = 1.0
# Below this part of the demand the pool is in an overload, whatever its roles.
OVERLOAD_FACTOR: Final = 0.8
NOISE_BAND: Final = 2.0
# A plan moves at most this part of the fleet, so that drained engines don't
# displace more work than the others take over.
MAX_MOVED_PART: Final = 1 / 4
# The gain is a forecast and the cost is certain.
GAIN_MARGIN: Final = 1.25
# The seconds of an engine in a change count in full, also where the others have room:
# while one engine of nine is out, queues on the others break first-token targets.
# A draining engine still serves about half of its streams' time.
DRAIN_LOSS: Final = 0.5
# Part of the cached prefixes that later requests would have used again.
CACHE_REUSE: Final = 0.3
PLANNED_STATES: Final = (UpstreamState.LIVE, UpstreamState.CHANGING)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Move:
    source: EngineRole
    target: EngineRole
    engines: tuple[PoolEngine, ...]
    net_s: float
    gain_per_s: float
    cost_s: float


@ROLE_PLANNERS.register("ratio")
class RatioPlanner:
    """Change roles when the gain over the expected stay outweighs the cost."""

    def plan(self, pool: PoolState, now_s: float) -> Plan:
        """Return the changes to make now."""
        repairs = _repair_floors(pool)
        if repairs:
            loads = schedule_loads(pool, {c.engine for c in repairs}, now_s)
            return Plan(
                changes=(*repairs, *loads), explanation=Explanation(reason="floor")
            )
        trend = measure_trend(pool.demand, pool.costs, now_s)
        if trend is None:
            loads = schedule_loads(pool, frozenset(), now_s)
            return Plan(changes=loads, explanation=Explanation(reason="no_trend"))
        move = self._choose_move(pool, trend)
        changes = _make_changes(move) if move else ()
        loads = schedule_loads(pool, {c.engine for c in changes}, now_s)
        numbers = {
            "share": trend.share,
            "noise": trend.noise,
            "stay_s": trend.stay_s,
            "engine_seconds": trend.engine_seconds,
        }
        reason = "move" if move else "no_gain"
        return Plan(
            changes=(*changes, *loads),
            explanation=Explanation(reason=reason, numbers=numbers),
        )

    def _choose_move(self, pool: PoolState, trend: Trend) -> _Move | None:
        engines = [e for e in pool.engines if e.state in PLANNED_STATES]
        # An overload is no reason: a change takes capacity when it is scarcest, and in
        # the benchmark floods lost 1 to 5 % of their goodput by it.
        if not trend.moved:
            return None
        demand = trend.demand_at(trend.share, pool.costs)
        if serve_factor(_count_mix(engines), demand, pool.costs) < OVERLOAD_FACTOR:
            return None
        moving = sum(e.state is UpstreamState.CHANGING for e in engines)
        limit = max(1, int(len(engines) * MAX_MOVED_PART)) - moving
        best: _Move | None = None
        for source in EngineRole:
            for target in EngineRole:
                if source is target:
                    continue
                chosen = _choose_engines(pool, engines, source, target, limit)
                for count in _list_counts(len(chosen)):
                    move = _rate_move(pool, trend, engines, chosen[:count], target)
                    if move.net_s > 0 and (best is None or move.net_s > best.net_s):
                        best = move
        return best


def _count_mix(engines: Sequence[PoolEngine]) -> Mix:
    counts = Counter(e.planned_role for e in engines)
    return Mix(**{role.value: counts[role] for role in EngineRole})


def _list_counts(limit: int) -> list[int]:
    counts = []
    count = limit
    while count > 0:
        counts.append(count)
        count //= 2
    return counts[::-1]


def _choose_engines(
    pool: PoolState,
    engines: Sequence[PoolEngine],
    source: EngineRole,
    target: EngineRole,
    limit: int,
) -> list[PoolEngine]:
    """Return the engines that lose least, with the floors of each zone kept."""
    roles = {e.engine: e.planned_role for e in engines}
    chosen: list[PoolEngine] = []
    candidates = [
        e for e in engines if e.state is UpstreamState.LIVE and e.role is source
    ]
    for engine in sorted(candidates, key=lambda e: (_cost_of(pool, e), e.engine)):
        if len(chosen) >= limit:
            break
        roles[engine.engine] = target
        if _keeps_floors(pool, engines, roles, engine):
            chosen.append(engine)
        else:
            roles[engine.engine] = source
    return chosen


def _keeps_floors(
    pool: PoolState,
    engines: Sequence[PoolEngine],
    roles: Mapping[UpstreamId, EngineRole],
    moved: PoolEngine,
) -> bool:
    # An engine in a change serves nothing yet, so only the others count.
    counts = Counter(
        roles[e.engine]
        for e in engines
        if e.zone == moved.zone
        and e.state is UpstreamState.LIVE
        and roles[e.engine] is e.role
    )
    return not _list_short(pool, counts)


def _list_short(pool: PoolState, counts: Counter[EngineRole]) -> list[EngineRole]:
    """Return the roles of which a zone has fewer able engines than its floor."""
    able = {
        EngineRole.PREFILL: counts[EngineRole.PREFILL] + counts[EngineRole.MIXED],
        EngineRole.DECODE: counts[EngineRole.DECODE] + counts[EngineRole.MIXED],
        EngineRole.MIXED: counts[EngineRole.MIXED],
    }
    return [role for role, floor in pool.zone_floors.items() if able[role] < floor]


def _repair_floors(pool: PoolState) -> tuple[RoleChange, ...]:
    """Return changes to the mixed role in zones that lost their last able engine."""
    zones: dict[ZoneName, list[PoolEngine]] = {}
    for engine in pool.engines:
        if engine.state in PLANNED_STATES:
            zones.setdefault(engine.zone, []).append(engine)
    changes = []
    for zone in sorted(zones):
        short = _list_short(pool, Counter(e.planned_role for e in zones[zone]))
        free = [
            e
            for e in zones[zone]
            if e.state is UpstreamState.LIVE and e.role is not EngineRole.MIXED
        ]
        if not short or not free:
            continue
        engine = min(free, key=lambda e: (_cost_of(pool, e), e.engine))
        numbers = {f"short_{role.value}": 1.0 for role in short}
        changes.append(
            RoleChange(
                engine=engine.engine,
                role=EngineRole.MIXED,
                explanation=Explanation(reason="zone_floor", numbers=numbers),
            )
        )
    return tuple(changes)


def _cost_of(pool: PoolState, engine: PoolEngine) -> float:
    """Return the engine seconds lost when the engine changes its role."""
    costs = pool.costs
    cached_tokens = engine.cached_blocks * costs.block_tokens
    cache_s = CACHE_REUSE * cached_tokens / costs.prefill_tokens_per_s
    return (
        costs.role_change_s
        + DRAIN_LOSS * engine.remaining_decode_s
        + engine.queued_prefill_s
        + cache_s
    )


def _rate_move(
    pool: PoolState,
    trend: Trend,
    engines: Sequence[PoolEngine],
    moved: Sequence[PoolEngine],
    target: EngineRole,
) -> _Move:
    mix = _count_mix(engines)
    source = moved[0].role
    after = mix.move(source, target, len(moved))
    assert after is not None
    # The gain must hold over the whole band of noise around the ratio.
    shares = [
        trend.share + offset * NOISE_BAND * trend.noise for offset in (-1.0, 0.0, 1.0)
    ]
    gain_per_s = min(
        _served(after, trend, share, pool) - _served(mix, trend, share, pool)
        for share in shares
    )
    cost_s = sum(_cost_of(pool, engine) for engine in moved)
    stay_s = max(0.0, trend.stay_s - pool.costs.role_change_s)
    return _Move(
        source=source,
        target=target,
        engines=tuple(moved),
        net_s=gain_per_s * stay_s - GAIN_MARGIN * cost_s,
        gain_per_s=gain_per_s,
        cost_s=cost_s,
    )


def _served(mix: Mix, trend: Trend, share: float, pool: PoolState) -> float:
    """Return the engine seconds per second of work served within its targets."""
    demand = trend.demand_at(share, pool.costs)
    factor = min(ENOUGH_FACTOR, serve_factor(mix, demand, pool.costs))
    at_risk = count_at_risk(mix, demand, trend.short_s, pool.costs)
    # Goodput counts tokens, and short answers are nearly all prompt, which has more
    # tokens per engine second than the average of the work.
    prompt = pool.costs.prefill_tokens_per_s
    mean = share * prompt + (1 - share) / decode_token_s(pool.costs)
    return factor * (trend.engine_seconds - at_risk * prompt / mean)


def _make_changes(move: _Move) -> tuple[RoleChange, ...]:
    explanation = Explanation(
        reason=f"{move.source.value}_to_{move.target.value}",
        numbers={
            "gain_per_s": move.gain_per_s,
            "cost_s": move.cost_s,
            "net_s": move.net_s,
        },
    )
    return tuple(
        RoleChange(engine=e.engine, role=move.target, explanation=explanation)
        for e in move.engines
    )
