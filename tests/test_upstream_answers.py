"""Guard an agent against cut, repeated and malformed answers of its upstream."""

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramleyport.core import Execution
from bramleyport.standins import LOOPBACK
from bramleyport.upstreams import (
    Completion,
    CompletionEnd,
    EngineClient,
    PlainClient,
    UpstreamError,
)
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
BODY = b"a body of a few words"
START = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
HEADS = {
    "length": START + b"Content-Length: %d\r\n\r\n" % len(BODY),
    "chunked": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": START + b"\r\n",
}
BODIES = {
    "length": BODY,
    "chunked": b"7\r\n%s\r\ne\r\n%s\r\n0\r\n\r\n" % (BODY[:7], BODY[7:]),
    "unframed": BODY,
}
COMPLETION = Completion(
    job="j", prompt="p", max_tokens=2, priority=0, model="m", adapter=None
)


class ScriptedUpstream:
    """Represent an upstream that answers each request with the same bytes."""

    def __init__(self) -> None:
        self.answer = b""
        self.resets = False
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        writer.write(self.answer)
        await writer.drain()
        if self.resets:
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


@asynccontextmanager
async def run_upstream() -> AsyncIterator[tuple[ScriptedUpstream, str]]:
    upstream = ScriptedUpstream()
    server = await asyncio.start_server(upstream.serve, LOOPBACK, find_port())
    port = server.sockets[0].getsockname()[1]
    try:
        yield upstream, f"http://{LOOPBACK}:{port}"
    finally:
        server.close()


async def call_service(client: PlainClient) -> bytes:
    response = await client.call("POST", "/x", {}, b"b")
    return b"".join([chunk async for chunk in response.body])


async def try_call(client: PlainClient) -> bytes | None:
    """Return the body of a complete answer."""
    try:
        return await call_service(client)
    except UpstreamError as error:
        assert error.execution is Execution.UNKNOWN
        return None


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", HEADS)
def test_cut_answer_of_a_service_is_not_complete(
    run: Run, framing: str, resets: bool
) -> None:
    """Guards against a call that is answered with a part of its body."""

    async def scenario() -> None:
        head = HEADS[framing]
        whole = head + BODIES[framing]
        async with run_upstream() as (upstream, url):
            client = PlainClient(url)
            upstream.resets = resets
            for cut in range(len(whole)):
                upstream.answer = whole[:cut]
                body = await try_call(client)
                if framing == "unframed" and not resets and cut > len(head):
                    assert body == whole[len(head) : cut]
                else:
                    assert body is None, whole[:cut]
            upstream.answer = whole
            expected = None if framing == "unframed" and resets else BODY
            assert await try_call(client) == expected

    run(scenario())


def test_repeated_answer_does_not_reach_the_next_call(run: Run) -> None:
    """Guards against a refusal that is written once more after its connection."""

    async def scenario() -> None:
        refusal = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno"
        async with run_upstream() as (upstream, url):
            client = PlainClient(url)
            upstream.answer = refusal * 2
            assert await call_service(client) == b"no"
            upstream.answer = HEADS["length"] + BODY
            assert await call_service(client) == BODY
            assert upstream.connections == 2

    run(scenario())


def render_stream(body: bytes, content_type: bytes = b"text/event-stream") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
    return head % (content_type, len(body)) + body


def render_event(value: Any) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


TOKENS = render_event({"text": "a"}) + render_event({"text": "b"})
END = render_event({"done": True, "output_tokens": 2})


async def read_completion(client: EngineClient) -> UpstreamError | None:
    """Run a completion and return how it failed."""
    try:
        async for event in client.complete(COMPLETION):
            if isinstance(event, CompletionEnd):
                return None
    except UpstreamError as error:
        return error
    raise AssertionError("the stream ended without an end or an error")


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "length"])
def test_cut_stream_of_an_engine_is_not_complete(
    run: Run, framed: bool, resets: bool
) -> None:
    async def scenario() -> None:
        whole = render_stream(TOKENS + END)
        if not framed:
            whole = HEADS["unframed"] + TOKENS + END
        async with run_upstream() as (upstream, url):
            client = EngineClient(url)
            upstream.resets = resets
            for cut in range(len(whole)):
                upstream.answer = whole[:cut]
                error = await read_completion(client)
                assert error is not None
                assert error.execution is Execution.UNKNOWN

    run(scenario())


@pytest.mark.parametrize(
    "body",
    [
        b"<h1>error</h1>\n\n",
        b"event: error\ndata: {}\n\n",
        render_event([]),
        render_event("text"),
        render_event(None),
        render_event({}),
        render_event({"error": "out of memory"}),
        render_event({"done": True}),
        render_event({"done": True, "output_tokens": "many"}),
        b"data: \xff\n\n",
        b"",
    ],
)
def test_malformed_stream_of_an_engine_is_an_error(run: Run, body: bytes) -> None:
    """Guards against an unexpected error, after which the stream is not resumed."""

    async def scenario() -> None:
        async with run_upstream() as (upstream, url):
            upstream.answer = render_stream(TOKENS + body)
            error = await read_completion(EngineClient(url))
            assert error is not None
            assert error.execution is Execution.UNKNOWN

    run(scenario())


@pytest.mark.parametrize(
    ("status", "execution"),
    [
        (202, Execution.UNKNOWN),
        (204, Execution.UNKNOWN),
        (302, Execution.UNKNOWN),
        (400, Execution.NOT_RUN),
        (404, Execution.NOT_RUN),
        (408, Execution.UNKNOWN),
        (409, Execution.UNKNOWN),
        (413, Execution.NOT_RUN),
        (422, Execution.NOT_RUN),
        (429, Execution.NOT_RUN),
        (499, Execution.UNKNOWN),
        (500, Execution.UNKNOWN),
        (502, Execution.UNKNOWN),
        (503, Execution.NOT_RUN),
        (504, Execution.UNKNOWN),
    ],
)
def test_status_of_an_engine_tells_whether_a_completion_may_have_run(
    run: Run, status: int, execution: Execution
) -> None:
    """Guards against a second run of a completion that failed while it ran."""

    async def scenario() -> None:
        async with run_upstream() as (upstream, url):
            head = b"HTTP/1.1 %d X\r\n" % status
            length = b"" if status == 204 else b"Content-Length: 0\r\n"
            upstream.answer = head + length + b"\r\n"
            error = await read_completion(EngineClient(url))
            assert error is not None
            assert error.execution is execution

    run(scenario())


@pytest.mark.parametrize(
    ("status", "execution"),
    [
        (404, Execution.NOT_RUN),
        (409, Execution.UNKNOWN),
        (500, Execution.UNKNOWN),
        (502, Execution.UNKNOWN),
        (503, Execution.NOT_RUN),
    ],
)
def test_failed_export_is_not_run_only_if_the_engine_refused_it(
    run: Run, status: int, execution: Execution
) -> None:
    """Guards against `not run` for a prefill that an engine ran and gave up."""

    async def scenario() -> None:
        async with run_upstream() as (upstream, url):
            upstream.answer = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
            with pytest.raises(UpstreamError) as raised:
                await EngineClient(url).export_kv("j", "p", 0, "m")
            assert raised.value.execution is execution
            assert raised.value.status == status

    run(scenario())
