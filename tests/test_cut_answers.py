"""Guard callers against answers that were cut: none of them may look complete."""

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import ExchangeError
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import RawRequest, Script, UpstreamStandin
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
