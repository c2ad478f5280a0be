"""Guard that a planned stop of an entry answers each request that it has read."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.tcp import Server

from bramleyport.callers import CallerRequest, CallerStream
from bramleyport.entry import _daemon

Run = Callable[[Coroutine[Any, Any, Any]], Any]

LOOPBACK = "127.0.0.1"
PAUSE_S = 0.1
REQUEST = (
    b"POST /services/orders/postings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


async def stop_process(entry: Any) -> None:
    """Stop an entry; its open connections end as with its process."""
    port = entry.port
    await entry.stop()
    selectables: Any = reactor
    for item in [*selectables.getReaders(), *selectables.getWriters()]:
        if isinstance(item, Server) and item.getHost().port == port:
            item.abortConnection()


def connect(port: int, data: bytes) -> socket.socket:
    """Open a connection and send bytes, before the loop of the entry goes on."""
    connection = socket.create_connection((LOOPBACK, port))
    connection.sendall(data)
    connection.setblocking(False)
    return connection


async def read_status(connection: socket.socket) -> str:
    """Return the status of an answer, or how the connection ended without one."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(10):
            data = await loop.sock_recv(connection, 65_536)
    except ConnectionError:
        return "reset"
    finally:
        connection.close()
    return data.split(b" ")[1].decode() if data else "closed"


def test_answer_that_is_read_slowly_is_complete_after_a_stop(
    demo: Any, run: Run
) -> None:
    """Guards against answers that are still to be written when the process exits."""
    entry, body = demo.entries[0], b"x" * 8_000_000

    async def answer(_: CallerRequest, stream: CallerStream, __: Any) -> None:
        stream.start(200, {})
        await stream.write(body)
        stream.finish()

    async def stop() -> int:
        entry._serve = answer
        slow = connect(entry.port, REQUEST)
        await asyncio.sleep(PAUSE_S)
        stopping = asyncio.ensure_future(stop_process(entry))
        received, loop = 0, asyncio.get_running_loop()
        while data := await loop.sock_recv(slow, 400_000):
            received += len(data)
            await asyncio.sleep(PAUSE_S / 2)
        await stopping
        slow.close()
        return received

    assert run(stop()) >= len(body)


def test_request_that_is_still_read_is_answered_in_a_stop(demo: Any, run: Run) -> None:
    """Guards against a request that is cut because it did not count as in flight."""
    entry = demo.entries[0]

    async def stop() -> str:
        connection = connect(entry.port, REQUEST[:-2])
        await asyncio.sleep(PAUSE_S)
        stopping = asyncio.ensure_future(stop_process(entry))
        await asyncio.sleep(5 * PAUSE_S)
        try:
            connection.sendall(REQUEST[-2:])
        except ConnectionError:
            return "reset"
        status = await read_status(connection)
        await stopping
        return status

    assert run(stop()) == "503"


def test_connections_that_wait_to_be_accepted_are_answered_by_a_stopping_entry(
    demo: Any, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a port that resets connections in the queue of the kernel."""
    entry, waiting = demo.entries[0], []
    stop_http = _daemon.stop_http

    def connect_and_stop(listener: Any) -> Any:
        if listener is entry._listening:
            waiting.extend(connect(entry.port, REQUEST) for _ in range(40))
        return stop_http(listener)

    async def stop() -> list[str]:
        for _ in range(2):
            connect(entry.port, b"").close()
            await asyncio.sleep(PAUSE_S)
        monkeypatch.setattr(_daemon, "stop_http", connect_and_stop)
        stopping = asyncio.ensure_future(stop_process(entry))
        while not waiting:
            await asyncio.sleep(0)
        statuses = await asyncio.gather(*map(read_status, waiting))
        await stopping
        return statuses

    assert run(stop()) == ["503"] * 40


def test_request_that_outlasts_the_drain_limit_is_answered(demo: Any, run: Run) -> None:
    """Guards against a request that is cut without a word on whether it ran."""
    entry = demo.entries[0]

    async def wait(*_: Any) -> None:
        await asyncio.sleep(60)

    async def stop() -> str:
        entry.settings = replace(entry.settings, drain_timeout_s=0.3)
        entry._serve = wait
        connection = connect(entry.port, REQUEST)
        await asyncio.sleep(PAUSE_S)
        stopping = asyncio.ensure_future(stop_process(entry))
        status = await read_status(connection)
        await stopping
        return status

    assert run(stop()) == "502"
