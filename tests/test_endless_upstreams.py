"""Guard an agent's memory against upstreams that answer without end."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramleyport.core import Execution
from bramleyport.standins import LOOPBACK
from bramleyport.upstreams import Completion, EngineClient, UpstreamError
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
PART = bytes(64 * 1024).replace(b"\0", b"x")
# After this the upstream falls silent, so that a client without a bound uses no more.
MOST_SENT_BYTES = 40 * 2**20
# The bound, the buffers of both sockets and what arrives before the connection closes.
MOST_TAKEN_BYTES = 20 * 2**20
LIMIT_S = 20.0


class EndlessUpstream:
    """Represent an upstream that sends a body without end."""

    def __init__(self, begin: bytes) -> None:
        self._begin = begin
        self.sent = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + self._begin)
            while self.sent < MOST_SENT_BYTES:
                writer.write(PART)
                await writer.drain()
                self.sent += len(PART)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()


@asynccontextmanager
async def run_upstream(
    begin: bytes,
) -> AsyncIterator[tuple[EndlessUpstream, EngineClient]]:
    upstream = EndlessUpstream(begin)
    server = await asyncio.start_server(upstream.answer, LOOPBACK, find_port())
    port = server.sockets[0].getsockname()[1]
    try:
        yield upstream, EngineClient(f"http://{LOOPBACK}:{port}")
    finally:
        server.close()


def test_endless_answer_of_an_engine_is_given_up(run: Run) -> None:
    """Guards against an engine that fills its agent's memory with one answer."""

    async def scenario() -> None:
        async with run_upstream(b"") as (upstream, client):
            with pytest.raises(UpstreamError) as caught:
                await asyncio.wait_for(client.put_order({}), LIMIT_S)
            assert caught.value.execution is Execution.UNKNOWN
            assert upstream.sent < MOST_TAKEN_BYTES

    run(scenario())


def test_endless_event_of_a_stream_is_given_up(run: Run) -> None:
    """Guards against an engine that fills its agent's memory with one event."""
    completion = Completion(
        job="j", prompt="p", max_tokens=1, priority=0, model="m", adapter=None
    )

    async def scenario() -> None:
        async with run_upstream(b"data: ") as (upstream, client):
            with pytest.raises(UpstreamError) as caught:
                async with asyncio.timeout(LIMIT_S):
                    async for _ in client.complete(completion):
                        pass
            assert caught.value.execution is Execution.UNKNOWN
            assert upstream.sent < MOST_TAKEN_BYTES

    run(scenario())
