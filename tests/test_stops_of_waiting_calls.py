"""Guard that calls which wait within a gateway get an answer as a stop ends."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import UpstreamId
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.http1._pool import ConnectionPool
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import lose_answer

Run = Callable[[Coroutine[Any, Any, Any]], Any]

GRACE_S = 3.0
# Longer than the stop, so that only its end can end the call.
DEADLINE_MS = "6000"
# Calls of this route may take 6 s, those of the others 2 s.
LONG_PATH = "/once/x"
# A call with a time limit of 2 s is sent so late that it outlasts the stop.
SEND_AFTER_S = 1.0


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Any:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


async def wait_forever(*_: Any, **__: Any) -> None:
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("waiter", "name", "path", "status"),
    [
        (VersionChooser, "prepare", LONG_PATH, 503),
        (VersionChooser, "settle", "/stream/x", 503),
        (ConnectionPool, "acquire", "/post/x", 503),
        # The call has reached an upstream.
        (ProcessChecker, "is_registered", "/stream/x", 502),
    ],
)
def test_call_that_waits_within_the_gateway_is_answered_at_the_end_of_a_stop(
    fleet: GatewayFleet,
    run: Run,
    monkeypatch: pytest.MonkeyPatch,
    waiter: type,
    name: str,
    path: str,
    status: int,
) -> None:
    """Guards against a wait that outlasts the process, or a false word on the call."""

    async def stop() -> int:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        monkeypatch.setattr(waiter, name, wait_forever)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(SEND_AFTER_S)
        caller = fleet.make_caller()
        answer = await caller.call(path, body=b"b", Deadline_Ms=DEADLINE_MS)
        await stopping
        return answer.status

    assert run(stop()) == status
    assert bool(fleet.list_runs()) is (status == 502)


def test_call_that_waits_after_a_lost_attempt_is_answered_at_the_end_of_a_stop(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 503 for a call that ran, and waits before its next attempt."""

    async def stop() -> int:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        for upstream in fleet.plain:
            upstream.script = lose_answer
        monkeypatch.setattr(CrashGuard, "record_broken", wait_forever)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(SEND_AFTER_S)
        answer = await fleet.make_caller().call("/read/x", body=b"b")
        await stopping
        return answer.status

    assert run(stop()) == 502


def test_call_whose_wait_ends_within_a_stop_is_served(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that ends while a call waits to be sent."""
    released = asyncio.Event()
    acquire = ConnectionPool.acquire

    async def wait_and_acquire(*args: Any, **options: Any) -> Any:
        await released.wait()
        return await acquire(*args, **options)

    async def stop() -> int:
        caller = fleet.make_caller()
        monkeypatch.setattr(ConnectionPool, "acquire", wait_and_acquire)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(2.0)
        await caller.send(LONG_PATH, body=b"b", Deadline_Ms=DEADLINE_MS)
        # The gateway closes what is idle 3 s after the signal.
        await asyncio.sleep(1.5)
        assert not stopping.done()
        released.set()
        status = (await caller.receive()).status
        await stopping
        return status

    assert run(stop()) == 200


async def find_no_process(*_: Any) -> bool:
    return False


def crash_engines(fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the gateway find that all engines have crashed and may be back."""
    monkeypatch.setattr(ProcessChecker, "has_returned", find_no_process)
    for engine in fleet.engines:
        fleet.state.record_ended(UpstreamId(engine.name), read_now())


@pytest.mark.parametrize("path", [LONG_PATH, "/stream/x"])
def test_call_that_is_held_for_its_upstreams_is_refused_at_the_end_of_a_stop(
    fleet: GatewayFleet, run: Run, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends with calls which wait for their upstreams."""

    async def stop() -> int:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        crash_engines(fleet, monkeypatch)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        # Calls are held for up to half of their time, 1 s of that of a short route.
        await asyncio.sleep(2.0)
        caller = fleet.make_caller()
        answer = await caller.call(path, body=b"b", Deadline_Ms=DEADLINE_MS)
        assert fleet.state.ending
        await stopping
        return answer.status

    assert run(stop()) == 503
    assert fleet.list_runs() == []


def test_call_that_is_held_is_served_if_its_upstreams_are_back_within_a_stop(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that ends while a call waits for its upstreams."""

    async def stop() -> int:
        crash_engines(fleet, monkeypatch)
        caller = fleet.make_caller()
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(2.0)
        await caller.send(LONG_PATH, body=b"b", Deadline_Ms=DEADLINE_MS)
        # The gateway closes what is idle 3 s after the signal.
        await asyncio.sleep(1.5)
        assert not stopping.done()
        assert fleet.list_runs() == []
        fleet.state.ended_processes.clear()
        status = (await caller.receive()).status
        await stopping
        return status

    assert run(stop()) == 200
