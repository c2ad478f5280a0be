"""Connections of a lease holder to agents of its pools outside its subset."""

import asyncio
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from bramleyport.links._agent_links import AgentLink
from bramleyport.telemetry import lease_events, log_event

if TYPE_CHECKING:
    from bramleyport.core import PoolName, ProcessId, UpstreamId, UpstreamView
    from bramleyport.links._agent_links import AgentLinks
    from bramleyport.membership import Host

# Few at a time, so that a new lease holder does not delay the agents' work.
MAX_CONCURRENT_OPENS: Final = 4
# After this time the next agent is connected; an unreachable one is still retried.
OPEN_TIMEOUT_S: Final = 5.0


class PoolLinks:
    """Track the links that are used for plans and order notices but not for routing."""

    def __init__(self, links: "AgentLinks") -> None:
        self._links = links
        self._open: dict[ProcessId, AgentLink] = {}
        self._queue: deque[Host] = deque()
        self._workers: set[asyncio.Future[None]] = set()
        self._closing: set[asyncio.Future[None]] = set()

    def update(self, pools: "frozenset[PoolName]") -> None:
        """Connect to the agents of the held pools and close all other links."""
        wanted = self._links.list_outside_subset(pools)
        before = len(self._open) + len(self._queue)
        for process, link in list(self._open.items()):
            host = wanted.get(process)
            if host is None or host.uri != link.host.uri:
                self._close(process)
            else:
                link.host = host
        self._queue = deque(h for p, h in wanted.items() if p not in self._open)
        if before != len(wanted):
            log_event(
                lease_events.POOL_VIEW_CHANGED, pools=sorted(pools), links=len(wanted)
            )
        while self._queue and len(self._workers) < MAX_CONCURRENT_OPENS:
            worker = asyncio.ensure_future(self._work())
            self._workers.add(worker)
            worker.add_done_callback(self._workers.discard)

    def list_views(self) -> "list[UpstreamView]":
        """Return the views of the connected engines."""
        return [
            link.view
            for link in self._open.values()
            if link.usable and link.view is not None
        ]

    def find_all(self, upstream: "UpstreamId") -> list[AgentLink]:
        """Return the links of every agent that claims to serve an upstream."""
        return [
            link
            for link in self._open.values()
            if link.view is not None and link.view.upstream == upstream
        ]

    async def close(self) -> None:
        """Close all links."""
        self._queue.clear()
        for worker in self._workers:
            worker.cancel()
        for process in list(self._open):
            self._close(process)
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def _work(self) -> None:
        while self._queue:
            host = self._queue.popleft()
            link = self._open[host.process] = AgentLink(host)
            link.persistent = self._links.connect(link)
            with suppress(TimeoutError):
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    await link.connected.wait()

    def _close(self, process: "ProcessId") -> None:
        link = self._open.pop(process)
        if link.persistent is not None:
            closing = asyncio.ensure_future(link.persistent.close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)
