"""Guard that a planned stop of a gateway cuts nothing that it has accepted."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    RawCaller,
    RawRequest,
    UpstreamStandin,
    answer_normally,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# Longer than a gateway needs to end once it waits for no connection.
ANSWER_S = 0.5
STORE_DELAY_S = 0.15
PAUSE_S = 0.1


async def answer_late(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(ANSWER_S)
    await answer_normally(upstream, request, writer)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Any:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    for upstream in fleet.plain:
        upstream.script = answer_late
    yield fleet
    run(fleet.stop())


async def send_one(caller: RawCaller) -> str:
    """Send a call on a new connection; return its status or how it ended."""
    try:
        await caller.open()
    except ConnectionError:
        return "not accepted"
    try:
        return str((await caller.call("/post/x", body=b"b")).status)
    except (ConnectionError, asyncio.IncompleteReadError):
        return "cut"


def test_calls_that_arrive_while_a_stop_ends_are_answered(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a port that takes calls after the stop has stopped waiting."""

    async def stop() -> list[str]:
        fleet.store.delay_s = STORE_DELAY_S
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        ends = []
        while not stopping.done():
            ends.append(await send_one(fleet.make_caller()))
            await asyncio.sleep(PAUSE_S)
        await stopping
        return ends

    ends = run(stop())
    assert set(ends) <= {"200", "not accepted"}
    assert len(fleet.list_runs()) == ends.count("200") > 0


def test_pipelined_requests_are_answered_in_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a request that is dropped behind another on its connection."""

    async def stop() -> list[int]:
        caller = fleet.make_caller()
        for _ in range(3):
            await caller.send("/post/x", body=b"b")
        await asyncio.sleep(ANSWER_S / 4)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        statuses = [(await caller.receive()).status for _ in range(3)]
        await stopping
        return statuses

    assert run(stop()) == [200, 200, 200]


def test_request_on_a_new_connection_is_read_in_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against closing a connection whose first request is on its way."""

    async def stop() -> int:
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(2.9)
        caller = fleet.make_caller()
        await caller.open()
        await asyncio.sleep(0.3)
        answer = await caller.call("/post/x", body=b"b")
        await stopping
        return answer.status

    assert run(stop()) == 200


def test_request_whose_body_does_not_end_is_refused_at_the_end_of_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a request that is cut without a word on whether it ran."""

    async def stop() -> int:
        fleet.state.settings = replace(fleet.state.settings, grace_s=3.0)
        caller = fleet.make_caller()
        await caller.open()
        assert caller.writer is not None
        head = b"POST /post/x HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 9\r\n"
        caller.writer.write(head + b"Request-Id: q1\r\n\r\nb")
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        answer = await caller.receive()
        await stopping
        return answer.status

    assert run(stop()) == 503
    assert fleet.list_runs() == []
