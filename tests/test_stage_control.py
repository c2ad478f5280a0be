"""Guard the gateway that orders stages against ends of its own jobs."""

from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import Explanation, ServiceName, UpstreamId
from bramleyport.fleet import Stage, StageChange, StagePlanner
from bramleyport.gateway import _stages
from bramleyport.gateway._clock import read_now
from bramleyport.supervision import _jobs
from tests.gateway_fleet import ENGINE, LANGUAGE, GatewayFleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]

CHANGE = StageChange(
    upstream=UpstreamId("d0"),
    stage=Stage.PREFILL,
    explanation=Explanation(reason="backlog", numbers={}),
)


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[GatewayFleet]:
    monkeypatch.setattr(_stages, "START_DELAY_S", 0.1)
    monkeypatch.setattr(_jobs, "RESTART_DELAY_S", 0.1)
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


class PlannedChanges:
    """Represent plans that fail as often as they are told to."""

    def __init__(self, service: str) -> None:
        self.service = ServiceName(service)
        self.failures = 0
        self.plans = 0

    def __call__(self, now_s: float) -> list[tuple[StageChange, ServiceName]]:
        self.plans += 1
        if self.failures:
            self.failures -= 1
            raise RuntimeError("no plan")
        return [(CHANGE, self.service)]


def plan_changes(stages: Any) -> PlannedChanges:
    """Have a gateway order the same change again and again."""
    stages._planners[ServiceName(LANGUAGE)] = StagePlanner()
    stages._list_changes = PlannedChanges(LANGUAGE)
    planned: PlannedChanges = stages._list_changes
    return planned


# Guards against a gateway that orders no stages any more after one plan has failed, as
# it neither renews its lease nor lets others have it.
def test_lease_is_kept_after_a_failed_plan(run: Run, fleet: GatewayFleet) -> None:
    async def check() -> None:
        stages = fleet.gateway._stages
        planned = plan_changes(stages)
        engine = fleet.engines[0]
        await fleet.wait_for(lambda: engine.orders)
        planned.failures = 1
        await fleet.wait_for(lambda: planned.failures == 0)
        count = len(engine.orders)
        await fleet.wait_for(lambda: len(engine.orders) > count + 2)
        assert not stages._lease_task.done()

    run(check())


# Guards against a plan that fails as the configuration drops its service meanwhile.
def test_change_of_a_dropped_service_is_not_ordered(
    run: Run, fleet: GatewayFleet
) -> None:
    async def check() -> None:
        stages = fleet.gateway._stages
        planned = plan_changes(stages)
        await fleet.wait_for(lambda: fleet.engines[0].orders)
        errors = []
        poll = stages._poll

        async def record_errors() -> None:
            try:
                await poll()
            except Exception as error:
                errors.append(error)
                raise

        stages._poll = record_errors
        planned.service = ServiceName("dropped")
        plans = planned.plans
        await fleet.wait_for(lambda: planned.plans > plans + 4)
        assert errors == []

    run(check())


# Guards against calls to an engine that takes no new ones and still ends its streams,
# for longer than a change of its stage usually takes.
def test_engine_gets_no_calls_until_it_is_registered_in_its_new_stage(
    run: Run, fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_stages, "FINISH_TIME_S", -ENGINE["switch_s"])

    async def check() -> None:
        plan_changes(fleet.gateway._stages)
        engine = fleet.engines[0]
        await fleet.wait_for(lambda: engine.orders)
        state = fleet.state
        await fleet.wait_for(lambda: state.is_changing(CHANGE.upstream, read_now()))
        engine.stage = "prefill"
        engine.register(fleet.store)
        await fleet.wait_for(lambda: not state.is_changing(CHANGE.upstream, read_now()))

    run(check())
