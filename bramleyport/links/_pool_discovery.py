"""Learn the pools of agents that the host list does not name.

A subset covers each pool, so an entry must know the pool of agents that it has no
connection to. It connects to each unknown agent once, reads its description and closes.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from bramleyport.core import ProcessId, Revision, StepError
from bramleyport.membership import Host
from bramleyport.telemetry import events, log_event
from bramleyport.transport import Connection, Identity, open_connection
from bramleyport.wire import Message, UpstreamInfo

# Few at a time: an entry that starts must not delay the agents' own work.
CONCURRENT_VISITS: Final = 4
VISIT_TIMEOUT_S: Final = 5.0


class PoolDiscovery:
    """Visit agents of unknown pools and remember what they serve."""

    def __init__(
        self,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_learnt: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._read_revision = read_revision
        self._on_learnt = on_learnt
        self._pools: dict[ProcessId, str] = {}
        self._queue: deque[Host] = deque()
        self._workers: set[asyncio.Task[None]] = set()
        self._learnt = False

    def name_pool(self, host: Host) -> str:
        """Return the pool of a host, or nothing while it is unknown."""
        return host.pool or self._pools.get(host.process, "")

    def learn(self, process: ProcessId, info: UpstreamInfo) -> None:
        """Remember the pool of an agent from its description."""
        names = sorted({*info.models, *info.services})
        if names:
            self._pools[process] = " ".join(names)

    def visit(self, hosts: Iterable[Host]) -> None:
        """Visit the hosts whose pools are unknown and forget those that are gone."""
        known = {host.process: host for host in hosts}
        for process in set(self._pools) - set(known):
            del self._pools[process]
        self._queue = deque(h for h in known.values() if not self.name_pool(h))
        while self._queue and len(self._workers) < CONCURRENT_VISITS:
            worker = asyncio.ensure_future(self._work())
            self._workers.add(worker)
            worker.add_done_callback(self._end_worker)

    def close(self) -> None:
        """Stop all visits."""
        self._queue.clear()
        self._learnt = False
        for worker in self._workers:
            worker.cancel()

    def _end_worker(self, worker: "asyncio.Task[None]") -> None:
        self._workers.discard(worker)
        # A pass that learnt nothing ends the search until the host list changes.
        if not self._workers and not self._queue and self._learnt:
            self._learnt = False
            self._on_learnt()

    async def _work(self) -> None:
        while self._queue:
            host = self._queue.popleft()
            try:
                async with asyncio.timeout(VISIT_TIMEOUT_S):
                    await self._visit(host)
            except (StepError, TimeoutError) as error:
                log_event(
                    events.CONNECT_FAILED,
                    step="learn pool",
                    peer=host.process,
                    reason=repr(error),
                )

    async def _visit(self, host: Host) -> None:
        connection = await open_connection(
            host.uri, self._identity, self._read_revision
        )
        described = asyncio.Event()

        def take(_: Connection, message: Message) -> None:
            if isinstance(message, UpstreamInfo):
                self.learn(host.process, message)
                described.set()

        serving = asyncio.ensure_future(connection.run(take))
        waiting = asyncio.ensure_future(described.wait())
        try:
            await asyncio.wait({serving, waiting}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
        self._learnt = self._learnt or host.process in self._pools
