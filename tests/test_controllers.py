"""Guard the holder's view of its pool, and its restart after a fault."""

import json
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.authority import EngineChange
from bramleyport.core import EngineRole
from bramleyport.daemons._controller import PoolController
from tests.fleet import MODEL, FixedPlan, Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]
ENGINES = 7
# The least that a subset takes of one pool.
SUBSET = 4


class PlannerOfAllViews:
    """Want one role for every engine in view, or fail."""

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


def test_holder_plans_for_its_whole_pool_and_routes_in_its_subset(
    fleet: Fleet, run: Run
) -> None:
    """Guards against engines beyond the subset that get no orders, or get work."""

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
        answers = [await complete(fleet) for _ in range(3 * ENGINES)]
        assert all(answer.status == 200 for answer in answers)
        for index, engine in enumerate(fleet.engines):
            assert f"engine-{index}" in subset or not engine.executions
        entry.controllers._stopping = True
        await fleet.wait(lambda: not entry.controllers.pools)
        await fleet.wait(lambda: not beyond.list_views() and not beyond._open)

    run(scenario())
    assert read_lease(fleet)["holder"] == ""


def test_failed_controller_gives_up_its_lease_and_restarts(
    fleet: Fleet, run: Run
) -> None:
    """Guards against a faulty controller that keeps the lease, or never returns."""

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


class FailingController(PoolController):
    """Fail at once each time and record the delays."""

    def __init__(self) -> None:
        class NoClient: ...

        super().__init__(MODEL, "r", "p", NoClient(), None, list, None, None)  # type: ignore[arg-type]
        self.delays: list[float] = []

    async def _run_until_fault(self) -> bool:
        return False

    async def _give_up(self) -> None: ...

    async def _back_off(self, delay_s: float) -> None:
        self.delays.append(delay_s)
        self.set_candidate(candidate=len(self.delays) < 9)


def test_restarts_are_delayed_exponentially(run: Run) -> None:
    """Guards against a controller that fails in a tight loop."""
    controller = FailingController()
    run(controller.run())
    assert controller.delays == [1, 2, 4, 8, 16, 32, 60, 60, 60]
