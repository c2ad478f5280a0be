"""Guard that a place in a connection pool is free again once its connection ends."""

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from typing import Any

import pytest

from bramleyport.fleet import Address
from bramleyport.http1 import (
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    HttpClient,
    HttpRequest,
    PoolLimits,
    UpstreamConnection,
)
from tests.platform_standin import LOOPBACK

Run = Callable[[Coroutine[Any, Any, Any]], Any]

PLACES = 8
STEPS = 4000
MIN_RESETS = 400
REQUEST = HttpRequest(method=b"GET", target=b"/x", headers=[], body=b"")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def reset(peer: socket.socket) -> None:
    """Close a socket with a reset."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class ResettingPeer:
    """Represent a peer that resets connections at random moments."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.is_sound = False
        self.resets = 0
        self._socket = socket.create_server((LOOPBACK, 0), backlog=512)
        self._socket.setblocking(False)
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = Address(LOOPBACK, self._socket.getsockname()[1])

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            peer, _ = await loop.sock_accept(self._socket)
            task = loop.create_task(self._serve_one(peer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def reset_in_turn(self) -> None:
        """Reset all connections that wait, before or after the others' events.

        A timer runs behind the events of its turn of the loop, so the reset arrives
        between the turn in which a connection opens and the next one.
        """
        if self.random.random() < 0.5:
            self.accept_and_reset()
        else:
            asyncio.get_running_loop().call_later(0, self.accept_and_reset)

    def accept_and_reset(self) -> None:
        """Reset all connections that wait."""
        with suppress(BlockingIOError):
            while True:
                peer, _ = self._socket.accept()
                self.resets += 1
                reset(peer)

    async def _serve_one(self, peer: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.is_sound or self.random.random() < 0.5:
                if not await loop.sock_recv(peer, 4096):
                    break
                await loop.sock_sendall(peer, ANSWER)
        except ConnectionError:
            # The pool has closed the connection.
            return
        finally:
            self.resets += not self.is_sound
            reset(peer)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._socket.close()


async def call(pool: ConnectionPool) -> None:
    """Send a request, as the store's client and the exchanger do."""
    connection = await pool.acquire()
    try:
        connection.send(REQUEST)
        await connection.read_head()
        await connection.read_body()
    except BaseException:
        connection.abort()
        raise
    pool.release(connection)


async def call_or_fail(pool: ConnectionPool, timeout_s: float) -> None:
    with suppress(ExchangeError, TimeoutError):
        async with asyncio.timeout(timeout_s):
            await call(pool)


async def acquire_open(pool: ConnectionPool) -> UpstreamConnection:
    """Take a connection, which must not have ended before."""
    connection = await pool.acquire()
    assert not connection.closed
    return connection


def make_pool(address: Address) -> ConnectionPool:
    from twisted.internet import reactor

    limits = PoolLimits(max_connections=PLACES, connect_timeout_s=0.5)
    return ConnectionPool(HttpClient(reactor), address, limits)


async def check_all_places_are_free(pool: ConnectionPool) -> None:
    """Use all places of a pool at once."""
    await asyncio.sleep(0.05)
    taken = [await pool.acquire() for _ in range(PLACES)]
    for connection in taken:
        connection.abort()


# Guards against a gateway that calls its store or an upstream never again, since places
# of connections that the peer has reset are not free.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_places_are_free_after_resets_at_any_moment(run: Run, seed: int) -> None:
    async def check() -> None:
        peer = ResettingPeer(seed)
        server = asyncio.ensure_future(peer.serve())
        pool = make_pool(peer.address)
        calls: set[asyncio.Future[None]] = set()
        for _ in range(STEPS):
            if len(calls) < PLACES and peer.random.random() < 0.6:
                timeout_s = peer.random.choice((0.0, 0.0002, 0.001, 0.5))
                calls.add(asyncio.ensure_future(call_or_fail(pool, timeout_s)))
            if calls and peer.random.random() < 0.1:
                peer.random.choice(sorted(calls, key=id)).cancel()
            if peer.random.random() < 0.3:
                peer.reset_in_turn()
            calls = {item for item in calls if not item.done()}
            await asyncio.sleep(peer.random.choice((0, 0, 0, 0.0005)))
        await asyncio.gather(*calls, return_exceptions=True)
        assert peer.resets >= MIN_RESETS
        peer.is_sound = True
        try:
            await check_all_places_are_free(pool)
        finally:
            server.cancel()
            peer.close()

    run(check())


# Guards against a call that is said to have run though its connection was closed before
# anything was sent.
def test_connection_that_is_reset_as_it_opens_carries_no_request(run: Run) -> None:
    async def check() -> None:
        peer = ResettingPeer(1)
        pool = make_pool(peer.address)
        failures = []
        for _ in range(200):
            attempt = asyncio.ensure_future(acquire_open(pool))
            while not attempt.done():
                peer.reset_in_turn()
                await asyncio.sleep(0)
            try:
                attempt.result().abort()
            except ExchangeError as error:
                failures.append(error.failure)
        peer.close()
        assert set(failures) <= {ExchangeFailure.NOT_SENT, ExchangeFailure.REFUSED}
        assert failures

    run(check())


# Guards against connections to removed upstreams that stay open for good.
def test_closed_pool_keeps_no_connection(run: Run) -> None:
    async def check() -> None:
        peer = ResettingPeer(1)
        peer.is_sound = True
        server = asyncio.ensure_future(peer.serve())
        pool = make_pool(peer.address)
        calls = [asyncio.ensure_future(call(pool)) for _ in range(PLACES)]
        await asyncio.sleep(0)
        pool.close()
        await asyncio.gather(*calls)
        await asyncio.sleep(0.05)
        assert not pool._open
        server.cancel()
        peer.close()

    run(check())
