"""Connections of an entry to agents and the views of their upstreams."""

import asyncio
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from bramleyport.core import (
    AdapterName,
    ModelName,
    ModelVersion,
    PoolName,
    ProcessId,
    Revision,
    ServiceName,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    Work,
)
from bramleyport.links._hub import PeerHub
from bramleyport.links._persistent_connection import PersistentConnection
from bramleyport.links._pool_discovery import PoolDiscovery
from bramleyport.membership import AvailabilityReported, Host, HostState, ProcessRole
from bramleyport.routing import (
    CacheChange,
    CacheFollower,
    SubsetHost,
    SubsetSelector,
)
from bramleyport.telemetry import log_event, routing_events
from bramleyport.transport import Connection, Identity
from bramleyport.wire import (
    CacheReport,
    CacheRequest,
    LoadReport,
    Message,
    UpstreamInfo,
    unpack_load,
)

# An agent that cannot read its engine repeats an old load report. Work that was sent
# longer than this ago is not added to the report: the agent already counts it.
MAX_SENT_AGE_S: Final = 5.0


class AgentLink:
    """Track the connection to one agent and the view of its upstream."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.connection: Connection | None = None
        self.persistent: PersistentConnection | None = None
        self.view: UpstreamView | None = None
        # A retired link is outside the entry's subset: it serves its attempts in flight
        # and gets no new ones.
        self.retired = False
        self.in_flight = 0
        self.connected = asyncio.Event()
        self._cache: CacheFollower | None = None

    @property
    def usable(self) -> bool:
        """Return whether the agent may get new work."""
        return (
            self.connection is not None
            and not self.connection.closed.is_set()
            and self.view is not None
            and not self.retired
            and self.host.state is HostState.LIVE
        )

    def apply_info(self, info: UpstreamInfo) -> None:
        """Update the view from the agent's description of its upstream."""
        view = self.view
        if view is None or view.upstream != info.upstream:
            view = UpstreamView(
                upstream=info.upstream,
                kind=info.kind,
                zone=info.zone,
                region=info.region,
            )
            self.view = view
            self._cache = CacheFollower(view.cached)
        view.state = info.state
        view.role = info.role
        view.models = frozenset(ModelName(name) for name in info.models)
        view.versions = frozenset(ModelVersion(name) for name in info.versions)
        view.adapters = frozenset(AdapterName(name) for name in info.adapters)
        view.services = frozenset(ServiceName(name) for name in info.services)
        view.block_tokens = info.block_tokens
        view.kv_address = info.kv_address
        view.kv_bytes_per_token = info.kv_bytes_per_token
        view.rates = info.rates

    def apply_load(self, report: LoadReport) -> None:
        """Update the load and drop the sent work that the report already counts."""
        if self.view is None:
            return
        now_s = time.monotonic()
        self.view.load = unpack_load(report, now_s)
        # An agent that cannot read its engine repeats an old report.
        since_s = max(self.view.load.taken_s, now_s - MAX_SENT_AGE_S)
        self.view.sent = self.view.sent.select_sent_after(since_s)
        # Load reports arrive regularly, so a cache request that was lost is repeated.
        self.request_cache()

    def apply_cache(self, report: CacheReport) -> None:
        """Apply a cache report and request a full one after a gap."""
        if self._cache is None:
            return
        self._cache.apply(
            CacheChange(
                previous=report.previous,
                sequence=report.sequence,
                stored=report.stored,
                evicted=report.evicted,
                full=report.full,
                uncertain=report.uncertain,
            )
        )
        self.request_cache()

    def request_cache(self) -> None:
        """Request a full cache report if the view of the cache is uncertain."""
        if self._cache is None or self.view is None or self.connection is None:
            return
        if self._cache.take_request(time.monotonic()):
            upstream = self.view.upstream
            log_event(routing_events.CACHE_VIEW_UNCERTAIN, upstream=upstream)
            self.connection.post(CacheRequest(upstream=upstream))

    def reset_cache_request(self) -> None:
        """Allow a new cache request at once, since the last one may be lost."""
        if self._cache is not None:
            self._cache.reset_request()

    def count_sent(self, work: Work) -> None:
        """Count sent work that no load report includes yet."""
        if self.view is not None:
            self.view.sent.add(work, time.monotonic())


class AgentLinks:
    """Track the links to the agents in the entry's subset of the host list."""

    def __init__(
        self,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_message: Callable[[AgentLink, Connection, Message], None],
        hub: PeerHub,
        subsets: SubsetSelector | None = None,
    ) -> None:
        self._subsets = subsets or SubsetSelector()
        self._identity = identity
        self._read_revision = read_revision
        self._on_message = on_message
        self._hub = hub
        self._discovery = PoolDiscovery(identity, read_revision, self._reapply_hosts)
        self._hosts: list[Host] = []
        self._chosen: frozenset[ProcessId] = frozenset()
        self._links: dict[ProcessId, AgentLink] = {}
        hub.on_hosts = self.apply_hosts

    def apply_hosts(self, hosts: Iterable[Host]) -> None:
        """Connect to the agents of the subset and drop the links of removed hosts."""
        known = self._hosts = list(hosts)
        agents = {h.process: h for h in known if h.role is ProcessRole.AGENT}
        chosen = self._choose_subset(known)
        for process in set(self._links) - set(agents):
            self._drop(process)
        self._retire(chosen, agents)
        for process in sorted(chosen):
            host = agents[process]
            link = self._links.get(process)
            if link is None or link.host.uri != host.uri:
                self._drop(process)
                link = AgentLink(host)
                self._links[process] = link
                link.persistent = self.connect(link)
            link.host = host
            link.retired = False

    def release(self, link: AgentLink) -> None:
        """Count the end of an attempt and close a retired link after its last one."""
        link.in_flight -= 1
        process = link.host.process
        if link.retired and not link.in_flight and self._links.get(process) is link:
            self._drop(process)

    def list_views(self) -> list[UpstreamView]:
        """Return the views of the upstreams that may get new work."""
        return [
            link.view
            for link in self._links.values()
            if link.usable and link.view is not None
        ]

    def find(self, upstream: UpstreamId) -> AgentLink | None:
        """Return the first link whose agent serves an upstream."""
        for link in self._links.values():
            if link.view is not None and link.view.upstream == upstream:
                return link
        return None

    def list_outside_subset(self, pools: frozenset[PoolName]) -> dict[ProcessId, Host]:
        """Return the live agents of the pools in this region outside the subset."""
        if not pools:
            return {}
        return {
            host.process: host
            for host in self._hosts
            if host.role is ProcessRole.AGENT
            and host.state is HostState.LIVE
            and host.region == self._identity.region
            and host.process not in self._chosen
            and not pools.isdisjoint(self._discovery.get_pool(host).split())
        }

    def _reapply_hosts(self) -> None:
        self.apply_hosts(self._hosts)

    def _list_agents(self, hosts: list[Host]) -> list[SubsetHost]:
        """Return the live agents with their pools and discover unknown pools."""
        agents = [host for host in hosts if host.role is ProcessRole.AGENT]
        if len(agents) > self._subsets.size:
            region = self._identity.region
            near = [host for host in agents if host.region == region]
            self._discovery.discover(near or agents)
            # Agents of unknown pools in other regions would count as one large pool.
            agents = [h for h in agents if not near or h.region == region or h.pool]
        return [
            SubsetHost(
                host.process, host.zone, host.region, self._discovery.get_pool(host)
            )
            for host in agents
        ]

    def _choose_subset(self, hosts: list[Host]) -> frozenset[ProcessId]:
        own_host = SubsetHost(
            self._identity.process, self._identity.zone, self._identity.region
        )
        live = [host for host in hosts if host.state is HostState.LIVE]
        entries = [
            SubsetHost(host.process, host.zone, host.region)
            for host in live
            if host.role is ProcessRole.ENTRY
        ]
        agents = self._list_agents(live)
        chosen = self._subsets.choose(own_host, entries, agents)
        if chosen != self._chosen:
            log_event(
                routing_events.SUBSET_CHANGED,
                upstreams=len(agents),
                entries=len(entries),
                chosen=len(chosen),
                added=len(chosen - self._chosen),
                removed=len(self._chosen - chosen),
            )
            self._chosen = chosen
        return chosen

    def _retire(
        self, chosen: frozenset[ProcessId], agents: dict[ProcessId, Host]
    ) -> None:
        for process in set(self._links) - chosen:
            link = self._links[process]
            link.host = agents[process]
            # A leaving host closes its connections itself when its work is done.
            if link.host.state is HostState.LEAVING:
                continue
            link.retired = True
            if not link.in_flight:
                self._drop(process)

    def find_all(self, upstream: UpstreamId) -> list[AgentLink]:
        """Return the links of every agent that claims to serve an upstream."""
        return [
            link
            for link in self._links.values()
            if link.view is not None and link.view.upstream == upstream
        ]

    async def close(self) -> None:
        """Close all connections."""
        self._discovery.close()
        persistent_connections = [
            link.persistent
            for link in self._links.values()
            if link.persistent is not None
        ]
        await asyncio.gather(
            *(connection.close() for connection in persistent_connections)
        )

    def connect(self, link: AgentLink) -> PersistentConnection:
        """Connect to the agent of a link and update the link from its messages."""
        return PersistentConnection(
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
        if link is not None and link.persistent is not None:
            # Answers in progress are still received to the end on this connection.
            link.persistent.retire()

    def _open(self, link: AgentLink, connection: Connection) -> None:
        link.connection = connection
        link.reset_cache_request()
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
            self._discovery.record_pool(link.host.process, message)
            if message.state is UpstreamState.LEAVING:
                self._hub.report_leaving(connection)
            else:
                self._hub.report(AvailabilityReported(connection.peer))
        elif isinstance(message, LoadReport):
            link.apply_load(message)
        elif isinstance(message, CacheReport):
            link.apply_cache(message)
        elif not self._hub.handle(connection, message):
            self._on_message(link, connection, message)
