"""Guard connections to callers against ends that look as if no request was read.

A caller sends a request again that must run at most once if its connection ended as if
nobody had read the request: with a reset before the first byte of the answer.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.http1 import CallerConnection, CallerRequest
from bramleyport.http1._server import EVENTS_PER_BATCH
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    LOOPBACK,
    RawRequest,
    Script,
    UpstreamStandin,
    answer_normally,
    hang,
    make_stamp_headers,
    render_response,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

ANSWER_S = 0.3
SHORT_PAUSE_S = 0.1
# Much less than the time after which idle connections are closed.
ANSWERED_S = 2.0
READ_BYTES = 65_536
# Seven of them are more than is buffered behind a call that runs.
PIPELINED_BODY_BYTES = 90_000
RECEIVE_BUFFER_BYTES = 4_096
# What the kernel takes from a gateway whose caller reads nothing, and more than that.
LONG_BODY_BYTES = 1_000_000
UNSENT_BODY_BYTES = 8_000_000
RESET, CLOSED = "reset", "closed"


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


class SocketCaller:
    """Represent a caller that tells a reset from the end of its connection."""

    def __init__(self, port: int, receive_buffer_bytes: int = 0) -> None:
        self._socket = socket.socket()
        if receive_buffer_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._socket.connect((LOOPBACK, port))
        self._socket.setblocking(False)
        self.received = b""
        self.end = ""

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def receive(self, limit_s: float = 5.0) -> None:
        """Read until the connection ends."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limit_s):
            while not self.end:
                try:
                    data = await loop.sock_recv(self._socket, READ_BYTES)
                except ConnectionError:
                    self.end = RESET
                    return
                self.received += data
                self.end = "" if data else CLOSED

    @property
    def statuses(self) -> list[int]:
        """Return the statuses of the answers that have arrived."""
        parts = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]

    def close(self) -> None:
        self._socket.close()


def render_request(
    name: str, path: str = "/post/x", body: bytes = b"b", *lines: str
) -> bytes:
    head = [f"POST {path} HTTP/1.1", "Host: calls.example", f"Request-Id: {name}"]
    head += ["Deadline-Ms: 3000", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join([*head, "", ""]).encode() + body


async def answer_late(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    upstream.record_run(request)
    await asyncio.sleep(ANSWER_S)
    headers = make_stamp_headers(upstream, request)
    writer.write(render_response(200, b"done", **headers))


def make_long_answer(body_bytes: int) -> Script:
    async def answer(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
        headers = make_stamp_headers(upstream, request)
        writer.write(render_response(200, b"x" * body_bytes, **headers))

    return answer


def test_call_is_answered_though_too_much_arrives_behind_it(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a reset for a call that runs, as if nobody had read it."""

    async def send() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = answer_late
        caller = SocketCaller(fleet.port)
        await caller.send(render_request("q1"))
        await fleet.wait_for(fleet.list_runs)
        body = b"x" * PIPELINED_BODY_BYTES
        behind = [render_request(f"q{n}", body=body) for n in range(2, 9)]
        await caller.send(b"".join(behind))
        await caller.receive()
        caller.close()
        return caller

    caller = run(send())
    assert (caller.statuses[0], caller.end) == (200, CLOSED)
    # Those behind it that fit into the buffer are served, the others are not begun.
    names = [name for _, name in fleet.list_runs()]
    assert names == [f"q{n + 1}" for n in range(len(caller.statuses))]
    assert 1 < len(names) < 8


def test_answer_is_not_destroyed_by_a_request_behind_the_close(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a reset that overtakes the answers to calls that have run."""

    async def send() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = make_long_answer(LONG_BODY_BYTES)
        caller = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        fleet.gateway._callers.draining = True
        await caller.send(render_request("q1") + render_request("q2"))
        await fleet.wait_for(lambda: len(fleet.list_runs()) == 2)
        await asyncio.sleep(ANSWER_S)
        # The connection is being closed, and its caller has read nothing.
        await caller.send(render_request("q3"))
        await asyncio.sleep(SHORT_PAUSE_S)
        await caller.receive()
        caller.close()
        return caller

    caller = run(send())
    assert caller.statuses == [200, 200]
    assert len(caller.received) > 2 * LONG_BODY_BYTES
    assert [name for _, name in fleet.list_runs()] == ["q1", "q2"]


def test_request_behind_the_end_of_its_connection_is_not_run(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against running a request whose connection was closed unanswered."""
    head = b"POST /post/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: q1\r\n"
    # More chunks than are processed in one turn of the loop.
    body = b"1\r\nb\r\n" * 100 + b"0\r\n\r\n"
    data = head + b"Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n" + body

    async def send() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = make_long_answer(UNSENT_BODY_BYTES)
        caller = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        await caller.send(render_request("q0"))
        await fleet.wait_for(fleet.list_runs)
        (connection,) = fleet.gateway._callers.connections
        await fleet.wait_for(lambda: not connection.serving)
        connection.dataReceived(data)
        # The connection stays open until its caller has read the answer before.
        connection.truncate_answer()
        await asyncio.sleep(ANSWER_S)
        await caller.receive()
        caller.close()
        return caller

    assert run(send()).statuses == [200]
    assert fleet.list_arrivals() == ["q0"]


GRACE_S = 2.0


@pytest.mark.parametrize("blocked_from_s", [1.5, 1.69])
def test_calls_of_a_stop_that_ends_late_are_answered(
    fleet: GatewayFleet, run: Run, blocked_from_s: float
) -> None:
    """Guards against calls that are cut by a process that was held up in its stop."""

    async def stop() -> SocketCaller:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        for upstream in fleet.plain:
            upstream.script = hang
        caller = SocketCaller(fleet.port)
        await caller.send(render_request("q1"))
        await fleet.wait_for(fleet.list_runs)
        began_s = time.monotonic()
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(blocked_from_s)
        time.sleep(began_s + GRACE_S - time.monotonic())
        await stopping
        await caller.receive()
        caller.close()
        return caller

    caller = run(stop())
    assert (caller.statuses, caller.end) == ([502], CLOSED)


def test_calls_behind_each_other_end_alike_at_the_end_of_a_stop(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against one answer for a call that runs and for those not begun."""

    async def stop() -> SocketCaller:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        for upstream in fleet.plain:
            upstream.script = hang
        caller = SocketCaller(fleet.port)
        partial = render_request("q3")[:-1]
        await caller.send(render_request("q1") + render_request("q2") + partial)
        await fleet.wait_for(fleet.list_runs)
        await fleet.gateway.stop()
        await caller.receive()
        caller.close()
        return caller

    caller = run(stop())
    assert (caller.statuses, caller.end) == ([502, 503], CLOSED)
    assert [name for _, name in fleet.list_runs()] == ["q1"]


@pytest.mark.parametrize("turns", range(8))
def test_call_that_is_answered_as_calls_are_ended_is_not_refused(
    fleet: GatewayFleet, run: Run, turns: int
) -> None:
    """Guards against a refusal when the answer and the end come in one turn."""
    release = asyncio.Event()

    async def answer_when_released(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        await answer_normally(upstream, request, writer)

    async def end() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = answer_when_released
        caller = SocketCaller(fleet.port)
        await caller.send(render_request("q1"))
        await fleet.wait_for(fleet.list_arrivals)
        (connection,) = fleet.gateway._callers.connections
        fleet.gateway._callers.draining = True
        release.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        fleet.state.ending = True
        connection.end_request()
        await caller.receive()
        caller.close()
        return caller

    caller = run(end())
    assert len(caller.statuses) == 1
    assert set(caller.statuses) <= {200, 502}


def test_bad_request_behind_a_call_leaves_the_call_its_answer(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against an error of the next request that answers the one that runs."""

    async def send() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = answer_late
        caller = SocketCaller(fleet.port)
        await caller.send(render_request("q1") + b"no request\r\n\r\n")
        await caller.receive()
        caller.close()
        return caller

    caller = run(send())
    assert (caller.statuses, caller.end) == ([200, 400], CLOSED)


# Longer than the limit on the time of a head in the configuration of the fleet.
HELD_UP_S = 0.7


def test_request_whose_end_waits_as_its_limit_is_due_is_served(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a 408 by a gateway that has not read for a while."""

    async def send() -> SocketCaller:
        caller = SocketCaller(fleet.port)
        data = render_request("q1", "/post/x", b"b", "Connection: close")
        await caller.send(data[:20])
        await fleet.wait_for(lambda: fleet.gateway._callers.connections)
        (connection,) = fleet.gateway._callers.connections
        await fleet.wait_for(lambda: not connection.idle)
        await caller.send(data[20:])
        time.sleep(HELD_UP_S)
        await caller.receive()
        caller.close()
        return caller

    caller = run(send())
    assert (caller.statuses, caller.end) == ([200], CLOSED)


@pytest.mark.parametrize("raises", [True, False])
def test_request_whose_handler_sends_no_answer_is_reported_as_failed(
    fleet: GatewayFleet, run: Run, raises: bool
) -> None:
    """Guards against a close without a byte, as if nobody had read the request."""

    async def fail(request: CallerRequest, connection: CallerConnection) -> None:
        await asyncio.sleep(0)
        if raises:
            raise ValueError("handler failed")

    async def send() -> SocketCaller:
        fleet.gateway._callers.handler = fail
        caller = SocketCaller(fleet.port)
        await caller.send(render_request("q1") + render_request("q2"))
        await caller.receive()
        caller.close()
        return caller

    caller = run(send())
    assert (caller.statuses, caller.end) == ([502], CLOSED)


def test_request_that_ends_with_a_batch_of_events_leaves_its_connection_readable(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a connection that stays paused after a body of many chunks."""

    async def send() -> SocketCaller:
        caller = SocketCaller(fleet.port)
        # The head and the end are events, too.
        chunks = b"1\r\nx\r\n" * (EVENTS_PER_BATCH - 2) + b"0\r\n\r\n"
        head = render_request("q1", body=b"")
        head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        await caller.send(head + chunks)
        await fleet.wait_for(fleet.list_runs)
        await caller.send(render_request("q2", "/post/x", b"b", "Connection: close"))
        await caller.receive(ANSWERED_S)
        caller.close()
        return caller

    assert run(send()).statuses == [200, 200]
