"""Guard which new connections count as leading to the process that was shown."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast

import pytest

from bramleyport.fleet import Address
from bramleyport.http1 import (
    ConnectionPool,
    HttpClient,
    PoolLimits,
    UpstreamConnection,
)
from bramleyport.http1._pool import SHOWN_KEEP_S

Run = Callable[[Coroutine[Any, Any, Any]], Any]

STEPS = 2000
MIN_INHERITED = 100
PEER = Address("127.0.0.1", 1)


class FakeClient:
    """Represent a client whose connections open at once and to the latest process."""

    def __init__(self) -> None:
        self.closers: dict[UpstreamConnection, Any] = {}

    def make_connection(self, peer: Address, on_closed: Any) -> UpstreamConnection:
        connection = UpstreamConnection(peer)
        self.closers[connection] = on_closed
        return connection

    async def open(self, connection: UpstreamConnection, _: float) -> None:
        """Open a connection at once."""

    def end(self, connection: UpstreamConnection) -> None:
        connection.closed = True
        self.closers.pop(connection)(connection)


class World:
    """Represent an upstream whose process is replaced, and its connections."""

    def __init__(
        self, random: Random, client: FakeClient, pool: ConnectionPool
    ) -> None:
        self.random = random
        self.client = client
        self.pool = pool
        self.clock_s = 0.0
        self.process = 0
        # The process to which each connection leads that seems to be open.
        self.processes: dict[UpstreamConnection, int] = {}
        # Connections of which it was shown on another one where they lead.
        self.inherited = 0

    async def step(self) -> None:
        self.clock_s += self.random.random() * 0.2
        draw = self.random.random()
        if draw < 0.6 or not self.processes:
            await self.open()
        elif draw < 0.8:
            self.ask()
        elif draw < 0.9:
            self.end(self.random.choice(list(self.processes)))
        else:
            self.replace(is_cut=self.random.random() < 0.5)

    async def open(self) -> None:
        connection = await self.pool.acquire()
        shown_s = connection.process_shown_s
        if shown_s is not None:
            self.inherited += 1
            shown = {
                process
                for item, process in self.processes.items()
                if item.process_shown_s == shown_s
            }
            assert shown == {self.process}
        self.processes[connection] = self.process

    def ask(self) -> None:
        """Ask who answers: the answer is of the process that is there now."""
        connection = self.random.choice(list(self.processes))
        if self.processes[connection] == self.process:
            connection.process_shown_s = self.clock_s

    def end(self, connection: UpstreamConnection) -> None:
        del self.processes[connection]
        self.client.end(connection)

    def replace(self, *, is_cut: bool) -> None:
        """Start another process; a cut lasts longer, and no connection seems to end."""
        self.process += 1
        if is_cut:
            self.clock_s += 2 * SHOWN_KEEP_S
            return
        for connection in list(self.processes):
            self.end(connection)


# Guards against taking a later process for the one that was shown, after all its
# connections have ended or while a cut keeps their ends from arriving.
@pytest.mark.parametrize("seed", range(4))
def test_new_connections_are_not_taken_to_lead_to_an_earlier_process(
    run: Run, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async def check() -> None:
        client = FakeClient()
        limits = PoolLimits(max_connections=STEPS, connect_timeout_s=1.0)
        pool = ConnectionPool(cast("HttpClient", client), PEER, limits)
        world = World(Random(seed), client, pool)
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "time", lambda: world.clock_s)
            for _ in range(STEPS):
                await world.step()
        assert world.inherited >= MIN_INHERITED

    run(check())
