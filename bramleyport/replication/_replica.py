"""Exchange records and hosts with peers by revision (anti-entropy)."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import ProcessId, Revision
from bramleyport.replication._revisions import RevisionedSet
from bramleyport.replication._store import Applied, HostStore, RecordStore
from bramleyport.wire import (
    Heartbeat,
    Message,
    RecordsRequest,
    RecordsSnapshot,
    ReplicaPart,
)

# A second peer is asked when the first has not answered within this time.
ASK_TIMEOUT_S: Final = 1.0
# Larger updates are announced and fetched once instead of pushed by every neighbour.
PUSH_BYTES: Final = 8_192
# Every third heartbeat carries the state again, in case a message was lost.
FULL_EVERY: Final = 3
# A request with this revision gets everything that is in force.
EVERYTHING: Final = Revision(0)


@dataclass(frozen=True, slots=True)
class Send:
    """Ask the transport to send a message to a peer."""

    peer: ProcessId
    message: Message


@dataclass(slots=True, kw_only=True)
class Changes:
    """Report what a message changed in this process."""

    records: bool = False
    hosts: bool = False
    refused: Mapping[str, list[str]] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)


@dataclass(slots=True)
class _Peer:
    revision: Revision = Revision(0)
    hosts_revision: Revision = Revision(0)
    compared: tuple[int, int] | None = None
    heard: bool = False
    told: tuple[Revision, Revision, int] | None = None


class Replica:
    """Decide what to send to peers and take what they send."""

    def __init__(self, records: RecordStore, hosts: HostStore) -> None:
        self.records = records
        self.hosts = hosts
        self._peers: dict[ProcessId, _Peer] = {}
        self._asked_s: float | None = None
        self._sequence = 0

    def make_heartbeat(
        self,
        sequence: int,
        store_age_s: float | None = None,
        peer: ProcessId | None = None,
    ) -> Heartbeat:
        """Build a heartbeat that carries what is in force here.

        A peer that was told the same lately gets a short one.
        """
        age_ms = -1 if store_age_s is None else int(store_age_s * 1000)
        state = (self.records.revision, self.hosts.revision, self.records.held.digest)
        known = self._peers.get(peer) if peer is not None else None
        if known is not None:
            if known.told == state and sequence % FULL_EVERY:
                return Heartbeat(sequence=sequence, store_age_ms=age_ms)
            known.told = state
        return Heartbeat(
            sequence=sequence,
            revision=state[0],
            hosts_revision=state[1],
            digest=state[2],
            store_age_ms=age_ms,
        )

    def list_revisions(self) -> list[Revision]:
        """Return the revision in force here and on each connected peer."""
        return [self.records.revision, *(p.revision for p in self._peers.values())]

    def read_peers(self) -> dict[ProcessId, Revision]:
        """Return the revision in force on each connected peer that has reported."""
        return {name: p.revision for name, p in self._peers.items() if p.heard}

    def forget(self, peer: ProcessId) -> None:
        """Drop what is known of a peer whose connection closed."""
        self._peers.pop(peer, None)

    def greet(self, peer: ProcessId) -> list[Send]:
        """Tell a newly connected peer what is in force here."""
        self._peers[peer] = _Peer()
        return [Send(peer, self.make_heartbeat(0, peer=peer))]

    def receive(self, peer: ProcessId, message: Message, now_s: float) -> Changes:
        """Apply a message of a peer and return what changed and what to send."""
        if isinstance(message, Heartbeat):
            return Changes(sends=self._compare(peer, message, now_s))
        if isinstance(message, RecordsRequest):
            return Changes(sends=self._answer(peer, message))
        if isinstance(message, RecordsSnapshot):
            return self._take(peer, message)
        return Changes()

    def push(self) -> list[Send]:
        """Send what is new to every peer known to be behind."""
        sends: list[Send] = []
        for name, peer in self._peers.items():
            if not peer.heard:
                continue
            records = _build(self.records.held, peer.revision)
            hosts = _build(self.hosts.held, peer.hosts_revision)
            if records is None and hosts is None:
                continue
            if _measure(records) + _measure(hosts) > PUSH_BYTES:
                sends.append(Send(name, self.make_heartbeat(0, peer=name)))
                continue
            self._note_sent(peer, records, hosts)
            sends.append(Send(name, RecordsSnapshot(records=records, hosts=hosts)))
        return sends

    def _compare(self, name: ProcessId, beat: Heartbeat, now_s: float) -> list[Send]:
        peer = self._peers.setdefault(name, _Peer())
        peer.heard = True
        peer.revision = max(peer.revision, beat.revision)
        peer.hosts_revision = max(peer.hosts_revision, beat.hosts_revision)
        # The digest tells whether a higher revision brings anything.
        if not self.records.held.adopt(
            beat.revision, beat.digest
        ) and self.records.held.cover(beat.revision):
            return self.push()
        behind = beat.revision > self.records.revision
        behind_hosts = beat.hosts_revision > self.hosts.revision
        differs = (
            beat.revision == self.records.revision
            and beat.digest != self.records.held.digest
            and peer.compared != (beat.digest, self.records.held.digest)
        )
        if not (behind or behind_hosts or differs):
            return []
        if self._asked_s is not None and now_s - self._asked_s < ASK_TIMEOUT_S:
            return []
        self._asked_s = now_s
        if differs:
            peer.compared = (beat.digest, self.records.held.digest)
        request = RecordsRequest(
            after=EVERYTHING if differs else self.records.revision,
            hosts_after=self.hosts.revision if behind_hosts else None,
        )
        return [Send(name, request)]

    def _answer(self, name: ProcessId, request: RecordsRequest) -> list[Send]:
        records = self.records.held.build_part(request.after)
        hosts = None
        if request.hosts_after is not None:
            hosts = self.hosts.held.build_part(request.hosts_after)
        self._note_sent(self._peers.setdefault(name, _Peer()), records, hosts)
        return [Send(name, RecordsSnapshot(records=records, hosts=hosts))]

    def _take(self, name: ProcessId, snapshot: RecordsSnapshot) -> Changes:
        self._asked_s = None
        peer = self._peers.setdefault(name, _Peer())
        changes = Changes()
        if snapshot.records is not None:
            peer.revision = max(peer.revision, snapshot.records.revision)
            result = self.records.merge(snapshot.records)
            if isinstance(result, Applied):
                changes.records = True
                changes.refused = result.refused
        if snapshot.hosts is not None:
            peer.hosts_revision = max(peer.hosts_revision, snapshot.hosts.revision)
            changes.hosts = self.hosts.merge(snapshot.hosts)
        if changes.records or changes.hosts:
            changes.sends = self.push()
        return changes

    def _note_sent(
        self, peer: _Peer, records: ReplicaPart | None, hosts: ReplicaPart | None
    ) -> None:
        # If the message is lost, the peer's next heartbeat shows that it is behind
        # and it asks by itself.
        if records is not None:
            peer.revision = max(peer.revision, records.revision)
        if hosts is not None:
            peer.hosts_revision = max(peer.hosts_revision, hosts.revision)


def _build(held: RevisionedSet, after: Revision) -> ReplicaPart | None:
    if after >= held.revision:
        return None
    part = held.build_part(after)
    # A bare revision travels in the next heartbeat.
    return part if part.entries or part.after is None else None


def _measure(part: ReplicaPart | None) -> int:
    if part is None:
        return 0
    return sum(len(entry.name) + len(entry.document or b"") for entry in part.entries)
