"""Test the input that a role planner gets and the orders made from its plan."""

from bramleyport.control._pool_controller import PoolState
from bramleyport.control._pool_planner import PoolPlanner
from bramleyport.core import (
    EngineLoad,
    EngineRole,
    Explanation,
    ModelName,
    PoolName,
    RegionName,
    ServiceKind,
    UpstreamId,
    UpstreamView,
    ZoneName,
)
from bramleyport.planning import Plan, PoolState as PlannedPool, RoleChange
from bramleyport.telemetry import Metrics


class FixedPlanner:
    """Return one role change and record the pools given as input."""

    def __init__(self) -> None:
        self.pools: list[PlannedPool] = []

    def plan(self, pool: PlannedPool, now_s: float) -> Plan:
        self.pools.append(pool)
        test_explanation = Explanation(reason="test")
        change = RoleChange(
            engine=UpstreamId("e-0"),
            role=EngineRole.PREFILL,
            explanation=test_explanation,
        )
        return Plan(changes=(change,), explanation=test_explanation)


def make_view(name: str, model: str, region: str = "r") -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId(name),
        kind=ServiceKind.LANGUAGE,
        zone=ZoneName("z"),
        region=RegionName(region),
        models=frozenset({ModelName(model)}),
        load=EngineLoad(offered_prefill_ms=1000),
    )


def make_pool(*views: UpstreamView) -> PoolState:
    return PoolState(pool=PoolName("m"), region=RegionName("r"), views=views, orders=())


def test_planner_sees_only_the_engines_of_its_pool() -> None:
    planner = FixedPlanner()
    fleet = PoolPlanner(lambda: planner, Metrics())
    views = (make_view("e-0", "m"), make_view("e-1", "n"), make_view("e-2", "m", "q"))
    fleet.plan(make_pool(*views), 0.0)
    assert [engine.engine for engine in planner.pools[0].engines] == ["e-0"]


def test_plan_becomes_engine_changes_at_its_interval() -> None:
    planner = FixedPlanner()
    fleet = PoolPlanner(lambda: planner, Metrics())
    pool = make_pool(make_view("e-0", "m"))
    first = fleet.plan(pool, 0.0)
    assert first.changes["e-0"].role is EngineRole.PREFILL
    assert fleet.plan(pool, 1.0).changes == {}
    assert fleet.plan(pool, 5.0).changes != {}
