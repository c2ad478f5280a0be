"""Connections of an entry to agents and what they report."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final

from bramleyport.core import (
    AdapterName,
    EngineLoad,
    ModelName,
    ProcessId,
    Revision,
    SentWork,
    ServiceName,
    StepError,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    Work,
)
from bramleyport.membership import Host, HostState, ProcessRole
from bramleyport.telemetry import events, log_event
from bramleyport.transport import Connection, Identity, open_connection
from bramleyport.wire import CacheReport, Leaving, LoadReport, Message, UpstreamInfo

RECONNECT_MIN_S: Final = 0.2
RECONNECT_MAX_S: Final = 5.0


class AgentLink:
    """Keep one agent connected and hold the view of its upstream."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.connection: Connection | None = None
        self.view: UpstreamView | None = None
        self.leaving = False
        self.connected = asyncio.Event()

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent to the agent."""
        return (
            self.connection is not None
            and not self.connection.closed.is_set()
            and self.view is not None
            and not self.leaving
            and self.host.state is HostState.LIVE
        )

    def apply_info(self, info: UpstreamInfo) -> None:
        """Take the agent's description of its upstream."""
        view = self.view
        if view is None or view.upstream != info.upstream:
            view = UpstreamView(
                upstream=info.upstream,
                kind=info.kind,
                zone=info.zone,
                region=info.region,
            )
            self.view = view
        view.state = info.state
        view.role = info.role
        view.models = frozenset(ModelName(name) for name in info.models)
        view.adapters = frozenset(AdapterName(name) for name in info.adapters)
        view.services = frozenset(ServiceName(name) for name in info.services)
        view.block_tokens = info.block_tokens
        view.rates = info.rates
        if info.state is UpstreamState.LEAVING:
            self.leaving = True

    def apply_load(self, report: LoadReport) -> None:
        """Take a load report and forget the work that it already counts."""
        if self.view is None:
            return
        load = report.load
        self.view.load = EngineLoad(
            taken_s=time.monotonic() - report.age_s,
            running=load.running,
            queued=load.queued,
            queued_prefill_tokens=load.queued_prefill_tokens,
            running_decode_tokens=load.running_decode_tokens,
            blocks_used=load.blocks_used,
            blocks_total=load.blocks_total,
            wait_s=load.wait_s,
        )
        self.view.sent = SentWork()

    def apply_cache(self, report: CacheReport) -> None:
        """Take a change of the engine's prefix cache."""
        if self.view is None:
            return
        cached = self.view.cached
        cached.blocks.update(report.stored)
        cached.blocks.difference_update(report.evicted)
        cached.last_sequence = report.sequence

    def count_sent(self, work: Work) -> None:
        """Count work that no load report has shown yet."""
        if self.view is not None:
            self.view.sent.add(work)


class AgentLinks:
    """Keep the agents of the host list connected."""

    def __init__(
        self,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_message: Callable[[AgentLink, Connection, Message], None],
    ) -> None:
        self._identity = identity
        self._read_revision = read_revision
        self._on_message = on_message
        self._links: dict[ProcessId, AgentLink] = {}
        self._tasks: dict[ProcessId, asyncio.Task[None]] = {}

    def apply_hosts(self, hosts: Iterable[Host]) -> None:
        """Connect to new agents and drop those that the list no longer names."""
        agents = {h.process: h for h in hosts if h.role is ProcessRole.AGENT}
        for process in set(self._links) - set(agents):
            self._tasks.pop(process).cancel()
            del self._links[process]
        for process, host in agents.items():
            link = self._links.get(process)
            if link is None or link.host.uri != host.uri:
                if process in self._tasks:
                    self._tasks[process].cancel()
                link = AgentLink(host)
                self._links[process] = link
                self._tasks[process] = asyncio.ensure_future(self._keep(link))
            link.host = host

    def list_views(self) -> list[UpstreamView]:
        """Return the views of the upstreams that may get new work."""
        return [
            link.view
            for link in self._links.values()
            if link.usable and link.view is not None
        ]

    def find(self, upstream: UpstreamId) -> AgentLink | None:
        """Return the link whose agent serves an upstream."""
        for link in self._links.values():
            if link.view is not None and link.view.upstream == upstream:
                return link
        return None

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks.values():
            task.cancel()
        for link in self._links.values():
            if link.connection is not None:
                await link.connection.close("stopping")

    async def _keep(self, link: AgentLink) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                connection = await open_connection(
                    link.host.uri, self._identity, self._read_revision
                )
            except StepError as error:
                log_event(
                    events.CONNECT_FAILED,
                    step=error.step,
                    peer=link.host.process,
                    reason=error.reason,
                )
                await asyncio.sleep(delay_s)
                delay_s = min(RECONNECT_MAX_S, delay_s * 2)
                continue
            delay_s = RECONNECT_MIN_S
            await self._serve(link, connection)

    async def _serve(self, link: AgentLink, connection: Connection) -> None:
        link.connection = connection
        link.leaving = False
        link.connected.set()
        try:
            await connection.run(lambda c, message: self._receive(link, c, message))
        finally:
            link.connected.clear()
            link.connection = None

    def _receive(
        self, link: AgentLink, connection: Connection, message: Message
    ) -> None:
        if isinstance(message, UpstreamInfo):
            link.apply_info(message)
        elif isinstance(message, LoadReport):
            link.apply_load(message)
        elif isinstance(message, CacheReport):
            link.apply_cache(message)
        elif isinstance(message, Leaving):
            link.leaving = True
        else:
            self._on_message(link, connection, message)
