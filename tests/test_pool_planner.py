"""Guard the planner's wiring: the pool it sees and the orders it asks for."""

from bramleyport.control._controller import PoolState
from bramleyport.control._pool_planner import FleetPlanner
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
    """Ask for one role change and remember the pools it was shown."""

    def __init__(self) -> None:
        self.pools: list[PlannedPool] = []

    def plan(self, pool: PlannedPool, now_s: float) -> Plan:
        self.pools.append(pool)
        why = Explanation(reason="test")
        change = RoleChange(
            engine=UpstreamId("e-0"), role=EngineRole.PREFILL, explanation=why
        )
        return Plan(changes=(change,), explanation=why)


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
    fleet = FleetPlanner(lambda: planner, Metrics())
    views = (make_view("e-0", "m"), make_view("e-1", "n"), make_view("e-2", "m", "q"))
    fleet.plan(make_pool(*views), 0.0)
    assert [engine.engine for engine in planner.pools[0].engines] == ["e-0"]


def test_plan_becomes_engine_changes_at_its_interval() -> None:
    planner = FixedPlanner()
    fleet = FleetPlanner(lambda: planner, Metrics())
    pool = make_pool(make_view("e-0", "m"))
    first = fleet.plan(pool, 0.0)
    assert first.changes["e-0"].role is EngineRole.PREFILL
    assert fleet.plan(pool, 1.0).changes == {}
    assert fleet.plan(pool, 5.0).changes != {}
