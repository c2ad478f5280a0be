"""Simulate the object API with watches, call counts and zones that it stops serving."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from bramleyport.core import ProcessId, Revision, ZoneName
from bramleyport.membership import Host
from bramleyport.replication import Applied, Changes, Replica
from bramleyport.wire import ReplicaEntry, ReplicaPart

ANSWER_DELAY_S: Final = 0.005
WATCH_TIMEOUT_S: Final = 2.0
STALL_TIMEOUT_S: Final = 5.0
RETRY_S: Final = 1.0
KINDS: Final = ("services", "hosts")

AnswerCallback = Callable[[Callable[[Replica], Changes]], None]


@dataclass(slots=True)
class _Watch:
    host: Host
    kind: str
    deliver: AnswerCallback
    since: int
    number: int = 0
    waiting: bool = False
    listed: bool = False


class VirtualStore:
    """Represent a store that answers and counts lists and watches."""

    def __init__(self, records: dict[str, bytes], hosts: list[Host]) -> None:
        self.revision = 1
        self.calls = 0
        self.stalled: set[ZoneName] = set()
        self._records = {
            name: ReplicaEntry(name=name, revision=Revision(1), document=document)
            for name, document in records.items()
        }
        self._hosts = {host.process: host for host in hosts}
        self._hosts_revision = 1
        self._last_changes = {"services": 1, "hosts": 1}
        self._watches: dict[tuple[ProcessId, str], _Watch] = {}
        self._later: Any = None
        self._now: Any = None

    def bind(
        self, later: Callable[[float, Callable[[], None]], None], now: Any
    ) -> None:
        """Set the functions that schedule an action and return the time."""
        self._later, self._now = later, now

    @property
    def waiting(self) -> int:
        """Return the number of open watches without an answer."""
        return sum(1 for watch in self._watches.values() if watch.waiting)

    def build_records(self) -> ReplicaPart:
        """Return all records as a snapshot."""
        entries = tuple(self._records.values())
        return ReplicaPart(revision=Revision(1), entries=entries)

    def build_hosts(self) -> ReplicaPart:
        """Return all hosts as a snapshot."""
        entries = tuple(
            ReplicaEntry(
                name=host.process, revision=Revision(1), document=_encode_host(host)
            )
            for host in self._hosts.values()
        )
        return ReplicaPart(revision=Revision(1), entries=entries)

    def put_record(self, name: str, document: bytes) -> Revision:
        """Store a record and answer the open watches of records."""
        self.revision += 1
        revision = Revision(self.revision)
        self._records[name] = ReplicaEntry(
            name=name, revision=revision, document=document
        )
        self._answer_watches("services")
        return revision

    def put_host(self, host: Host, **changes: Any) -> None:
        """Change one row of the host list and answer the open watches of hosts."""
        self.revision += 1
        self._hosts[host.process] = replace(host, **changes)
        self._answer_watches("hosts")

    def watch(self, host: Host, deliver: AnswerCallback) -> None:
        """Start watches of records and hosts unless the process already has them."""
        for kind in KINDS:
            key = (host.process, kind)
            if key not in self._watches:
                self._watches[key] = _Watch(host, kind, deliver, since=0)
                self._call(self._watches[key])

    def stop(self, process: ProcessId) -> None:
        """End the watches of a process."""
        for kind in KINDS:
            self._watches.pop((process, kind), None)

    def _answer_watches(self, kind: str) -> None:
        self._last_changes[kind] = self.revision
        for watch in list(self._watches.values()):
            if watch.kind == kind and watch.waiting:
                self._answer(watch, watch.number)

    def _call(self, watch: _Watch) -> None:
        if self._watches.get((watch.host.process, watch.kind)) is not watch:
            return
        self.calls += 1
        watch.number += 1
        number = watch.number
        if watch.host.zone in self.stalled:
            self._later(STALL_TIMEOUT_S, lambda: self._call(watch))
        elif not watch.listed or self._last_changes[watch.kind] > watch.since:
            self._answer(watch, number)
        else:
            watch.waiting = True
            self._later(WATCH_TIMEOUT_S, lambda: self._answer(watch, number))

    def _answer(self, watch: _Watch, number: int) -> None:
        if watch.number != number:
            return
        watch.number += 1
        watch.waiting = False
        listed, since, watch.listed = watch.listed, watch.since, True
        watch.since = self.revision
        apply = self._make_answer(watch.kind, listed, since)

        def arrive() -> None:
            if watch.host.zone not in self.stalled:
                watch.deliver(apply)
            self._call(watch)

        self._later(ANSWER_DELAY_S, arrive)

    def _make_answer(
        self, kind: str, listed: bool, since: int
    ) -> Callable[[Replica], Changes]:
        revision = Revision(self.revision)
        if kind == "hosts":
            return self._make_hosts_answer(Revision(self._last_changes["hosts"]))
        entries = [
            e for e in self._records.values() if not listed or e.revision > since
        ]

        def apply(replica: Replica) -> Changes:
            store = replica.records
            update = store.update_from_changes if listed else store.update_from_listing
            changed = isinstance(update(revision, entries), Applied)
            return Changes(records=changed, sends=replica.push() if changed else [])

        return apply

    def _make_hosts_answer(self, changed: Revision) -> Callable[[Replica], Changes]:
        rows = [json.loads(_encode_host(host)) for host in self._hosts.values()]

        def apply(replica: Replica) -> Changes:
            # The replica may have this revision from a peer.
            if replica.hosts.revision >= changed:
                return Changes()
            done = replica.hosts.update_from_rows(changed, rows)
            return Changes(hosts=done, sends=replica.push() if done else [])

        return apply


def _encode_host(host: Host) -> bytes:
    row = {
        "process": host.process,
        "role": host.role.value,
        "address": host.address,
        "port": host.port,
        "zone": host.zone,
        "region": host.region,
        "state": host.state.value,
    }
    return json.dumps(row, sort_keys=True).encode()
