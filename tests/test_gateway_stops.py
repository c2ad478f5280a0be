"""Guard that a planned stop of a gateway cuts nothing that it has accepted."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from bramleyport.fleet import plan_shutdown
from bramleyport.telemetry import gateway_events
from tests.gateway_fleet import GatewayFleet, make_config
from tests.platform_standin import (
    EVENT_COUNT,
    LOOPBACK,
    RawCaller,
    RawRequest,
    Script,
    UpstreamStandin,
    answer_normally,
    hang,
    lose_answer,
    make_stamp_headers,
    make_stream_abort,
    render_event,
    render_response,
    script_first_request,
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


def connect_with_request(port: int, name: str) -> socket.socket:
    """Open a connection and send a request, before the gateway's loop goes on."""
    connection = socket.create_connection((LOOPBACK, port))
    connection.sendall(render_request(name))
    connection.setblocking(False)
    return connection


def render_request(name: str, path: str = "/post/x") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 0\r\n"
    return f"{head}Request-Id: {name}\r\nDeadline-Ms: 3000\r\n\r\n".encode()


async def read_status(connection: socket.socket) -> str:
    """Return the status of an answer, or how the connection ended without one."""
    loop = asyncio.get_running_loop()
    try:
        data = await loop.sock_recv(connection, 65_536)
    except ConnectionError:
        return "reset"
    return data.split(b" ")[1].decode() if data else "closed"


def call_before(target: Any, name: str, action: Callable[[], None]) -> None:
    """Make an action happen in the instant before the next call of a method."""
    method = getattr(target, name)

    def call_both(*args: Any) -> Any:
        setattr(target, name, method)
        action()
        return method(*args)

    setattr(target, name, call_both)


def test_connections_that_wait_to_be_accepted_are_served_as_the_port_closes(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a port that resets connections in the queue of the kernel."""
    waiting: list[socket.socket] = []

    def connect() -> None:
        waiting.extend(connect_with_request(fleet.port, f"w{n}") for n in range(30))

    async def stop() -> list[str]:
        # After single connections a port accepts few in one turn of the loop.
        for _ in range(2):
            await send_one(fleet.make_caller())
        call_before(fleet.gateway._shutdown, "_close_port", connect)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await fleet.wait_for(lambda: waiting)
        ends = await asyncio.gather(*map(read_status, waiting))
        await stopping
        return ends

    ends = run(stop())
    for connection in waiting:
        connection.close()
    assert ends == ["200"] * 30


def test_port_is_closed_in_the_turn_of_the_loop_that_closes_it(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against connections that arrive between the last accept and the close."""

    async def stop() -> None:
        shutdown, later = fleet.gateway._shutdown, []
        close_port = shutdown._close_port

        def close_and_connect() -> None:
            is_first = shutdown._port is not None
            close_port()
            if is_first:
                with socket.socket() as connection:
                    later.append(connection.connect_ex((LOOPBACK, fleet.port)))

        shutdown._close_port = close_and_connect
        await fleet.gateway.stop()
        assert later and later[0] != 0

    run(stop())


def test_connections_that_wait_to_be_accepted_at_the_end_are_answered(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against requests that arrive in the instant in which a stop ends calls."""
    waiting: list[socket.socket] = []

    def connect() -> None:
        waiting.extend(connect_with_request(fleet.port, f"w{n}") for n in range(5))

    async def stop() -> list[str]:
        fleet.state.settings = replace(fleet.state.settings, grace_s=3.0)
        for upstream in fleet.plain:
            upstream.script = hang
        caller = fleet.make_caller()
        await caller.send("/post/x", body=b"b", Request_Id="q1")
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(PAUSE_S)
        call_before(fleet.gateway._shutdown, "_close_port", connect)
        await fleet.wait_for(lambda: waiting)
        ends = await asyncio.gather(*map(read_status, waiting))
        await stopping
        return ends

    ends = run(stop())
    for connection in waiting:
        connection.close()
    assert ends == ["503"] * 5


def test_request_that_is_read_in_the_turn_in_which_calls_end_is_answered(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a call that is cancelled before its first step."""

    async def stop() -> str:
        caller = fleet.make_caller()
        await caller.open()
        await fleet.wait_for(lambda: fleet.gateway._callers.connections)
        (connection,) = fleet.gateway._callers.connections
        fleet.state.shutdown = plan_shutdown(time.monotonic() - 60.0, 20.0)
        fleet.state.ending = True
        connection.dataReceived(render_request("w1"))
        connection.end_request()
        async with asyncio.timeout(2):
            return str((await caller.receive()).status)

    assert run(stop()) == "503"
    assert fleet.list_runs() == []


def test_request_on_an_open_connection_is_served_as_idle_ones_are_closed(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against closing a connection whose next request waits to be read."""

    async def stop() -> str:
        kept = connect_with_request(fleet.port, "w1")
        assert await read_status(kept) == "200"
        (connection,) = fleet.gateway._callers.connections
        call_before(
            connection, "close_if_idle", lambda: kept.sendall(render_request("w2"))
        )
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        status = await read_status(kept)
        await stopping
        kept.close()
        return status

    assert run(stop()) == "200"


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 5.0, 8.0, 20.0])
def test_calls_run_until_the_last_sixth_of_the_grace_time(grace_s: float) -> None:
    """Guards against a margin that ends calls early when the grace time is short."""
    schedule = plan_shutdown(100.0, grace_s)
    assert 100.0 + grace_s * 5 / 6 <= schedule.end_s < 100.0 + grace_s
    assert schedule.restricted_from_s <= schedule.end_s


@pytest.mark.parametrize("grace_s", [1.0, 2.0])
def test_stop_with_a_short_grace_time_finishes_calls_and_ends_in_time(
    fleet: GatewayFleet, run: Run, grace_s: float
) -> None:
    """Guards against cut calls, and against a kill by the platform, on short stops."""

    async def stop() -> tuple[list[int], float]:
        fleet.state.settings = replace(fleet.state.settings, grace_s=grace_s)
        fleet.store.delay_s = 30.0
        short, long = fleet.make_caller(), fleet.make_caller()
        await short.send("/post/x", body=b"b", Request_Id="short")
        await fleet.wait_for(lambda: len(fleet.list_arrivals()) == 1)
        fleet.plain[0].script = fleet.plain[1].script = hang
        await long.send("/post/x", body=b"b", Request_Id="long")
        await fleet.wait_for(lambda: len(fleet.list_arrivals()) == 2)
        began_s = time.monotonic()
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        statuses = [(await caller.receive()).status for caller in (short, long)]
        await stopping
        return statuses, time.monotonic() - began_s

    statuses, took_s = run(stop())
    assert statuses == [200, 502]
    assert took_s < grace_s


GRACE_S = 3.0
# Calls of plain routes may take 2 s, so they are sent when less than that is left.
SEND_AFTER_S = 0.8


@pytest.mark.parametrize(
    ("path", "scripts", "status", "reason"),
    [
        # The first attempt is lost, the next one is silent.
        ("/read/x", [lose_answer, hang], 502, "call_ended"),
        ("/post/x", [hang, hang], 502, "call_ended"),
        ("/once/x", [hang, hang], 502, "call_ended"),
        ("/stream/x", [make_stream_abort(0), hang], 502, "call_ended"),
    ],
)
def test_calls_that_may_have_run_are_not_reported_as_not_run_at_the_end(
    fleet: GatewayFleet,
    run: Run,
    path: str,
    scripts: list[Script],
    status: int,
    reason: str,
) -> None:
    """Guards against a 503 for a call that waits in one of several attempts."""

    async def stop() -> Any:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        first, last = scripts
        for upstream in (*fleet.plain, *fleet.engines):
            upstream.script = last
        targets = fleet.engines if path in ("/once/x", "/stream/x") else fleet.plain
        script_first_request(targets, first)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(SEND_AFTER_S)
        answer = await fleet.make_caller().call(path, body=b"b")
        await stopping
        return answer

    answer = run(stop())
    assert (answer.status, answer.body.decode().strip()) == (status, reason)


def test_call_that_waits_for_its_separate_prefill_is_reported_as_not_run(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a 502 or a cut for a call of which only the prompt was read."""

    async def stop() -> int:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        choose = fleet.state.chooser.choose

        def split(*args: Any, **options: Any) -> Any:
            choice = choose(*args, **options)
            return choice and replace(choice, prefill=find_prefill_engine(fleet))

        fleet.state.chooser.choose = split
        for engine in fleet.engines:
            engine.prefill_hangs = True
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(SEND_AFTER_S)
        answer = await fleet.make_caller().call(
            "/once/x", body=b"b", Deadline_Ms="6000"
        )
        await stopping
        return answer.status

    assert run(stop()) == 503
    assert fleet.list_runs() == []
    assert fleet.list_arrivals()


def find_prefill_engine(fleet: GatewayFleet) -> Any:
    """Return the registration of an engine for separate prefills."""
    return fleet.state.members.list_ready("language")[0]


def test_answer_that_is_read_slowly_outlasts_short_idle_limits(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against aborting a closing connection while its caller still reads."""
    body = b"x" * 8_000_000

    async def answer_at_length(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
        headers = make_stamp_headers(upstream, request)
        writer.write(render_response(200, body, **headers))

    async def stop() -> int:
        for upstream in fleet.plain:
            upstream.script = answer_at_length
        config = make_config(2)
        config["limits"]["idle_timeout_ms"] = 500
        fleet.store.put("config", "main", config)
        await fleet.wait_for(lambda: fleet.state.limits.idle_timeout_s == 0.5)
        slow = connect_with_request(fleet.port, "w1")
        await fleet.wait_for(lambda: len(fleet.list_runs()) == 1)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        received = 0
        loop = asyncio.get_running_loop()
        while received < len(body):
            received += len(await loop.sock_recv(slow, 400_000))
            await asyncio.sleep(PAUSE_S)
        await stopping
        slow.close()
        return received

    assert run(stop()) >= len(body)


def test_stream_is_resumed_at_another_upstream_in_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a stop that ends a stream whose first upstream has failed."""

    async def stop() -> Any:
        for engine in fleet.engines:
            engine.script = answer_late
        script_first_request(fleet.engines, make_stream_abort(2))
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(PAUSE_S)
        answer = await fleet.make_caller().call("/stream/x", body=b"b")
        await stopping
        return answer

    answer = run(stop())
    assert (answer.status, answer.complete) == (200, True)
    events = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))
    assert answer.body == events


BLOCKED_S = 0.5


@pytest.mark.parametrize("blocked_from_s", [0.0, 2.8, 3.0])
def test_requests_that_arrive_while_the_loop_is_blocked_are_served(
    fleet: GatewayFleet, run: Run, blocked_from_s: float
) -> None:
    """Guards against closing connections by what was read before the loop stood."""

    async def stop() -> list[str]:
        kept = connect_with_request(fleet.port, "w1")
        assert await read_status(kept) == "200"
        loop = asyncio.get_running_loop()
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(blocked_from_s)
        try:
            kept.sendall(render_request("w2"))
        except ConnectionError:
            kept.close()
        new = connect_with_request(fleet.port, "w3")
        loop.call_soon(time.sleep, BLOCKED_S)
        ends = [await read_status(item) for item in (kept, new) if item.fileno() >= 0]
        await stopping
        return ends

    assert set(run(stop())) == {"200"}


def test_silent_store_does_not_delay_the_end_of_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a kill by the platform while a gateway waits for the store."""

    async def stop() -> float:
        fleet.store.unresponsive = True
        began_s = time.monotonic()
        caller = fleet.make_caller()
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        assert (await caller.call("/post/x", body=b"b")).status == 200
        await stopping
        return time.monotonic() - began_s

    assert run(stop()) < fleet.state.settings.grace_s


@pytest.mark.parametrize("path", ["/post/x", "/once/x"])
def test_calls_that_a_stop_ends_are_logged(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    """Guards against calls that end without a word in the log on the cause."""
    failed: list[Any] = []

    def collect(message: Any) -> None:
        extra = message.record["extra"]
        if extra.get("event") == gateway_events.CALL_FAILED.number:
            failed.append(extra["fields"])

    async def stop() -> None:
        fleet.state.settings = replace(fleet.state.settings, grace_s=2.0)
        for upstream in (*fleet.plain, *fleet.engines):
            upstream.script = hang
        await fleet.make_caller().send(path, body=b"b", Request_Id="q9")
        await fleet.wait_for(lambda: fleet.list_runs())
        await fleet.gateway.stop()

    sink = logger.add(collect)
    run(stop())
    logger.remove(sink)
    assert [(item["request"], item["reason"]) for item in failed] == [
        ("q9", "stopping")
    ]
