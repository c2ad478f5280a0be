"""Planner that changes engine roles with the ratio of prefill to decode work."""

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
    RoleCounts,
    compute_capacity_factor,
    compute_decode_token_s,
    estimate_late_short_work,
)
from bramleyport.planning._model_loads import schedule_loads
from bramleyport.planning._trend import Trend, measure_trend

# A mix that serves the whole demand gains nothing from more capacity.
FULL_SERVICE_FACTOR: Final = 1.0
# If a pool can serve less than this fraction of its demand, it is overloaded and a role
# change does not help.
OVERLOAD_FACTOR: Final = 0.8
NOISE_DEVIATIONS: Final = 2.0
# A plan changes at most this fraction of the pool, so that the other engines can take
# over the work of those that drain.
MAX_CHANGED_FRACTION: Final = 1 / 4
# The gain is only a forecast but the cost is certain.
GAIN_MARGIN: Final = 1.25
# The time of a role change counts as lost in full, even if other engines have spare
# capacity: while one engine of nine is out of service, queues on the others lead to
# missed first-token targets. Of the drain only half counts, as the engine still serves
# its running streams.
DRAIN_LOSS_FRACTION: Final = 0.5
# Fraction of the cached prefixes that later requests would have reused.
CACHE_REUSE_FRACTION: Final = 0.3
PLANNED_STATES: Final = (UpstreamState.LIVE, UpstreamState.CHANGING)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reassignment:
    source: EngineRole
    target: EngineRole
    engines: tuple[PoolEngine, ...]
    net_s: float
    gain_per_s: float
    cost_s: float


@ROLE_PLANNERS.register("ratio")
class RatioPlanner:
    """Change roles if the gain while the ratio is expected to last exceeds the cost."""

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
        reassignment = self._choose_reassignment(pool, trend)
        changes = _make_changes(reassignment) if reassignment else ()
        loads = schedule_loads(pool, {c.engine for c in changes}, now_s)
        numbers = {
            "share": trend.share,
            "noise": trend.noise,
            "stay_s": trend.persistence_s,
            "engine_seconds": trend.engine_seconds,
        }
        reason = "move" if reassignment else "no_gain"
        return Plan(
            changes=(*changes, *loads),
            explanation=Explanation(reason=reason, numbers=numbers),
        )

    def _choose_reassignment(
        self, pool: PoolState, trend: Trend
    ) -> _Reassignment | None:
        engines = [e for e in pool.engines if e.state in PLANNED_STATES]
        # Roles do not change in an overload, since a change takes capacity when it is
        # needed most. In the benchmark, changes reduced goodput under a flood by 1 to
        # 5 %.
        if not trend.shifted:
            return None
        demand = trend.compute_demand(trend.share, pool.costs)
        if (
            compute_capacity_factor(_count_roles(engines), demand, pool.costs)
            < OVERLOAD_FACTOR
        ):
            return None
        changing_count = sum(e.state is UpstreamState.CHANGING for e in engines)
        limit = max(1, int(len(engines) * MAX_CHANGED_FRACTION)) - changing_count
        best: _Reassignment | None = None
        for source in EngineRole:
            for target in EngineRole:
                if source is target:
                    continue
                chosen = _choose_engines(pool, engines, source, target, limit)
                for count in _list_counts(len(chosen)):
                    reassignment = _evaluate_reassignment(
                        pool, trend, engines, chosen[:count], target
                    )
                    if reassignment.net_s > 0 and (
                        best is None or reassignment.net_s > best.net_s
                    ):
                        best = reassignment
        return best


def _count_roles(engines: Sequence[PoolEngine]) -> RoleCounts:
    counts = Counter(e.planned_role for e in engines)
    return RoleCounts(**{role.value: counts[role] for role in EngineRole})


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
    """Return the engines with the lowest cost that keep the floors of each zone."""
    roles = {e.engine: e.planned_role for e in engines}
    chosen: list[PoolEngine] = []
    candidates = [
        e for e in engines if e.state is UpstreamState.LIVE and e.role is source
    ]
    for engine in sorted(
        candidates, key=lambda e: (_compute_change_cost(pool, e), e.engine)
    ):
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
    reassigned: PoolEngine,
) -> bool:
    # An engine does not serve requests during a role change, so it does not count.
    counts = Counter(
        roles[e.engine]
        for e in engines
        if e.zone == reassigned.zone
        and e.state is UpstreamState.LIVE
        and roles[e.engine] is e.role
    )
    return not _list_missing_roles(pool, counts)


def _list_missing_roles(
    pool: PoolState, counts: Counter[EngineRole]
) -> list[EngineRole]:
    """Return the roles for which a zone has fewer capable engines than its floor."""
    capable = {
        EngineRole.PREFILL: counts[EngineRole.PREFILL] + counts[EngineRole.MIXED],
        EngineRole.DECODE: counts[EngineRole.DECODE] + counts[EngineRole.MIXED],
        EngineRole.MIXED: counts[EngineRole.MIXED],
    }
    return [role for role, floor in pool.zone_floors.items() if capable[role] < floor]


def _repair_floors(pool: PoolState) -> tuple[RoleChange, ...]:
    """Return changes to the mixed role in zones that are below a floor."""
    zones: dict[ZoneName, list[PoolEngine]] = {}
    for engine in pool.engines:
        if engine.state in PLANNED_STATES:
            zones.setdefault(engine.zone, []).append(engine)
    changes = []
    for zone in sorted(zones):
        missing = _list_missing_roles(
            pool, Counter(e.planned_role for e in zones[zone])
        )
        free = [
            e
            for e in zones[zone]
            if e.state is UpstreamState.LIVE and e.role is not EngineRole.MIXED
        ]
        if not missing or not free:
            continue
        engine = min(free, key=lambda e: (_compute_change_cost(pool, e), e.engine))
        numbers = {f"short_{role.value}": 1.0 for role in missing}
        changes.append(
            RoleChange(
                engine=engine.engine,
                role=EngineRole.MIXED,
                explanation=Explanation(reason="zone_floor", numbers=numbers),
            )
        )
    return tuple(changes)


def _compute_change_cost(pool: PoolState, engine: PoolEngine) -> float:
    """Return the engine seconds lost if the engine changes its role."""
    costs = pool.costs
    cached_tokens = engine.cached_blocks * costs.block_tokens
    cache_s = CACHE_REUSE_FRACTION * cached_tokens / costs.prefill_tokens_per_s
    return (
        costs.role_change_s
        + DRAIN_LOSS_FRACTION * engine.remaining_decode_s
        + engine.queued_prefill_s
        + cache_s
    )


def _evaluate_reassignment(
    pool: PoolState,
    trend: Trend,
    engines: Sequence[PoolEngine],
    reassigned: Sequence[PoolEngine],
    target: EngineRole,
) -> _Reassignment:
    mix = _count_roles(engines)
    source = reassigned[0].role
    new_mix = mix.reassign(source, target, len(reassigned))
    assert new_mix is not None
    # The gain must exist over the whole range of noise around the ratio.
    shares = [
        trend.share + offset * NOISE_DEVIATIONS * trend.noise
        for offset in (-1.0, 0.0, 1.0)
    ]
    gain_per_s = min(
        _compute_served_work(new_mix, trend, share, pool)
        - _compute_served_work(mix, trend, share, pool)
        for share in shares
    )
    cost_s = sum(_compute_change_cost(pool, engine) for engine in reassigned)
    persistence_s = max(0.0, trend.persistence_s - pool.costs.role_change_s)
    return _Reassignment(
        source=source,
        target=target,
        engines=tuple(reassigned),
        net_s=gain_per_s * persistence_s - GAIN_MARGIN * cost_s,
        gain_per_s=gain_per_s,
        cost_s=cost_s,
    )


def _compute_served_work(
    mix: RoleCounts, trend: Trend, share: float, pool: PoolState
) -> float:
    """Return the work served within its targets, in engine seconds per second."""
    demand = trend.compute_demand(share, pool.costs)
    factor = min(FULL_SERVICE_FACTOR, compute_capacity_factor(mix, demand, pool.costs))
    late_work = estimate_late_short_work(mix, demand, trend.short_s, pool.costs)
    # Goodput is measured in tokens. Requests with short answers consist mostly of their
    # prompt, which has more tokens per engine second than the average of all work.
    prompt_rate = pool.costs.prefill_tokens_per_s
    mean_rate = share * prompt_rate + (1 - share) / compute_decode_token_s(pool.costs)
    return factor * (trend.engine_seconds - late_work * prompt_rate / mean_rate)


def _make_changes(reassignment: _Reassignment) -> tuple[RoleChange, ...]:
    explanation = Explanation(
        reason=f"{reassignment.source.value}_to_{reassignment.target.value}",
        numbers={
            "gain_per_s": reassignment.gain_per_s,
            "cost_s": reassignment.cost_s,
            "net_s": reassignment.net_s,
        },
    )
    return tuple(
        RoleChange(engine=e.engine, role=reassignment.target, explanation=explanation)
        for e in reassignment.engines
    )
