"""Test order application over real sockets while the store and the engine fail."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.authority import Progress
from bramleyport.core import EngineRole, Execution, UpstreamState
from bramleyport.wire import Resume
from tests.fleet import MODEL, Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture(params=[True, False], ids=["checks fencing", "ignores fencing"])
def fleet(request: pytest.FixtureRequest, run: Run) -> Iterator[Fleet]:
    fleet = Fleet(checks_fencing=request.param)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def send_completion(fleet: Fleet, tokens: int) -> Coroutine[Any, Any, Any]:
    body = {"model": "inspections", "prompt": "a", "max_tokens": tokens}
    headers = {"X-Rank": "standard"}
    return fetch(
        fleet.url("/v1/completions"), "POST", headers, json.dumps(body).encode()
    )


async def end_fault(fleet: Fleet, after_s: float) -> None:
    await asyncio.sleep(after_s)
    fleet.store.faults.outage = False
    fleet.store.faults.delay_s = 0.0
    fleet.engine.faults.crash_in_order = False


def set_outage(fleet: Fleet) -> None:
    fleet.store.faults.outage = True


def set_slow(fleet: Fleet) -> None:
    fleet.store.faults.delay_s = 0.7


def set_lost_answers(fleet: Fleet) -> None:
    fleet.store.faults.lose_answers = 4


def set_crash(fleet: Fleet) -> None:
    fleet.engine.faults.crash_in_order = True


FAULTS = [set_outage, set_slow, set_lost_answers, set_crash]


@pytest.mark.parametrize("start_fault", FAULTS)
def test_order_is_applied_in_spite_of(
    fleet: Fleet, run: Run, start_fault: Callable[[Fleet], None]
) -> None:
    async def scenario() -> None:
        fleet.planner.roles["engine-0"] = EngineRole.DECODE
        start_fault(fleet)
        await end_fault(fleet, 2.0)
        await fleet.wait(lambda: fleet.engine.model.role is EngineRole.DECODE)
        await fleet.wait(fleet.has_settled)

    run(scenario())
    found = fleet.read_order()
    assert found is not None
    assert found.state is Progress.DONE
    assert found.progress.engine is not None
    assert found.progress.engine.role is EngineRole.DECODE


def test_role_change_cuts_no_stream(fleet: Fleet, run: Run) -> None:
    async def scenario() -> Any:
        # The stream must run when the order arrives at the agent. It therefore starts
        # after the holder has sealed the order object, and takes several seconds.
        await fleet.wait(lambda: fleet.is_sealed())
        stream = asyncio.ensure_future(send_completion(fleet, 600))
        await fleet.wait(lambda: fleet.engine.model.running)
        fleet.planner.roles["engine-0"] = EngineRole.PREFILL
        agent = fleet.agents[0]
        await fleet.wait(lambda: agent._get_state() is UpstreamState.CHANGING)
        refused = await send_completion(fleet, 2)
        still_running = bool(fleet.engine.model.running)
        role = fleet.engine.model.role
        answer = await stream
        await fleet.wait(lambda: fleet.engine.model.role is EngineRole.PREFILL)
        await fleet.wait(lambda: agent._get_state() is UpstreamState.LIVE)
        return answer, refused, still_running, role

    answer, refused, still_running, role = run(scenario())
    assert answer.json()["usage"]["completion_tokens"] == 600
    assert still_running
    assert role is EngineRole.MIXED
    assert refused.status == 503
    assert refused.json()["execution"] == "not_run"


def test_replaced_agent_never_changes_the_engine_again(fleet: Fleet, run: Run) -> None:
    async def scenario() -> None:
        old = fleet.agents[0]._orders.executor
        await fleet.wait(lambda: old.state == "idle")
        new = (await fleet.add_agent("agent-1"))._orders.executor
        await fleet.wait(lambda: new.state == "idle")
        fleet.planner.roles["engine-0"] = EngineRole.DECODE
        await fleet.wait(fleet.has_settled)
        await fleet.wait(lambda: old.state == "superseded")
        found = fleet.read_order()
        assert found is not None
        assert found.progress.agent == new.agent
        # A stale order that still reaches the engine is repaired or refused.
        order = {"sequence": 0, "fencing": 0, "role": "prefill"}
        try:
            await fleet.agents[0]._upstream.put_order(order)
        except Exception as error:
            assert "409" in str(error)
        await fleet.wait(lambda: fleet.engine.model.role is EngineRole.DECODE)

    run(scenario())
    assert fleet.engine.model.role is EngineRole.DECODE


def test_lease_passes_to_another_entry(fleet: Fleet, run: Run) -> None:
    async def scenario() -> tuple[int, int]:
        await fleet.add_entry("entry-1")
        controllers = [e.controllers for e in fleet.entries]
        # Entries learn the pools from the records.
        await fleet.wait(lambda: all(MODEL in c.pools for c in controllers))
        lease_managers = [c.pools[MODEL].lease_manager for c in controllers]
        await fleet.wait(lambda: lease_managers[0].fencing or lease_managers[1].fencing)
        index = 0 if lease_managers[0].fencing else 1
        before = int(lease_managers[index].fencing)
        await fleet.entries.pop(index).stop()
        await fleet.wait(lambda: lease_managers[1 - index].fencing)
        return before, int(lease_managers[1 - index].fencing)

    before, after = run(scenario())
    assert after > before


def test_broken_engine_stream_is_resumed(fleet: Fleet, run: Run) -> None:
    async def scenario() -> Any:
        fleet.engine.faults.break_streams_after = 3
        return await send_completion(fleet, 8)

    answer = run(scenario())
    assert answer.status == 200
    assert answer.json()["usage"]["completion_tokens"] == 8
    assert len(fleet.engine.executions) == 1


class RecordingConnection:
    peer = "entry"

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)


def test_unknown_attempt_never_runs_after_its_resume_is_refused(
    fleet: Fleet, run: Run
) -> None:
    """Guards against `not_run` for an attempt that a late Execute still starts."""

    async def scenario() -> list[Any]:
        agent, connection = fleet.agents[0], RecordingConnection()
        attempt = "run.1"
        message = Resume(attempt=attempt, next_frame=0, run=agent._run_id)  # type: ignore[arg-type]
        agent._resume(connection, message)
        agent._resume(connection, Resume(attempt="run.2", next_frame=0, run="other"))  # type: ignore[arg-type]
        assert not agent._gate.ledger.receive(attempt)
        return connection.posted

    first, second = run(scenario())
    assert first.execution is Execution.NOT_RUN
    assert second.execution is Execution.UNKNOWN
