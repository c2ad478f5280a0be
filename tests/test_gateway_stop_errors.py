"""Guard that an error within a planned stop cuts no call that was accepted."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from bramleyport.gateway import _shutdown
from bramleyport.telemetry import events
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    RawCaller,
    RawRequest,
    UpstreamStandin,
    answer_normally,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# A stop without an error closes idle connections after 3 s and ends calls after 7 s.
ANSWER_S = 4.5


async def answer_late(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(ANSWER_S)
    await answer_normally(upstream, request, writer)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Any:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    for upstream in (*fleet.plain, *fleet.engines):
        upstream.script = answer_late
    yield fleet
    run(fleet.stop())


@pytest.fixture
def failed_steps() -> Any:
    """Return the steps for which unexpected errors are logged."""
    steps: list[str] = []

    def collect(message: Any) -> None:
        extra = message.record["extra"]
        if extra.get("event") == events.HANDLER_FAILED.number:
            steps.append(extra["fields"]["step"])

    sink = logger.add(collect)
    yield steps
    logger.remove(sink)


def fail(*_: Any) -> None:
    raise RuntimeError("unexpected")


async def open_idle(fleet: GatewayFleet) -> Any:
    """Open a connection without a request, and return the gateway's side."""
    before = set(fleet.gateway._callers.connections)
    await fleet.make_caller().open()
    await fleet.wait_for(lambda: fleet.gateway._callers.connections - before)
    (connection,) = fleet.gateway._callers.connections - before
    return connection


async def answer_in_stop(fleet: GatewayFleet) -> int:
    """Send a call that outlasts the error, stop the gateway and return the status."""
    caller = fleet.make_caller()
    # Streams that cannot go on have the longest time limit.
    await caller.send("/once/x", body=b"b", Deadline_Ms="6000")
    await fleet.wait_for(fleet.list_arrivals)
    return await receive_in_stop(fleet, caller)


async def receive_in_stop(fleet: GatewayFleet, caller: RawCaller) -> int:
    stopping = asyncio.ensure_future(fleet.gateway.stop())
    try:
        return (await caller.receive()).status
    finally:
        await stopping


def test_error_of_one_connection_cuts_no_call_of_others(
    fleet: GatewayFleet, run: Run, failed_steps: list[str]
) -> None:
    """Guards against a stop that ends at once since one connection can't be closed."""

    async def stop() -> int:
        (await open_idle(fleet)).close_if_idle = fail
        return await answer_in_stop(fleet)

    assert run(stop()) == 200
    assert failed_steps == ["close idle connection"]


def test_port_that_cannot_be_closed_cuts_no_call(
    fleet: GatewayFleet,
    run: Run,
    failed_steps: list[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that are accepted by the port of a process that ends."""
    monkeypatch.setattr(_shutdown, "close_port", fail)

    async def stop() -> int:
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await fleet.wait_for(lambda: failed_steps)
        for upstream in fleet.plain:
            upstream.script = answer_normally
        status = (await fleet.make_caller().call("/post/x", body=b"b")).status
        await stopping
        return status

    assert run(stop()) == 200
    assert set(failed_steps) == {"close port"}


def test_error_while_a_stop_waits_cuts_no_call(
    fleet: GatewayFleet, run: Run, failed_steps: list[str]
) -> None:
    """Guards against any other error that ends a stop before its calls."""

    async def stop() -> int:
        fleet.gateway._shutdown._has_finished = fail
        return await answer_in_stop(fleet)

    assert run(stop()) == 200
    assert failed_steps[0] == "stop"
