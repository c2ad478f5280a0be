"""Connections of an entry to agents and what they report."""

import asyncio
import time
from collections.abc import Callable, Iterable
from functools import partial

from bramleyport.core import (
    AdapterName,
    EngineLoad,
    ModelName,
    ProcessId,
    Revision,
    SentWork,
    ServiceName,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    Work,
)
from bramleyport.daemons._hub import PeerHub
from bramleyport.daemons._kept import KeptConnection
from bramleyport.membership import Host, HostState, ProcessRole, Spoke
from bramleyport.transport import Connection, Identity
from bramleyport.wire import CacheReport, LoadReport, Message, UpstreamInfo


class AgentLink:
    """Keep one agent connected and hold the view of its upstream."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.connection: Connection | None = None
        self.kept: KeptConnection | None = None
        self.view: UpstreamView | None = None
        self.connected = asyncio.Event()

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent to the agent."""
        return (
            self.connection is not None
            and not self.connection.closed.is_set()
            and self.view is not None
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
        if self.view is None:
            return
        self.view.sent.requests += 1
        self.view.sent.prefill_tokens += work.prompt_tokens
        self.view.sent.decode_tokens += work.max_output_tokens


class AgentLinks:
    """Connect to the agents that the membership names."""

    def __init__(
        self,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_message: Callable[[AgentLink, Connection, Message], None],
        hub: PeerHub,
    ) -> None:
        self._identity = identity
        self._read_revision = read_revision
        self._on_message = on_message
        self._hub = hub
        self._links: dict[ProcessId, AgentLink] = {}
        hub.on_hosts = self.apply_hosts

    def apply_hosts(self, hosts: Iterable[Host]) -> None:
        """Connect to new agents and drop those that are gone."""
        agents = {h.process: h for h in hosts if h.role is ProcessRole.AGENT}
        for process in set(self._links) - set(agents):
            self._drop(process)
        for process, host in agents.items():
            link = self._links.get(process)
            if link is None or link.host.uri != host.uri:
                self._drop(process)
                link = AgentLink(host)
                self._links[process] = link
                link.kept = self._connect(link)
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
        kept = [link.kept for link in self._links.values() if link.kept is not None]
        await asyncio.gather(*(connection.close() for connection in kept))

    def _connect(self, link: AgentLink) -> KeptConnection:
        return KeptConnection(
            link.host.uri,
            link.host.process,
            self._identity,
            self._read_revision,
            partial(self._open, link),
            partial(self._close, link),
            partial(self._receive, link),
        )

    def _drop(self, process: ProcessId) -> None:
        link = self._links.pop(process, None)
        if link is not None and link.kept is not None:
            # Answers that still run on the old connection are read to their end.
            link.kept.retire()

    def _open(self, link: AgentLink, connection: Connection) -> None:
        link.connection = connection
        link.connected.set()
        self._hub.attach(connection)

    def _close(self, link: AgentLink, connection: Connection) -> None:
        if link.connection is connection:
            link.connected.clear()
            link.connection = None
        self._hub.detach(connection)

    def _receive(
        self, link: AgentLink, connection: Connection, message: Message
    ) -> None:
        if isinstance(message, UpstreamInfo):
            connection.peer_run = message.run
            link.apply_info(message)
            if message.state is UpstreamState.LEAVING:
                self._hub.report_leaving(connection)
            else:
                self._hub.report(Spoke(connection.peer))
        elif isinstance(message, LoadReport):
            link.apply_load(message)
        elif isinstance(message, CacheReport):
            link.apply_cache(message)
        elif not self._hub.handle(connection, message):
            self._on_message(link, connection, message)
