"""Discovery of the pools of agents for which the host list names none.

A subset covers each pool, so an entry must know the pool even of agents that it has no
connection to. It connects to each such agent once, reads its description and closes.
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

# Few at a time, so that an entry that starts does not delay the agents' work.
MAX_CONCURRENT_PROBES: Final = 4
PROBE_TIMEOUT_S: Final = 5.0


class PoolDiscovery:
    """Track the pools of agents and probe those whose pool is unknown."""

    def __init__(
        self,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_discovered: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._read_revision = read_revision
        self._on_discovered = on_discovered
        self._pools: dict[ProcessId, str] = {}
        self._queue: deque[Host] = deque()
        self._workers: set[asyncio.Task[None]] = set()
        self._has_discovered = False

    def get_pool(self, host: Host) -> str:
        """Return the pool of a host, or an empty string if it is unknown."""
        return host.pool or self._pools.get(host.process, "")

    def record_pool(self, process: ProcessId, info: UpstreamInfo) -> None:
        """Record the pool of an agent from its description."""
        names = sorted({*info.models, *info.services})
        if names:
            self._pools[process] = " ".join(names)

    def discover(self, hosts: Iterable[Host]) -> None:
        """Probe the hosts whose pools are unknown and remove those not listed."""
        known = {host.process: host for host in hosts}
        for process in set(self._pools) - set(known):
            del self._pools[process]
        self._queue = deque(h for h in known.values() if not self.get_pool(h))
        while self._queue and len(self._workers) < MAX_CONCURRENT_PROBES:
            worker = asyncio.ensure_future(self._work())
            self._workers.add(worker)
            worker.add_done_callback(self._end_worker)

    def close(self) -> None:
        """Stop all probes."""
        self._queue.clear()
        self._has_discovered = False
        for worker in self._workers:
            worker.cancel()

    def _end_worker(self, worker: "asyncio.Task[None]") -> None:
        self._workers.discard(worker)
        # If a pass discovered no pool, discovery pauses until the host list changes.
        if not self._workers and not self._queue and self._has_discovered:
            self._has_discovered = False
            self._on_discovered()

    async def _work(self) -> None:
        while self._queue:
            host = self._queue.popleft()
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self._probe(host)
            except (StepError, TimeoutError) as error:
                log_event(
                    events.CONNECT_FAILED,
                    step="learn pool",
                    peer=host.process,
                    reason=repr(error),
                )

    async def _probe(self, host: Host) -> None:
        connection = await open_connection(
            host.uri, self._identity, self._read_revision
        )
        described = asyncio.Event()

        def handle(_: Connection, message: Message) -> None:
            if isinstance(message, UpstreamInfo):
                self.record_pool(host.process, message)
                described.set()

        serving = asyncio.ensure_future(connection.run(handle))
        waiting = asyncio.ensure_future(described.wait())
        try:
            await asyncio.wait({serving, waiting}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
        self._has_discovered = self._has_discovered or host.process in self._pools
