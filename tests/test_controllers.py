"""Test a holder's view of its pool, its metrics and its restart after a fault."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from bramleyport.authority import (
    FENCING_REFUSED,
    LEASE_CANDIDATES,
    AgentProgress,
    EngineChange,
    Order,
    OrderObject,
    Progress,
)
from bramleyport.control._order_counter import OrderCounter
from bramleyport.control._pool_controller import PoolController
from bramleyport.control._pool_controllers import PoolControllers, _list_entries
from bramleyport.core import (
    EngineRole,
    PoolName,
    ProcessId,
    RegionName,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    ZoneName,
)
from bramleyport.links._agent_links import AgentLink
from bramleyport.links._pool_links import MAX_CONCURRENT_OPENS, PoolLinks
from bramleyport.membership import Host, HostState, ProcessRole
from bramleyport.telemetry import Metrics
from tests.fleet import MODEL, FixedPlan, Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]
ENGINES = 7
# The minimum number of engines of one pool in a subset.
SUBSET = 4


class PlannerOfAllViews:
    """Request one role for all engines in view, or fail."""

    def __init__(self) -> None:
        self.failing = False
        self.most_views = 0

    def plan(self, pool: Any, now_s: float) -> FixedPlan:
        if self.failing:
            raise RuntimeError("injected fault")
        self.most_views = max(self.most_views, len(pool.views))
        change = EngineChange(role=EngineRole.DECODE)
        return FixedPlan({view.upstream: change for view in pool.views})


@pytest.fixture
def fleet(run: Run) -> Iterator[Fleet]:
    fleet = Fleet(engines=ENGINES, subset_size=SUBSET)
    fleet.planner = PlannerOfAllViews()
    run(fleet.start())
    yield fleet
    run(fleet.stop())


async def complete(fleet: Fleet) -> Any:
    body = {"model": "inspections", "prompt": "a", "max_tokens": 2}
    headers = {"X-Rank": "standard"}
    url = fleet.url("/v1/completions")
    return await fetch(url, "POST", headers, json.dumps(body).encode())


def read_lease(fleet: Fleet) -> dict[str, Any]:
    value = fleet.store.store.objects.get(("leases", f"{MODEL}.lk-west"))
    return value["spec"] if value else {"holder": "", "fencing": 0}


def is_changed(view: UpstreamView) -> bool:
    return view.state is UpstreamState.LIVE and view.role is EngineRole.DECODE


def test_holder_plans_for_its_whole_pool_and_routes_in_its_subset(
    fleet: Fleet, run: Run
) -> None:
    """Guards against engines outside the subset that get no orders, or get work."""

    async def scenario() -> None:
        entry = fleet.entries[0]
        await fleet.wait(
            lambda: all(e.model.role is EngineRole.DECODE for e in fleet.engines)
        )
        assert fleet.planner.most_views == ENGINES
        subset = set(entry.list_upstreams())
        assert len(subset) == SUBSET
        beyond = entry.controllers._pool_links
        assert len(beyond.list_views()) == ENGINES - SUBSET
        # Before that the agents drain their engines and refuse requests as `not_run`.
        await fleet.wait(lambda: all(map(is_changed, entry._links.list_views())))
        answers = [await complete(fleet) for _ in range(3 * ENGINES)]
        assert all(answer.status == 200 for answer in answers)
        for index, engine in enumerate(fleet.engines):
            assert f"engine-{index}" in subset or not engine.executions
        entry.controllers._stopping = True
        await fleet.wait(lambda: not entry.controllers.pools)
        await fleet.wait(lambda: not beyond.list_views() and not beyond._open)

    run(scenario())
    assert read_lease(fleet)["holder"] == ""


def test_failed_controller_releases_its_lease_and_restarts(
    fleet: Fleet, run: Run
) -> None:
    """Guards against a failed controller that keeps the lease or never restarts."""

    async def scenario() -> None:
        await fleet.wait(lambda: read_lease(fleet)["holder"])
        first = read_lease(fleet)
        fleet.planner.failing = True
        await fleet.wait(lambda: read_lease(fleet)["holder"] == "")
        released = read_lease(fleet)
        assert released["fencing"] > first["fencing"]
        fleet.planner.failing = False
        await fleet.wait(lambda: read_lease(fleet)["holder"])
        assert read_lease(fleet)["fencing"] > released["fencing"]
        assert read_lease(fleet)["holder"] != first["holder"]

    run(scenario())


def test_outcomes_of_orders_are_counted_once(fleet: Fleet, run: Run) -> None:
    """Guards against metrics that miss role changes or count them twice."""

    async def scenario() -> str:
        await fleet.wait(
            lambda: all(e.model.role is EngineRole.DECODE for e in fleet.engines)
        )
        changed = f'changes_total{{pool="{MODEL}",role="decode"}} {ENGINES}'
        text = ""
        async with asyncio.timeout(20):
            while changed not in text:
                text = (await fetch(fleet.url("/metrics"))).body.decode()
        return text

    text = run(scenario())
    assert f'bramleyport_state{{name="lease_held",pool="{MODEL}"}} 1' in text


REFUSALS = [
    (Progress.DROPPED, "old fencing number", "agent"),
    (Progress.FAILED, FENCING_REFUSED, "engine"),
    (Progress.FAILED, "engine state differs", None),
]


@pytest.mark.parametrize(("state", "reason", "refuser"), REFUSALS)
def test_refused_orders_are_counted(
    state: Progress, reason: str, refuser: str | None
) -> None:
    """Guards against refusals that are missing in the metrics."""
    metrics = Metrics()
    counter = OrderCounter(PoolName(MODEL), metrics)
    order = Order(sequence=1, pool=PoolName(MODEL))
    begun = OrderObject(
        upstream=UpstreamId("engine-0"),
        version=1,
        order=order,
        progress=AgentProgress(sequence=1, state=Progress.BEGUN),
    )
    counter.mark_counted([begun])
    progress = AgentProgress(sequence=1, state=state, reason=reason)
    for version in (2, 3):
        counter.count(replace(begun, version=version, progress=progress))
    text = metrics.render_text().decode()
    counted = f'orders_refused_total{{by="{refuser}",pool="{MODEL}"}} 1'
    assert (counted in text) is (refuser is not None)


def make_host(name: str, region: str, **changes: Any) -> Host:
    host = Host(
        process=ProcessId(name),
        role=ProcessRole.ENTRY,
        address="10.0.0.1",
        port=1,
        zone=ZoneName("a"),
        region=RegionName(region),
    )
    return replace(host, **changes)


def test_candidates_are_entries_of_the_own_region() -> None:
    """Guards against an isolated region that depends on entries of another one."""
    own = [make_host(f"entry-{n}", "own") for n in range(5)]
    other = [make_host(f"far-{n}", "far") for n in range(5)]
    leaving = make_host("leaving", "own", state=HostState.LEAVING)
    agent = make_host("agent", "own", role=ProcessRole.AGENT)
    expected = {host.process for host in own}
    region = RegionName("own")
    assert _list_entries((*own, *other, leaving, agent), region) == expected
    assert _list_entries(tuple(own), region) == expected


def make_controllers(
    own: str, hosts: list[Host], restricted: tuple[str, ...] = ()
) -> PoolControllers:
    names = [f"model-{n}" for n in range(10)]
    records = {n: SimpleNamespace(model=SimpleNamespace(name=n)) for n in names}
    place = SimpleNamespace(process=own, region="own")
    arguments: list[Any] = [
        SimpleNamespace(process=place, pools=restricted),
        None,
        SimpleNamespace(list_views=list),
        None,
        SimpleNamespace(
            membership=SimpleNamespace(hosts=tuple(hosts)),
            replica=SimpleNamespace(records=SimpleNamespace(records=records)),
        ),
        None,
    ]
    return PoolControllers(*arguments)


def test_candidates_follow_the_membership() -> None:
    """Guards against a pool that has too few candidates after entries leave."""
    hosts = [make_host(f"entry-{n}", "own") for n in range(6)]
    controllers = [make_controllers(host.process, hosts) for host in hosts]
    for live_count in range(6, 0, -1):
        live = hosts[:live_count]
        leaving = [
            replace(host, state=HostState.LEAVING) for host in hosts[live_count:]
        ]
        counts = Counter[PoolName]()
        for controller in controllers[:live_count]:
            controller._hub.membership.hosts = (*live, *leaving)  # type: ignore[misc]
            counts.update(controller._choose_pools())
        assert set(counts.values()) == {min(live_count, LEASE_CANDIDATES)}
        assert len(counts) == 10
    restricted = make_controllers("entry-0", hosts[:1], ("model-3", "absent"))
    assert restricted._choose_pools() == {"model-3"}
    assert not make_controllers("entry-0", [])._choose_pools()


class UnreachableAgents:
    """Simulate links whose connections open only when a test marks them."""

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = {host.process: host for host in hosts}
        self.started: list[AgentLink] = []

    def list_outside_subset(self, pools: frozenset[PoolName]) -> dict[ProcessId, Host]:
        return self.hosts if pools else {}

    def connect(self, link: AgentLink) -> None:
        self.started.append(link)


def test_connections_beyond_the_subset_are_opened_a_few_at_a_time(run: Run) -> None:
    """Guards against a new holder that connects to all agents of a pool at once."""

    async def scenario() -> None:
        agents = UnreachableAgents([make_host(f"agent-{n}", "own") for n in range(10)])
        links = PoolLinks(agents)  # type: ignore[arg-type]
        for _ in range(3):
            links.update(frozenset({PoolName(MODEL)}))
            await asyncio.sleep(0.01)
        assert len(agents.started) == MAX_CONCURRENT_OPENS
        for link in agents.started[:2]:
            link.connected.set()
        await asyncio.sleep(0.01)
        assert len(agents.started) == MAX_CONCURRENT_OPENS + 2
        links.update(frozenset())
        assert not links._open
        await links.close()

    run(scenario())


class FailingController(PoolController):
    """Fail immediately at each start and record the restart delays."""

    def __init__(self) -> None:
        class NoClient: ...

        super().__init__(MODEL, "r", "p", NoClient(), None, list, None, None)  # type: ignore[arg-type]
        self.delays: list[float] = []

    async def _run_until_fault(self) -> bool:
        return False

    async def _release_lease(self) -> None: ...

    async def _back_off(self, delay_s: float) -> None:
        self.delays.append(delay_s)
        self.set_candidate(candidate=len(self.delays) < 9)


def test_restarts_are_delayed_exponentially(run: Run) -> None:
    """Guards against a failing controller that restarts in a tight loop."""
    controller = FailingController()
    run(controller.run())
    assert controller.delays == [1, 2, 4, 8, 16, 32, 60, 60, 60]
