"""Guard callers against answers that were cut: none of them may look complete."""

import asyncio
import contextlib
import gc
import socket
import struct
import weakref
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import ExchangeError, UpstreamConnection
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config
from tests.platform_standin import LOOPBACK, RawRequest, Script, UpstreamStandin
from tests.ports import find_port
from tests.test_hostile_answers import open_connection, render_chunks

Run = Callable[[Coroutine[Any, Any, Any]], Any]
BODY = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
EVENT_ENDS = (15, 30)
START = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nServer-Stamp: s\r\n"
    b"Content-Type: text/event-stream\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADS = {
    "length": START + b"Content-Length: %d\r\n\r\n" % len(BODY),
    "chunked": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "trailers": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": START + b"\r\n",
    "interim": INTERIM + START + b"Content-Length: %d\r\n\r\n" % len(BODY),
    "interim_unframed": INTERIM + START + b"\r\n",
    "bare_lines": START.replace(b"\r\n", b"\n") + b"\n",
}
BODIES = dict.fromkeys(HEADS, BODY) | {
    "chunked": render_chunks(BODY, 11) + b"0\r\n\r\n",
    "trailers": render_chunks(BODY, 11) + b"0\r\nX-Sum: 1\r\n\r\n",
}
UNFRAMED = ("unframed", "interim_unframed", "bare_lines")
PROMPT = {
    "Model": "m",
    "Token_Counts": "4000,10",
    "Prompt_Prefix": "aa:3000,bb:1000",
}


async def read_cut_answer(sent: bytes, *, reset: bool, size: int) -> bytes | None:
    """Return the body of an answer that the gateway counts as complete."""
    connection, _ = open_connection()
    for start in range(0, len(sent), size):
        connection.dataReceived(sent[start : start + size])
    connection.connectionLost(Failure(ConnectionLost() if reset else ConnectionDone()))
    try:
        await connection.read_head()
        return await connection.read_body()
    except ExchangeError:
        return None


@pytest.mark.parametrize("size", [1, 10_000], ids=["bytes", "at_once"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", HEADS)
def test_cut_answer_is_not_complete(
    run: Run, framing: str, reset: bool, size: int
) -> None:
    head = HEADS[framing]
    whole = head + BODIES[framing]
    closed_unframed = framing in UNFRAMED and not reset
    for cut in range(len(whole)):
        body = run(read_cut_answer(whole[:cut], reset=reset, size=size))
        if closed_unframed and cut > len(head):
            # Nothing distinguishes it from a shorter answer, so the head is whole.
            assert body == whole[len(head) : cut]
        else:
            assert body is None, whole[:cut]


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", HEADS)
def test_whole_answer_is_complete_unless_a_reset_ends_it(
    run: Run, framing: str, reset: bool
) -> None:
    whole = HEADS[framing] + BODIES[framing]
    body = run(read_cut_answer(whole, reset=reset, size=10_000))
    assert body == (None if reset and framing in UNFRAMED else BODY)


@pytest.mark.parametrize("status", [b"204 X", b"304 X", b"503 X"])
def test_answer_that_needs_no_body_is_complete_without_length(
    run: Run, status: bytes
) -> None:
    head = HEADS["unframed"].replace(b"200 OK", status)
    assert run(read_cut_answer(head, reset=False, size=10_000)) == b""


@pytest.mark.parametrize("status", ["000", "099", "600", "999", "1000"])
def test_invalid_status_is_no_answer(
    fleet: GatewayFleet, run: Run, status: str
) -> None:
    """Guards against statuses that no caller understands, and against a second run."""
    head = START.replace(b"200", status.encode()) + b"Content-Length: 4\r\n\r\n"
    for upstream in fleet.plain:
        upstream.script = make_cut_script(head + b"part", reset=False)
    answer = run(fleet.make_caller().call("/post/x", body=b"b", Request_Id="q1"))
    assert answer.status == 502
    assert len(fleet.list_runs()) == 1


LONG_UPLOAD_BYTES = 4_000_000
# More than one side's buffer in the kernel, less than both together.
SHORT_UPLOAD_BYTES = 400_000
READ_BYTES = 16_384
# Time in which the gateway reads the part of the answer.
PART_READ_S = 0.1
PARTS = {
    "no length": START + b"\r\npart",
    "chunked": START + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "length": START + b"Content-Length: 1000\r\n\r\npart",
}


class EarlyUpstream(UpstreamStandin):
    """Represent an upstream that answers before it has read the request's body."""

    part = b""
    resets = False

    async def start(self, port: int = 0) -> None:
        self._listener = socket.create_server((LOOPBACK, find_port()))
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._connections: list[socket.socket] = []
        self._task = asyncio.ensure_future(self._accept_all())

    async def stop(self) -> None:
        self._task.cancel()
        for connection in (self._listener, *self._connections):
            connection.close()

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            self._connections.append(connection)
            await self._answer(connection)

    async def _answer(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        head = b""
        while b"\r\n\r\n" not in head:
            head += await loop.sock_recv(connection, READ_BYTES)
        lines = head.lower().split(b"\r\n")
        name = next(line for line in lines if line.startswith(b"request-id:"))
        request_id = name.partition(b":")[2].strip()
        fields = {"request-id": request_id.decode()}
        self.record_run(RawRequest("POST", "/", fields, b""))
        await loop.sock_sendall(connection, self.part.replace(b"own", request_id))
        await asyncio.sleep(PART_READ_S)
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
        else:
            connection.shutdown(socket.SHUT_WR)


@pytest.fixture
def early_fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    fleet.plain = [EarlyUpstream("early", service=PLAIN)]
    run(fleet.start())
    limits = make_config()["limits"] | {"max_body_bytes": LONG_UPLOAD_BYTES}
    fleet.store.put("config", "main", make_config(version=2, limits=limits))
    run(fleet.wait_for(lambda: fleet.state.configuration.version == 2))
    yield fleet
    run(fleet.stop())


@pytest.mark.parametrize("pause_s", [0.0, 0.02], ids=["at_once", "slowly"])
@pytest.mark.parametrize("size", [SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES])
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", PARTS)
def test_part_of_an_answer_to_an_unread_upload_is_not_complete(
    early_fleet: GatewayFleet,
    run: Run,
    framing: str,
    resets: bool,
    size: int,
    pause_s: float,
) -> None:
    """Guards against a part of an answer that ends before its request was read."""
    (upstream,) = early_fleet.plain
    assert isinstance(upstream, EarlyUpstream)
    upstream.part, upstream.resets = PARTS[framing], resets

    async def call() -> bytes:
        reader, writer = await asyncio.open_connection(LOOPBACK, early_fleet.port)
        head = "POST /post/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: q1\r\n"
        writer.write(f"{head}Content-Length: {size}\r\n\r\n".encode())
        for _ in range(10):
            writer.write(b"x" * (size // 10))
            await writer.drain()
            await asyncio.sleep(pause_s)
        answer = await reader.readuntil(b"\r\n")
        writer.close()
        return answer

    assert b" 502 " in run(call())
    assert len(early_fleet.list_runs()) == 1


def make_cut_script(sent: bytes, *, reset: bool) -> Script:
    """Return a script that runs a request, sends some bytes and disconnects."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request)
        writer.write(sent.replace(b"own", request.headers["request-id"].encode()))
        await writer.drain()
        if reset:
            set_reset_on_close(writer)
        writer.close()

    return script


def set_reset_on_close(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    # Upstreams stay in use, however many of their answers are cut.
    monkeypatch.setattr(GatewayState, "record_result", lambda *_, **__: None)
    yield fleet
    run(fleet.stop())


def list_cuts(framing: str) -> list[int]:
    """Return the cuts after each line of the head, and those within the body."""
    whole = HEADS[framing] + BODIES[framing]
    head_end = len(HEADS[framing])
    lines = [at + 1 for at in range(head_end) if whole[at : at + 1] == b"\n"]
    inside = [at - 4 for at in lines]
    body = range(head_end + 1, len(whole), 3)
    return sorted({0, 1, *lines, *inside, *body})


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", HEADS)
def test_caller_of_a_plain_service_gets_no_cut_answer(
    fleet: GatewayFleet, run: Run, framing: str, reset: bool
) -> None:
    whole = HEADS[framing] + BODIES[framing]
    caller = fleet.make_caller()
    for count, cut in enumerate(list_cuts(framing), 1):
        for upstream in fleet.plain:
            upstream.script = make_cut_script(whole[:cut], reset=reset)
        answer = run(caller.call("/post/x", body=b"b"))
        if framing in UNFRAMED and not reset and cut > len(HEADS[framing]):
            assert answer.status == 200
        else:
            assert answer.status == 502, whole[:cut]
        assert len(fleet.list_runs()) == count


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", HEADS)
def test_caller_of_a_stream_gets_whole_events_and_no_false_end(
    fleet: GatewayFleet, run: Run, framing: str, reset: bool
) -> None:
    whole = HEADS[framing] + BODIES[framing]
    for count, cut in enumerate(list_cuts(framing), 1):
        for upstream in fleet.engines:
            upstream.script = make_cut_script(whole[:cut], reset=reset)
        answer = run(fleet.make_caller().call("/once/x", body=b"b", **PROMPT))
        if answer.status == 200:
            assert answer.body in {BODY[:end] for end in EVENT_ENDS}
            closed = framing in UNFRAMED and not reset
            at_event_end = cut - len(HEADS[framing]) in EVENT_ENDS
            assert answer.complete is (closed and at_event_end), whole[:cut]
        else:
            assert answer.status == 502
        assert len(fleet.list_runs()) == count


def test_error_of_an_answer_keeps_no_connection(run: Run) -> None:
    """Guards against answers that stay in memory until the next collection."""

    async def fail() -> "weakref.ref[UpstreamConnection]":
        connection, _ = open_connection()
        connection.dataReceived(HEADS["length"] + b"part")
        connection.connectionLost(Failure(ConnectionLost()))
        with contextlib.suppress(ExchangeError):
            await connection.read_head()
            await connection.read_body()
        connection.abort()
        return weakref.ref(connection)

    gc.disable()
    try:
        assert run(fail())() is None
    finally:
        gc.enable()
