"""Shell of membership and replication: feeds them and carries out their actions."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any, Final

from bramleyport.core import ProcessId, Revision
from bramleyport.links._persistent import PersistentConnection
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

TICK_S: Final = 0.5
LEAVING_WAIT_S: Final = 2.0
FLUSH_WAIT_S: Final = 1.0
# Longer than most keyed calls, so that the outcome finds the connection of its claim.
REQUESTED_LINK_S: Final = 30.0

_REPLICATED: Final = (Heartbeat, RecordsRequest, RecordsSnapshot)


class PeerHub:
    """Hold every connection of a process and what it learns from its peers."""

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
        # Peers connected to on request, and until when.
        self._requested: dict[ProcessId, float] = {}
        self._seeds: list[PersistentConnection] = []
        self._unconfirmed: set[Connection] = set()
        self._store_answer_s: float | None = None
        self._leaving = False
        self._ticker: asyncio.Task[None] | None = None
        self._background: set[asyncio.Future[Any]] = set()

    def is_reporter(self) -> bool:
        """Return whether this process writes the status of the records."""
        own = self._identity.process
        live = {
            host.process
            for host in self.membership.hosts
            if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
        }
        # Its peers choose another reporter as soon as they know that it is leaving.
        return not self._leaving and choose_reporter(live | {own}) == own

    def read_revision(self) -> Revision:
        """Return the revision of the records in force."""
        return self.replica.records.revision

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Begin to follow peers; seeds are asked while no host is known."""
        self._seeds = [self._link(f"ws://{seed}", None) for seed in seeds]
        self._ticker = asyncio.ensure_future(self._tick_forever())

    async def close(self) -> None:
        """Close the connections that this hub opened."""
        if self._ticker is not None:
            self._ticker.cancel()
        links = [*self._links.values(), *self._seeds]
        await asyncio.gather(*(link.close() for link in links))

    def attach(self, connection: Connection) -> None:
        """Take a new connection into use."""
        peers = self._connections.setdefault(connection.peer, [])
        peers.append(connection)
        connection.make_heartbeat = partial(self._make_heartbeat, connection.peer)
        self.report(
            Connected(process=connection.peer, incarnation=connection.incarnation)
        )
        if self._leaving:
            connection.post(self._make_leaving())
        for send in self.replica.greet(connection.peer):
            connection.post(send.message)

    def detach(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        self._unconfirmed.discard(connection)
        peers = self._connections.get(connection.peer, [])
        if connection in peers:
            peers.remove(connection)
        if not peers and self._connections.pop(connection.peer, None) is not None:
            self.replica.forget(connection.peer)
            self.report(Disconnected(connection.peer))

    def handle(self, connection: Connection, message: Message) -> bool:
        """Take a message that concerns peers and return whether it was one."""
        if isinstance(message, Leaving):
            self._take_leaving(connection, message)
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
        """Carry out what a change of records or hosts brings about."""
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
        """Return whether this process has announced its end."""
        return self._leaving

    def connects(self, peer: ProcessId) -> bool:
        """Return whether a connection to a peer works."""
        return self.find_connection(peer) is not None

    def post(self, peer: ProcessId, message: Message) -> bool:
        """Send a message on a connection that works and return whether there is one."""
        connection = self.find_connection(peer)
        if connection is not None:
            connection.post(message)
        return connection is not None

    async def flush(self) -> None:
        """Wait until what was sent to peers is on its way."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_WAIT_S):
                for connection in self._list_connections():
                    await connection.flush()

    def find_connection(self, process: ProcessId) -> Connection | None:
        """Return the newest connection that carries messages between entries."""
        for connection in reversed(self._connections.get(process, [])):
            usable = connection.version >= ENTRY_MESSAGES_VERSION
            if usable and not connection.suspect:
                return connection
        return None

    def request_link(self, process: ProcessId) -> None:
        """Connect to a peer, or stay connected, for a while."""
        host = self.membership.find(process)
        if host is None:
            return
        if process in self._requested or self.find_connection(process) is None:
            self._requested[process] = time.monotonic() + REQUESTED_LINK_S
        if process in self._requested and process not in self._links:
            self._links[process] = self._link(host.uri, process)

    def report(self, event: Event) -> list[Change]:
        """Tell the membership of an event and pass on what changed."""
        changes = self.membership.step(event, time.monotonic())
        for change in changes:
            _log_change(change)
        if changes and self.on_hosts is not None:
            self.on_hosts(self.membership.hosts)
        return changes

    def report_leaving(self, connection: Connection) -> None:
        """Report that a process said of itself that it is leaving."""
        self._spread_leaving(
            LeavingReported(
                process=connection.peer,
                source=LeavingSource.ITSELF,
                incarnation=connection.incarnation,
            )
        )

    def record_store_answer(self) -> None:
        """Record that the store has just answered this process."""
        self._store_answer_s = time.monotonic()
        self._record_progress(self._identity.process, 0.0)

    def stop_watching(self) -> None:
        """Record that this process no longer reads the store."""
        self._store_answer_s = None

    async def announce_leaving(self) -> None:
        """Announce this process's end and wait until its peers confirm.

        A peer that confirmed sends no more work, and what it sent before has arrived.
        """
        self._leaving = True
        self._unconfirmed = set()
        for connection in self._list_connections():
            self._unconfirmed.add(connection)
            connection.post(self._make_leaving())
        deadline_s = time.monotonic() + LEAVING_WAIT_S
        while self._unconfirmed and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        for connection in self._unconfirmed:
            log_event(membership_events.LEAVING_UNCONFIRMED, peer=connection.peer)

    def update_topology(self) -> None:
        """Choose again whether to watch the store and whom to connect to."""
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
                self._links[process] = self._link(host.uri, process)

    def _close_later(self, links: list[PersistentConnection]) -> None:
        for link in links:
            task = asyncio.ensure_future(link.close())
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    def _link(self, uri: str, expected: ProcessId | None) -> PersistentConnection:
        return PersistentConnection(
            uri,
            expected,
            self._identity,
            self.read_revision,
            self.attach,
            self.detach,
            self.handle,
        )

    def _take_leaving(self, connection: Connection, message: Leaving) -> None:
        if message.process == self._identity.process:
            self._unconfirmed.discard(connection)
            return
        itself = message.process == connection.peer
        self._spread_leaving(
            LeavingReported(
                process=message.process,
                source=LeavingSource.ITSELF if itself else LeavingSource.PEER,
                incarnation=message.incarnation,
            )
        )
        if itself:
            connection.post(message)

    def _spread_leaving(self, event: LeavingReported) -> None:
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
            open_ones = [
                connection
                for connection in self._connections.get(send.peer, [])
                if not connection.closed.is_set()
            ]
            if open_ones:
                open_ones[-1].post(send.message)

    async def _tick_forever(self) -> None:
        while True:
            self.report(Tick())
            self.update_topology()
            await asyncio.sleep(TICK_S)


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
