"""Connections to peers, which feed membership and replication.

The hub passes messages and ticks to the state machines and performs their actions.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any, Final

from bramleyport.core import ProcessId, Revision
from bramleyport.links._persistent_connection import PersistentConnection
from bramleyport.membership import (
    Added,
    Change,
    Connected,
    Disconnected,
    Event,
    Host,
    HostList,
    HostState,
    LeavingReported,
    LeavingSource,
    Membership,
    ProcessRole,
    Replaced,
    StateChanged,
    Tick,
)
from bramleyport.replication import Changes, Replica, Send, Topology, choose_reporter
from bramleyport.supervision import supervise
from bramleyport.telemetry import events, log_event, membership_events
from bramleyport.transport import Connection, Identity
from bramleyport.wire import (
    ENTRY_MESSAGES_VERSION,
    ClaimDecision,
    ClaimForward,
    Counts,
    Heartbeat,
    Leaving,
    Message,
    RecordsRequest,
    RecordsSnapshot,
)

TICK_INTERVAL_S: Final = 0.5
LEAVING_TIMEOUT_S: Final = 2.0
FLUSH_TIMEOUT_S: Final = 1.0
# Longer than most keyed calls, so that the connection that carried a claim is still
# open for its outcome.
REQUESTED_LINK_DURATION_S: Final = 30.0

_REPLICATED: Final = (Heartbeat, RecordsRequest, RecordsSnapshot)


class PeerHub:
    """Track the connections of a process and the state received from its peers."""

    def __init__(
        self, identity: Identity, replica: Replica, topology: Topology | None = None
    ) -> None:
        self.replica = replica
        self.membership = Membership()
        self.topology = topology
        self.on_hosts: Callable[[tuple[Host, ...]], None] | None = None
        self.on_records: Callable[[], None] | None = None
        self.on_topology: Callable[[], None] | None = None
        self.on_counts: Callable[[Counts], None] | None = None
        self.on_claims: Callable[[Connection, Message], None] | None = None
        self._identity = identity
        self._connections: dict[ProcessId, list[Connection]] = {}
        self._links: dict[ProcessId, PersistentConnection] = {}
        # Peers that are connected on request, and when the request expires.
        self._requested: dict[ProcessId, float] = {}
        self._seeds: list[PersistentConnection] = []
        self._unconfirmed: set[Connection] = set()
        self._store_answer_s: float | None = None
        self._leaving = False
        self._ticker: asyncio.Task[None] | None = None
        self._background: set[asyncio.Future[Any]] = set()

    def is_reporter(self) -> bool:
        """Return whether this process writes the status of the records to the store."""
        own = self._identity.process
        live = {
            host.process
            for host in self.membership.hosts
            if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
        }
        # A leaving process is no reporter: its peers choose another one as soon as they
        # know that it is leaving.
        return not self._leaving and choose_reporter(live | {own}) == own

    def read_revision(self) -> Revision:
        """Return the revision of the records in force."""
        return self.replica.records.revision

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Start to track peers; connect to the seeds until hosts are known."""
        self._seeds = [self._make_link(f"ws://{seed}", None) for seed in seeds]
        self._ticker = asyncio.ensure_future(supervise(self._tick_forever))

    async def close(self) -> None:
        """Close the connections that this hub opened."""
        if self._ticker is not None:
            self._ticker.cancel()
        links = [*self._links.values(), *self._seeds]
        await asyncio.gather(*(link.close() for link in links))

    def attach(self, connection: Connection) -> None:
        """Register a new connection and send what its peer needs first."""
        peers = self._connections.setdefault(connection.peer, [])
        peers.append(connection)
        connection.make_heartbeat = partial(self._make_heartbeat, connection.peer)
        self.report(
            Connected(process=connection.peer, incarnation=connection.incarnation)
        )
        if self._leaving:
            connection.post(self._make_leaving())
        for send in self.replica.announce(connection.peer):
            connection.post(send.message)

    def detach(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._unconfirmed.discard(connection)
        peers = self._connections.get(connection.peer, [])
        if connection in peers:
            peers.remove(connection)
        if not peers and self._connections.pop(connection.peer, None) is not None:
            self.replica.remove_peer(connection.peer)
            self.report(Disconnected(connection.peer))

    def handle(self, connection: Connection, message: Message) -> bool:
        """Handle a message between peers and return whether it was one."""
        if isinstance(message, Leaving):
            self._handle_leaving(connection, message)
            return True
        if isinstance(message, Counts):
            if self.on_counts is not None:
                self.on_counts(message)
            return True
        if isinstance(message, ClaimForward | ClaimDecision):
            if self.on_claims is not None:
                self.on_claims(connection, message)
            return True
        if not isinstance(message, _REPLICATED):
            return False
        now_s = time.monotonic()
        if isinstance(message, Heartbeat) and message.store_age_ms >= 0:
            self._record_progress(connection.peer, message.store_age_ms / 1000)
        changes = self.replica.receive(connection.peer, message, now_s)
        if changes.records:
            log_event(
                membership_events.RECORDS_FROM_PEER,
                peer=connection.peer,
                revision=self.read_revision(),
            )
        self.apply(changes)
        return True

    def apply(self, changes: Changes) -> None:
        """Log, report and send the changes of records and hosts."""
        for name, reasons in changes.refused.items():
            log_event(events.RECORD_INVALID, record=name, reasons=reasons)
        if changes.records:
            log_event(
                events.RECORDS_APPLIED,
                revision=self.read_revision(),
                records=len(self.replica.records.records),
            )
            if self.on_records is not None:
                self.on_records()
        self._send(changes.sends)
        if changes.hosts and self.topology is not None:
            hosts = self.replica.hosts
            self.report(HostList(revision=hosts.revision, hosts=hosts.hosts))
            self.update_topology()

    @property
    def leaving(self) -> bool:
        """Return whether this process has announced that it is leaving."""
        return self._leaving

    def is_connected(self, peer: ProcessId) -> bool:
        """Return whether there is a usable connection to a peer."""
        return self.find_connection(peer) is not None

    def post(self, peer: ProcessId, message: Message) -> bool:
        """Send a message on a usable connection and return whether there is one."""
        connection = self.find_connection(peer)
        if connection is not None:
            connection.post(message)
        return connection is not None

    async def flush(self) -> None:
        """Wait until the queued messages are written to the connections."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                for connection in self._list_connections():
                    await connection.flush()

    def find_connection(self, process: ProcessId) -> Connection | None:
        """Return the newest usable connection whose version has entry messages."""
        for connection in reversed(self._connections.get(process, [])):
            usable = connection.version >= ENTRY_MESSAGES_VERSION
            if usable and not connection.suspect:
                return connection
        return None

    def request_link(self, process: ProcessId) -> None:
        """Connect to a peer, or extend a requested connection, for a limited time."""
        host = self.membership.find(process)
        if host is None:
            return
        if process in self._requested or self.find_connection(process) is None:
            self._requested[process] = time.monotonic() + REQUESTED_LINK_DURATION_S
        if process in self._requested and process not in self._links:
            self._links[process] = self._make_link(host.uri, process)

    def report(self, event: Event) -> list[Change]:
        """Report an event to the membership and pass on the resulting changes."""
        changes = self.membership.step(event, time.monotonic())
        for change in changes:
            _log_change(change)
        if changes and self.on_hosts is not None:
            self.on_hosts(self.membership.hosts)
        return changes

    def report_leaving(self, connection: Connection) -> None:
        """Report that the peer of a connection has announced that it is leaving."""
        self._propagate_leaving(
            LeavingReported(
                process=connection.peer,
                source=LeavingSource.ITSELF,
                incarnation=connection.incarnation,
            )
        )

    def record_store_answer(self) -> None:
        """Record that the store has just responded to this process."""
        self._store_answer_s = time.monotonic()
        self._record_progress(self._identity.process, 0.0)

    def stop_watching(self) -> None:
        """Record that this process no longer watches the store."""
        self._store_answer_s = None

    async def announce_leaving(self) -> None:
        """Announce that this process is leaving and wait for its peers to confirm.

        A peer that has confirmed sends no more work, and all work that it sent before
        has been received.
        """
        self._leaving = True
        self._unconfirmed = set()
        for connection in self._list_connections():
            self._unconfirmed.add(connection)
            connection.post(self._make_leaving())
        deadline_s = time.monotonic() + LEAVING_TIMEOUT_S
        while self._unconfirmed and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        for connection in self._unconfirmed:
            log_event(membership_events.LEAVING_UNCONFIRMED, peer=connection.peer)

    def update_topology(self) -> None:
        """Update whether to watch the store and which peers to connect to."""
        if self.topology is None:
            return
        hosts = self.membership.hosts
        self.topology.step(hosts, time.monotonic())
        known = {host.process: host for host in hosts}
        now_s = time.monotonic()
        self._requested = {p: s for p, s in self._requested.items() if s > now_s}
        chosen = self.topology.links | self._requested.keys()
        wanted = {p: known[p] for p in chosen if p in known}
        self._connect_peers(wanted)
        if hosts and self._seeds:
            self._close_later(self._seeds)
            self._seeds = []
        if self.on_topology is not None:
            self.on_topology()

    def _connect_peers(self, wanted: dict[ProcessId, Host]) -> None:
        for process, link in list(self._links.items()):
            host = wanted.get(process)
            if host is None or host.uri != link.uri:
                del self._links[process]
                self._close_later([link])
        for process, host in wanted.items():
            if process not in self._links:
                self._links[process] = self._make_link(host.uri, process)

    def _close_later(self, links: list[PersistentConnection]) -> None:
        for link in links:
            task = asyncio.ensure_future(link.close())
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    def _make_link(
        self, uri: str, expected_peer: ProcessId | None
    ) -> PersistentConnection:
        return PersistentConnection(
            uri,
            expected_peer,
            self._identity,
            self.read_revision,
            self.attach,
            self.detach,
            self.handle,
        )

    def _handle_leaving(self, connection: Connection, message: Leaving) -> None:
        if message.process == self._identity.process:
            self._unconfirmed.discard(connection)
            return
        is_own_report = message.process == connection.peer
        self._propagate_leaving(
            LeavingReported(
                process=message.process,
                source=LeavingSource.ITSELF if is_own_report else LeavingSource.PEER,
                incarnation=message.incarnation,
            )
        )
        if is_own_report:
            connection.post(message)

    def _propagate_leaving(self, event: LeavingReported) -> None:
        changes = self.report(event)
        if not any(isinstance(change, StateChanged) for change in changes):
            return
        self.update_topology()
        notice = Leaving(process=event.process, incarnation=event.incarnation)
        for peer in list(self._connections):
            host = self.membership.find(peer)
            is_entry = host is not None and host.role is ProcessRole.ENTRY
            if is_entry and peer != event.process:
                self._send([Send(peer, notice)])

    def _make_leaving(self) -> Leaving:
        return Leaving(
            process=self._identity.process, incarnation=self._identity.incarnation
        )

    def _make_heartbeat(self, peer: ProcessId, sequence: int) -> Heartbeat:
        age_s = None
        if self._store_answer_s is not None:
            age_s = time.monotonic() - self._store_answer_s
        return self.replica.make_heartbeat(sequence, age_s, peer)

    def _record_progress(self, process: ProcessId, age_s: float) -> None:
        if self.topology is not None:
            self.topology.record_progress(process, age_s, time.monotonic())

    def _list_connections(self) -> list[Connection]:
        return [
            connection
            for peers in self._connections.values()
            for connection in peers
            if not connection.closed.is_set()
        ]

    def _send(self, sends: list[Send]) -> None:
        for send in sends:
            open_connections = [
                connection
                for connection in self._connections.get(send.peer, [])
                if not connection.closed.is_set()
            ]
            if open_connections:
                open_connections[-1].post(send.message)

    async def _tick_forever(self) -> None:
        while True:
            self.report(Tick())
            self.update_topology()
            await asyncio.sleep(TICK_INTERVAL_S)


def _log_change(change: Change) -> None:
    if isinstance(change, StateChanged):
        log_event(
            membership_events.HOST_STATE_CHANGED,
            process=change.process,
            state=change.state.value,
        )
    elif isinstance(change, Added):
        log_event(membership_events.HOST_ADDED, process=change.host.process)
    elif isinstance(change, Replaced):
        log_event(membership_events.HOST_REPLACED, process=change.host.process)
    else:
        log_event(membership_events.HOST_REMOVED, process=change.process)
