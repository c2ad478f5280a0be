"""Test that replicas converge and never revert to older or invalid records."""

import json
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from bramleyport.core import ProcessId, RegionName, Revision, ServiceName, ZoneName
from bramleyport.membership import Host, ProcessRole
from bramleyport.replication import (
    Applied,
    HostStore,
    Ignored,
    RecordStore,
    Replica,
    Send,
    Snapshot,
    Topology,
    choose_watchers,
)
from bramleyport.wire import Heartbeat, RecordsRequest, ReplicaEntry

RANKS = {
    "urgent": {
        "first_token_s": 1.0,
        "between_tokens_s": 0.1,
        "answer_s": 20.0,
        "price_per_million_tokens": 1.0,
        "guaranteed_share": 0.5,
    }
}


def make_document(name: str, version: int, *, valid: bool = True) -> bytes:
    document = {
        "name": name,
        "model": {"name": "m", "versions": [str(version)]},
        "ranks": RANKS if valid else {"soon": {}},
    }
    return json.dumps(document).encode()


def make_entry(name: str, revision: int, *, valid: bool = True) -> ReplicaEntry:
    document = make_document(name, revision, valid=valid)
    return ReplicaEntry(name=name, revision=Revision(revision), document=document)


def get_version(store: RecordStore, name: str) -> str | None:
    record = store.records.get(ServiceName(name))
    return record.model.versions[0] if record and record.model else None


class FakeStore:
    """Represent the objects and their history in the object API."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, ReplicaEntry] = {}
        self.history: list[ReplicaEntry] = []
        self.valid: dict[str, ReplicaEntry] = {}

    def put(self, name: str, *, valid: bool = True) -> None:
        self.revision += 1
        entry = make_entry(name, self.revision, valid=valid)
        self.objects[name] = entry
        self.history.append(entry)
        if valid:
            self.valid[name] = entry

    def update_status(self, name: str) -> None:
        """Write the status without changing the document."""
        if name in self.objects:
            self.revision += 1
            revision = Revision(self.revision)
            self.objects[name] = replace(self.objects[name], revision=revision)
            self.history.append(self.objects[name])

    def delete(self, name: str) -> None:
        if name in self.objects:
            self.revision += 1
            del self.objects[name]
            self.valid.pop(name, None)
            self.history.append(
                ReplicaEntry(name=name, revision=Revision(self.revision))
            )

    def list_into(self, replica: Replica) -> list[Send]:
        replica.records.update_from_listing(
            Revision(self.revision), self.objects.values()
        )
        return replica.push()


class Network:
    """Deliver messages between replicas immediately."""

    def __init__(self, count: int) -> None:
        self.replicas = {ProcessId(f"p{i}"): self.make() for i in range(count)}
        self.separated: set[ProcessId] = set()
        self.now_s = 0.0

    @staticmethod
    def make() -> Replica:
        return Replica(RecordStore(), HostStore())

    def deliver(self, sender: ProcessId, sends: list[Send]) -> None:
        pending = [(sender, send) for send in sends]
        while pending:
            source, send = pending.pop(0)
            if (source in self.separated) != (send.peer in self.separated):
                continue
            self.now_s += 2.0
            replica = self.replicas[send.peer]
            revision = replica.records.revision
            before = dict(replica.records.document_set.items)
            changes = replica.receive(source, send.message, self.now_s)
            assert replica.records.revision >= revision
            for name, item in replica.records.document_set.items.items():
                assert name not in before or item.revision >= before[name].revision
            pending += [(send.peer, item) for item in changes.sends]

    def send_heartbeats(self) -> None:
        for sender, replica in self.replicas.items():
            for peer in self.replicas:
                if peer != sender:
                    self.deliver(sender, [Send(peer, replica.make_heartbeat(1))])

    def converge(self) -> None:
        for _ in range(4):
            self.send_heartbeats()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "put",
                "invalid",
                "touch",
                "delete",
                "list",
                "watch",
                "beat",
                "restart",
                "part",
            ]
        ),
        st.integers(0, 3),
    ),
    max_size=40,
)


def watch_into(store: FakeStore, replica: Replica, cursors: dict[Replica, int]) -> None:
    since = cursors.get(replica)
    if since is None:
        store.list_into(replica)
    else:
        events = [entry for entry in store.history if entry.revision > since]
        replica.records.update_from_changes(Revision(store.revision), events)
    cursors[replica] = store.revision


@settings(max_examples=300)
@given(STEPS)
def test_replicas_converge_and_never_revert(steps: list[tuple[str, int]]) -> None:
    """Run two watchers and two other processes with updates, restarts and a partition.

    p0 watches throughout, so the last valid version of every record is known.
    """
    store, network = FakeStore(), Network(4)
    cursors: dict[Replica, int] = {}
    names = list(network.replicas)
    for kind, number in steps:
        name, peer = f"r{number}", names[number]
        if kind == "put":
            store.put(name)
        elif kind == "invalid":
            store.put(name, valid=False)
        elif kind == "touch":
            store.update_status(name)
        elif kind == "delete":
            store.delete(name)
        elif kind in ("list", "watch") and number == 1:
            if kind == "list":
                cursors.pop(network.replicas[names[1]], None)
            watch_into(store, network.replicas[names[1]], cursors)
        elif kind == "beat":
            network.send_heartbeats()
        elif kind == "restart" and number:
            network.replicas[peer] = network.make()
            for replica in network.replicas.values():
                replica.remove_peer(peer)
        elif kind == "part":
            network.separated = set() if network.separated else set(names[2:])
        watch_into(store, network.replicas[names[0]], cursors)
        network.deliver(names[0], network.replicas[names[0]].push())
    network.separated = set()
    network.converge()
    expected = {name: entry.document for name, entry in store.valid.items()}
    for replica in network.replicas.values():
        held = replica.records.document_set.items
        assert {name: item.document for name, item in held.items()} == expected


def test_older_snapshot_is_ignored() -> None:
    store = RecordStore()
    new = Snapshot(revision=Revision(9), documents=(make_document("a", 9),))
    old = Snapshot(revision=Revision(8), documents=(make_document("a", 8),))
    assert isinstance(store.update_from_snapshot(new), Applied)
    assert store.update_from_snapshot(old) == Ignored(Revision(9))
    assert get_version(store, "a") == "9"


def test_invalid_record_is_rejected_with_reasons_and_keeps_the_last_valid_one() -> None:
    store = RecordStore()
    store.update_from_listing(Revision(1), [make_entry("a", 1)])
    result = store.update_from_changes(Revision(2), [make_entry("a", 2, valid=False)])
    assert isinstance(result, Applied) and result.refused["a"]
    assert get_version(store, "a") == "1"


def test_rejected_versions_are_forgotten_with_their_records() -> None:
    """Guards against memory that grows with every rejected record."""
    store = RecordStore()
    store.update_from_listing(Revision(1), [make_entry("a", 1)])
    for number in range(2, 50, 2):
        name = f"record-{number}"
        rejected = make_entry(name, number, valid=False)
        store.update_from_changes(Revision(number), [rejected])
        store.update_from_listing(Revision(number + 1), [make_entry("a", 1)])
    store.update_from_changes(Revision(60), [make_entry("b", 60, valid=False)])
    store.update_from_changes(Revision(61), [make_entry("b", 61)])
    assert not store.document_set._refused


def test_new_process_gets_the_last_valid_version_from_a_peer() -> None:
    """A new watcher finds only the invalid version in the store."""
    store, network = FakeStore(), Network(2)
    old, fresh = network.replicas.values()
    store.put("a")
    store.list_into(old)
    store.put("a", valid=False)
    old.records.update_from_changes(Revision(2), store.history[1:])
    store.list_into(fresh)
    assert get_version(fresh.records, "a") is None
    network.converge()
    assert get_version(fresh.records, "a") == "1"


def test_process_started_in_a_store_outage_gets_records_from_a_peer() -> None:
    store, network = FakeStore(), Network(3)
    store.put("a")
    store.list_into(network.replicas[ProcessId("p0")])
    network.converge()
    network.replicas[ProcessId("p2")] = network.make()
    del network.replicas[ProcessId("p0")]
    network.converge()
    assert get_version(network.replicas[ProcessId("p2")].records, "a") == "1"


def test_peer_that_missed_a_removal_does_not_restore_the_record() -> None:
    store, network = FakeStore(), Network(2)
    watcher, peer = network.replicas.values()
    store.put("a")
    store.list_into(watcher)
    store.put("b")
    store.list_into(peer)  # only the peer reads b
    store.delete("b")
    store.revision += 5  # objects of other kinds change
    store.list_into(watcher)
    network.converge()
    assert set(watcher.records.records) == set(peer.records.records) == {"a"}


def test_new_watcher_does_not_make_running_peers_fetch_everything() -> None:
    """The store is ahead of the peers: objects of other kinds changed after a removal.

    A new watcher that used the store's revision would appear newer than the peers.
    """
    store, network = FakeStore(), Network(3)
    watcher, _, fresh = network.replicas.values()
    store.put("a")
    store.put("b")
    store.list_into(watcher)
    store.delete("b")
    watcher.records.update_from_changes(Revision(3), store.history[-1:])
    network.converge()
    store.revision += 5
    store.list_into(fresh)
    network.converge()
    assert {r.records.revision for r in network.replicas.values()} == {3}


@pytest.mark.parametrize("valid", [True, False])
def test_status_writes_are_not_exchanged(valid: bool) -> None:
    store, network = FakeStore(), Network(3)
    watcher, other, _ = network.replicas.values()
    store.put("a")
    store.list_into(watcher)
    store.put("a", valid=valid)
    watcher.records.update_from_changes(Revision(2), store.history[1:])
    network.converge()
    for _ in range(3):
        store.update_status("a")
    result = watcher.records.update_from_changes(Revision(5), store.history[2:])
    assert isinstance(result, Ignored)
    assert watcher.push() == []
    # A new watcher reads the revision of the status write; no peer fetches the record.
    fresh = network.replicas[ProcessId("p2")] = network.make()
    store.list_into(fresh)
    assert fresh.records.revision == 5
    heartbeat = fresh.make_heartbeat(1)
    if valid:
        assert other.receive(ProcessId("p2"), heartbeat, 1e6).sends == []
    network.converge()
    assert {get_version(r.records, "a") for r in network.replicas.values()} == {
        "2" if valid else "1"
    }


def test_push_sends_a_delta() -> None:
    replica = Network.make()
    replica.records.update_from_listing(
        Revision(2), [make_entry("a", 1), make_entry("b", 2)]
    )
    peer = ProcessId("peer")
    replica.receive(peer, Heartbeat(sequence=1, revision=Revision(2)), 0.0)
    replica.records.update_from_changes(Revision(3), [make_entry("b", 3)])
    (send,) = replica.push()
    assert [entry.name for entry in send.message.records.entries] == ["b"]  # type: ignore[attr-defined]
    assert replica.push() == []


def test_second_peer_gets_a_request_when_the_first_does_not_answer() -> None:
    replica = Network.make()
    heartbeat = Heartbeat(sequence=1, revision=Revision(4))
    first = replica.receive(ProcessId("a"), heartbeat, 0.0).sends
    assert isinstance(first[0].message, RecordsRequest)
    assert replica.receive(ProcessId("b"), heartbeat, 0.5).sends == []
    assert replica.receive(ProcessId("b"), heartbeat, 1.0).sends[0].peer == "b"


def make_entries(count: int, zones: int = 1) -> tuple[Host, ...]:
    return tuple(
        Host(
            process=ProcessId(f"entry-{index}"),
            role=ProcessRole.ENTRY,
            address="127.0.0.1",
            port=9000 + index,
            zone=ZoneName(f"zone-{index % zones}"),
            region=RegionName("r"),
        )
        for index in range(count)
    )


@pytest.mark.parametrize("count", [1, 2, 50])
def test_at_most_two_entries_per_zone_watch(count: int) -> None:
    names = [host.process for host in make_entries(count)]
    zone = ZoneName("zone-0")
    chosen = choose_watchers(zone, names)
    Random(1).shuffle(names)
    assert choose_watchers(zone, names) == chosen
    assert len(chosen) == min(2, count)


def test_progress_of_processes_that_have_ended_is_forgotten() -> None:
    """Guards against memory that grows with every restart of an entry."""
    topology = Topology(ProcessId("entry-0"), ZoneName("zone-0"))
    for second in range(100):
        name = ProcessId(f"ended-{second}")
        topology.record_progress(name, 0.0, float(second))
        topology.step(make_entries(3), float(second))
    assert len(topology._progress_s) < 10


def test_other_entries_watch_when_no_watcher_makes_progress() -> None:
    hosts = make_entries(6)
    zone = ZoneName("zone-0")
    order = choose_watchers(zone, [h.process for h in hosts], count=6)
    topologies = {name: Topology(name, zone) for name in order}

    def count_watching(now_s: float) -> set[ProcessId]:
        for topology in topologies.values():
            topology.step(hosts, now_s)
        return {name for name, topology in topologies.items() if topology.is_watching}

    assert count_watching(0.0) == set(order[:2])
    assert count_watching(3.5) == set(order[:2])
    assert count_watching(4.0) == set(order[:4])
    for topology in topologies.values():
        topology.record_progress(order[0], 0.0, 5.0)
        topology.record_progress(order[1], 0.0, 5.0)
    assert count_watching(5.0) == set(order[:2])


def test_unlisted_entry_watches_when_all_listed_ones_are_dead() -> None:
    """If only listed entries could watch, no entry would read a newer list."""
    hosts = make_entries(6)
    topology = Topology(ProcessId("entry-new"), ZoneName("zone-0"))
    watched = False
    for second in range(20):
        topology.step(hosts, float(second))
        watched = watched or topology.is_watching
    assert watched


def test_entries_connect_to_the_watchers_of_their_zone_and_few_others() -> None:
    hosts = make_entries(50, 5)
    zone = ZoneName("zone-0")
    near = hosts[::5]
    watchers = set(choose_watchers(zone, [host.process for host in near]))
    for host in near:
        topology = Topology(host.process, zone)
        topology.step(hosts, 0.0)
        assert watchers - {host.process} <= topology.links
        assert len(topology.links) <= 4


def test_heartbeat_repeats_an_unchanged_state_every_third_time() -> None:
    replica, peer = Network.make(), ProcessId("peer")
    replica.records.update_from_listing(Revision(1), [make_entry("a", 1)])
    replica.announce(peer)
    heartbeats = [replica.make_heartbeat(number, peer=peer) for number in (1, 2, 3, 4)]
    assert [heartbeat.revision for heartbeat in heartbeats] == [0, 0, 1, 0]
    replica.records.update_from_changes(Revision(2), [make_entry("a", 2)])
    assert replica.make_heartbeat(5, peer=peer).revision == 2
