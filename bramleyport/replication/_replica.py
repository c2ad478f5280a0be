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

# Another peer may be sent a request when the first has not answered by then.
REQUEST_TIMEOUT_S: Final = 1.0
# Larger updates are only announced, so that a process fetches them from one peer
# instead of receiving them from each of its neighbours.
MAX_PUSH_BYTES: Final = 8_192
# Every third heartbeat repeats an unchanged state, in case a message was lost.
FULL_HEARTBEAT_INTERVAL: Final = 3
# A request with this revision is answered with all that is in effect.
FULL_REQUEST: Final = Revision(0)


@dataclass(frozen=True, slots=True)
class Send:
    """Describe a message to be sent to a peer."""

    peer: ProcessId
    message: Message


@dataclass(slots=True, kw_only=True)
class Changes:
    """Describe what a message changed and which messages to send as a result."""

    records: bool = False
    hosts: bool = False
    refused: Mapping[str, list[str]] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)


@dataclass(slots=True)
class _Peer:
    revision: Revision = Revision(0)
    hosts_revision: Revision = Revision(0)
    # The digests of the peer and of this process when all documents were requested
    # last, to request them only once.
    requested_digests: tuple[int, int] | None = None
    has_reported: bool = False
    last_announced: tuple[Revision, Revision, int] | None = None


class Replica:
    """Exchange records and hosts with the connected peers."""

    def __init__(self, records: RecordStore, hosts: HostStore) -> None:
        self.records = records
        self.hosts = hosts
        self._peers: dict[ProcessId, _Peer] = {}
        self._requested_s: float | None = None
        self._sequence = 0

    def make_heartbeat(
        self,
        sequence: int,
        store_age_s: float | None = None,
        peer: ProcessId | None = None,
    ) -> Heartbeat:
        """Build a heartbeat that states what is in effect here.

        The state is left out if the peer received the same state recently.
        """
        age_ms = -1 if store_age_s is None else int(store_age_s * 1000)
        state = (
            self.records.revision,
            self.hosts.revision,
            self.records.document_set.digest,
        )
        known = self._peers.get(peer) if peer is not None else None
        if known is not None:
            if known.last_announced == state and sequence % FULL_HEARTBEAT_INTERVAL:
                return Heartbeat(sequence=sequence, store_age_ms=age_ms)
            known.last_announced = state
        return Heartbeat(
            sequence=sequence,
            revision=state[0],
            hosts_revision=state[1],
            digest=state[2],
            store_age_ms=age_ms,
        )

    def list_revisions(self) -> list[Revision]:
        """Return the revision in effect here and on each connected peer."""
        return [self.records.revision, *(p.revision for p in self._peers.values())]

    def get_peer_revisions(self) -> dict[ProcessId, Revision]:
        """Return the revision in effect on each connected peer that reported one."""
        return {name: p.revision for name, p in self._peers.items() if p.has_reported}

    def remove_peer(self, peer: ProcessId) -> None:
        """Discard the state of a peer whose connection closed."""
        self._peers.pop(peer, None)

    def announce(self, peer: ProcessId) -> list[Send]:
        """Return the heartbeat that tells a new peer what is in effect here."""
        self._peers[peer] = _Peer()
        return [Send(peer, self.make_heartbeat(0, peer=peer))]

    def receive(self, peer: ProcessId, message: Message, now_s: float) -> Changes:
        """Process a message of a peer and return the resulting changes."""
        if isinstance(message, Heartbeat):
            return Changes(sends=self._process_heartbeat(peer, message, now_s))
        if isinstance(message, RecordsRequest):
            return Changes(sends=self._process_request(peer, message))
        if isinstance(message, RecordsSnapshot):
            return self._process_snapshot(peer, message)
        return Changes()

    def push(self) -> list[Send]:
        """Return an update for each peer that has an older revision."""
        sends: list[Send] = []
        for name, peer in self._peers.items():
            if not peer.has_reported:
                continue
            records = _build_delta(self.records.document_set, peer.revision)
            hosts = _build_delta(self.hosts.document_set, peer.hosts_revision)
            if records is None and hosts is None:
                continue
            if _count_bytes(records) + _count_bytes(hosts) > MAX_PUSH_BYTES:
                sends.append(Send(name, self.make_heartbeat(0, peer=name)))
                continue
            self._record_sent(peer, records, hosts)
            sends.append(Send(name, RecordsSnapshot(records=records, hosts=hosts)))
        return sends

    def _process_heartbeat(
        self, name: ProcessId, heartbeat: Heartbeat, now_s: float
    ) -> list[Send]:
        peer = self._peers.setdefault(name, _Peer())
        peer.has_reported = True
        peer.revision = max(peer.revision, heartbeat.revision)
        peer.hosts_revision = max(peer.hosts_revision, heartbeat.hosts_revision)
        # With equal digests, a higher revision contains the same documents.
        if not self.records.document_set.adopt_revision(
            heartbeat.revision, heartbeat.digest
        ) and self.records.document_set.raise_to_covered(heartbeat.revision):
            return self.push()
        behind = heartbeat.revision > self.records.revision
        behind_hosts = heartbeat.hosts_revision > self.hosts.revision
        is_different = (
            heartbeat.revision == self.records.revision
            and heartbeat.digest != self.records.document_set.digest
            and peer.requested_digests
            != (heartbeat.digest, self.records.document_set.digest)
        )
        if not (behind or behind_hosts or is_different):
            return []
        if (
            self._requested_s is not None
            and now_s - self._requested_s < REQUEST_TIMEOUT_S
        ):
            return []
        self._requested_s = now_s
        if is_different:
            peer.requested_digests = (
                heartbeat.digest,
                self.records.document_set.digest,
            )
        request = RecordsRequest(
            after=FULL_REQUEST if is_different else self.records.revision,
            hosts_after=self.hosts.revision if behind_hosts else None,
        )
        return [Send(name, request)]

    def _process_request(self, name: ProcessId, request: RecordsRequest) -> list[Send]:
        records = self.records.document_set.build_part(request.after)
        hosts = None
        if request.hosts_after is not None:
            hosts = self.hosts.document_set.build_part(request.hosts_after)
        self._record_sent(self._peers.setdefault(name, _Peer()), records, hosts)
        return [Send(name, RecordsSnapshot(records=records, hosts=hosts))]

    def _process_snapshot(self, name: ProcessId, snapshot: RecordsSnapshot) -> Changes:
        self._requested_s = None
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

    def _record_sent(
        self, peer: _Peer, records: ReplicaPart | None, hosts: ReplicaPart | None
    ) -> None:
        # Nothing is resent if the message is lost: the next heartbeat from here shows
        # the peer that it is behind, and the peer requests the update.
        if records is not None:
            peer.revision = max(peer.revision, records.revision)
        if hosts is not None:
            peer.hosts_revision = max(peer.hosts_revision, hosts.revision)


def _build_delta(document_set: RevisionedSet, after: Revision) -> ReplicaPart | None:
    if after >= document_set.revision:
        return None
    part = document_set.build_part(after)
    # A revision without changed documents is sent in the next heartbeat.
    return part if part.entries or part.after is None else None


def _count_bytes(part: ReplicaPart | None) -> int:
    if part is None:
        return 0
    return sum(len(entry.name) + len(entry.document or b"") for entry in part.entries)
