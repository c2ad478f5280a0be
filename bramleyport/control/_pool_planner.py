"""Adapter between pool controllers and role planners."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleyport.authority import EngineChange
from bramleyport.control._pool_controller import PoolState
from bramleyport.core import (
    EngineRole,
    ModelName,
    PoolName,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    UpstreamView,
)
from bramleyport.planning import (
    Change,
    DemandMeter,
    EngineCosts,
    Plan,
    PoolEngine,
    PoolState as PlannedPool,
    RoleChange,
    RolePlanner,
)
from bramleyport.telemetry import Event, Metrics, log_event, planning_events

# The same interval at which the benchmark measures the planners.
PLAN_INTERVAL_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolChanges:
    """Describe the changes that a plan requests, by engine."""

    changes: Mapping[UpstreamId, EngineChange] = field(default_factory=dict)


class PoolPlanner:
    """Plan for each pool with its own role planner and demand meter."""

    def __init__(
        self, make_planner: Callable[[], RolePlanner], metrics: Metrics
    ) -> None:
        self._make_planner = make_planner
        self._metrics = metrics
        self._planners: dict[PoolName, RolePlanner] = {}
        self._meters: dict[PoolName, DemandMeter] = {}
        self._planned_s: dict[PoolName, float] = {}

    def plan(self, pool: PoolState, now_s: float) -> PoolChanges:
        """Return the changes that the pool needs now."""
        if now_s - self._planned_s.get(pool.pool, -PLAN_INTERVAL_S) < PLAN_INTERVAL_S:
            return PoolChanges()
        self._planned_s[pool.pool] = now_s
        planner = self._planners.setdefault(pool.pool, self._make_planner())
        meter = self._meters.setdefault(pool.pool, DemandMeter())
        views = _list_engines(pool)
        targets = _list_target_roles(pool)
        demand = meter.read({view.upstream: view.load for view in views}, now_s)
        plan = planner.plan(
            PlannedPool(
                engines=tuple(_make_pool_engine(view, targets) for view in views),
                demand=demand,
                costs=_estimate_costs(views),
            ),
            now_s,
        )
        changes = {
            change.engine: _make_engine_change(change) for change in plan.changes
        }
        self._report(pool, plan)
        return PoolChanges(changes=changes)

    def _report(self, pool: PoolState, plan: Plan) -> None:
        log_event(
            planning_events.PLAN_MADE,
            service=pool.pool,
            reason=plan.explanation.reason,
            **plan.explanation.numbers,
        )
        for change in plan.changes:
            reason = change.explanation.reason
            self._metrics.decisions.inc({"kind": "plan", "reason": reason})
            log_event(
                _choose_event(change),
                service=pool.pool,
                engine=change.engine,
                change=_describe_change(change),
                reason=reason,
                **change.explanation.numbers,
            )


def _list_engines(pool: PoolState) -> list[UpstreamView]:
    # A pool is named after the model that its engines serve.
    model = ModelName(pool.pool)
    return sorted(
        (
            view
            for view in pool.views
            if view.kind is ServiceKind.LANGUAGE
            and view.region == pool.region
            and model in view.models
        ),
        key=lambda view: view.upstream,
    )


def _list_target_roles(pool: PoolState) -> dict[UpstreamId, EngineRole]:
    return {
        item.upstream: item.order.change.role
        for item in pool.orders
        if item.order.change.role is not None
    }


def _make_pool_engine(
    view: UpstreamView, targets: Mapping[UpstreamId, EngineRole]
) -> PoolEngine:
    load, rates = view.load, view.rates
    streams = max(1, load.running)
    return PoolEngine(
        engine=view.upstream,
        zone=view.zone,
        role=view.role,
        state=view.state,
        target_role=(
            targets.get(view.upstream) if view.state is UpstreamState.CHANGING else None
        ),
        queued_prefill_s=load.queued_prefill_tokens / rates.prefill_tokens_per_s,
        running_streams=load.running,
        remaining_decode_s=load.running_decode_tokens
        / streams
        / rates.decode_tokens_per_s,
        cached_blocks=len(view.cached.blocks),
        models=view.models,
        adapters=view.adapters,
    )


def _estimate_costs(views: list[UpstreamView]) -> EngineCosts:
    if not views:
        return EngineCosts()
    # Engines of one pool are similar, so the median view represents the pool.
    rates = sorted((v.rates for v in views), key=lambda r: r.prefill_tokens_per_s)
    typical = rates[len(rates) // 2]
    return EngineCosts(
        step_base_s=1.0 / typical.decode_tokens_per_s,
        prefill_tokens_per_s=typical.prefill_tokens_per_s,
        decode_tokens_per_s=typical.decode_tokens_per_s,
        max_streams=typical.max_streams,
        block_tokens=views[0].block_tokens,
    )


def _make_engine_change(change: Change) -> EngineChange:
    short_explanation = change.explanation.shorten()
    if isinstance(change, RoleChange):
        return EngineChange(role=change.role, explanation=short_explanation)
    return EngineChange(
        load=(change.adapter or change.model,), explanation=short_explanation
    )


def _choose_event(change: Change) -> Event:
    if isinstance(change, RoleChange):
        return planning_events.ROLE_CHANGE_PLANNED
    return planning_events.MODEL_LOAD_PLANNED


def _describe_change(change: Change) -> str:
    if isinstance(change, RoleChange):
        return f"role {change.role.value}"
    return f"load {change.adapter or change.model}"
