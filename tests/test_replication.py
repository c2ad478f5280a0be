"""Guard that records converge, never go back and never yield to invalid ones."""

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


def read_version(store: RecordStore, name: str) -> str | None:
    record = store.records.get(ServiceName(name))
    return record.model.versions[0] if record and record.model else None


class FakeStore:
    """Hold objects and their history as the object API does."""

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

    def touch(self, name: str) -> None:
        """Write the status alone."""
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
        replica.records.offer_listing(Revision(self.revision), self.objects.values())
        return replica.push()


class Network:
    """Deliver messages between replicas at once."""

    def __init__(self, count: int) -> None:
        self.replicas = {ProcessId(f"p{i}"): self.make() for i in range(count)}
        self.parted: set[ProcessId] = set()
        self.now_s = 0.0

    @staticmethod
    def make() -> Replica:
        return Replica(RecordStore(), HostStore())

    def deliver(self, sender: ProcessId, sends: list[Send]) -> None:
        pending = [(sender, send) for send in sends]
        while pending:
            source, send = pending.pop(0)
            if (source in self.parted) != (send.peer in self.parted):
                continue
            self.now_s += 2.0
            replica = self.replicas[send.peer]
            revision = replica.records.revision
            before = dict(replica.records.held.items)
            changes = replica.receive(source, send.message, self.now_s)
            assert replica.records.revision >= revision
            for name, item in replica.records.held.items.items():
                assert name not in before or item.revision >= before[name].revision
            pending += [(send.peer, item) for item in changes.sends]

    def beat(self) -> None:
        for sender, replica in self.replicas.items():
            for peer in self.replicas:
                if peer != sender:
                    self.deliver(sender, [Send(peer, replica.make_heartbeat(1))])

    def settle(self) -> None:
        for _ in range(4):
            self.beat()


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
        replica.records.offer_change(Revision(store.revision), events)
    cursors[replica] = store.revision


@settings(max_examples=300)
@given(STEPS)
def test_replicas_converge_and_never_go_back(steps: list[tuple[str, int]]) -> None:
    """Two watchers and two others under updates, restarts and a partition.

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
            store.touch(name)
        elif kind == "delete":
            store.delete(name)
        elif kind in ("list", "watch") and number == 1:
            if kind == "list":
                cursors.pop(network.replicas[names[1]], None)
            watch_into(store, network.replicas[names[1]], cursors)
        elif kind == "beat":
            network.beat()
        elif kind == "restart" and number:
            network.replicas[peer] = network.make()
            for replica in network.replicas.values():
                replica.forget(peer)
        elif kind == "part":
            network.parted = set() if network.parted else set(names[2:])
        watch_into(store, network.replicas[names[0]], cursors)
        network.deliver(names[0], network.replicas[names[0]].push())
    network.parted = set()
    network.settle()
    expected = {name: entry.document for name, entry in store.valid.items()}
    for replica in network.replicas.values():
        held = replica.records.held.items
        assert {name: item.document for name, item in held.items()} == expected


def test_older_snapshot_is_ignored() -> None:
    store = RecordStore()
    new = Snapshot(revision=Revision(9), documents=(make_document("a", 9),))
    old = Snapshot(revision=Revision(8), documents=(make_document("a", 8),))
    assert isinstance(store.offer(new), Applied)
    assert store.offer(old) == Ignored(Revision(9))
    assert read_version(store, "a") == "9"


def test_invalid_record_keeps_the_last_valid_one_and_names_reasons() -> None:
    store = RecordStore()
    store.offer_listing(Revision(1), [make_entry("a", 1)])
    result = store.offer_change(Revision(2), [make_entry("a", 2, valid=False)])
    assert isinstance(result, Applied) and result.refused["a"]
    assert read_version(store, "a") == "1"


def test_fresh_process_learns_the_last_valid_version_from_a_peer() -> None:
    """A fresh watcher finds only the invalid version in the store."""
    store, network = FakeStore(), Network(2)
    old, fresh = network.replicas.values()
    store.put("a")
    store.list_into(old)
    store.put("a", valid=False)
    old.records.offer_change(Revision(2), store.history[1:])
    store.list_into(fresh)
    assert read_version(fresh.records, "a") is None
    network.settle()
    assert read_version(fresh.records, "a") == "1"


def test_process_starting_in_an_outage_takes_records_from_a_peer() -> None:
    store, network = FakeStore(), Network(3)
    store.put("a")
    store.list_into(network.replicas[ProcessId("p0")])
    network.settle()
    network.replicas[ProcessId("p2")] = network.make()
    del network.replicas[ProcessId("p0")]
    network.settle()
    assert read_version(network.replicas[ProcessId("p2")].records, "a") == "1"


def test_peer_that_missed_a_removal_does_not_bring_the_record_back() -> None:
    store, network = FakeStore(), Network(2)
    watcher, peer = network.replicas.values()
    store.put("a")
    store.list_into(watcher)
    store.put("b")
    store.list_into(peer)  # the peer alone sees b
    store.delete("b")
    store.revision += 5  # other kinds of objects change
    store.list_into(watcher)
    network.settle()
    assert set(watcher.records.records) == set(peer.records.records) == {"a"}


def test_fresh_watcher_does_not_make_running_peers_fetch_everything() -> None:
    """The last change is a removal and other kinds have moved the store on."""
    store, network = FakeStore(), Network(3)
    watcher, _, fresh = network.replicas.values()
    store.put("a")
    store.put("b")
    store.list_into(watcher)
    store.delete("b")
    watcher.records.offer_change(Revision(3), store.history[-1:])
    network.settle()
    store.revision += 5
    store.list_into(fresh)
    network.settle()
    assert {r.records.revision for r in network.replicas.values()} == {3}


@pytest.mark.parametrize("valid", [True, False])
def test_status_writes_are_not_exchanged(valid: bool) -> None:
    store, network = FakeStore(), Network(3)
    watcher, other, _ = network.replicas.values()
    store.put("a")
    store.list_into(watcher)
    store.put("a", valid=valid)
    watcher.records.offer_change(Revision(2), store.history[1:])
    network.settle()
    for _ in range(3):
        store.touch("a")
    result = watcher.records.offer_change(Revision(5), store.history[2:])
    assert isinstance(result, Ignored)
    assert watcher.push() == []
    # A fresh watcher reads the touched revision and makes nobody fetch the record.
    fresh = network.replicas[ProcessId("p2")] = network.make()
    store.list_into(fresh)
    assert fresh.records.revision == 5
    beat = fresh.make_heartbeat(1)
    if valid:
        assert other.receive(ProcessId("p2"), beat, 1e6).sends == []
    network.settle()
    assert {read_version(r.records, "a") for r in network.replicas.values()} == {
        "2" if valid else "1"
    }


def test_push_sends_a_delta() -> None:
    replica = Network.make()
    replica.records.offer_listing(Revision(2), [make_entry("a", 1), make_entry("b", 2)])
    peer = ProcessId("peer")
    replica.receive(peer, Heartbeat(sequence=1, revision=Revision(2)), 0.0)
    replica.records.offer_change(Revision(3), [make_entry("b", 3)])
    (send,) = replica.push()
    assert [entry.name for entry in send.message.records.entries] == ["b"]  # type: ignore[attr-defined]
    assert replica.push() == []


def test_second_peer_is_asked_when_the_first_does_not_answer() -> None:
    replica = Network.make()
    beat = Heartbeat(sequence=1, revision=Revision(4))
    first = replica.receive(ProcessId("a"), beat, 0.0).sends
    assert isinstance(first[0].message, RecordsRequest)
    assert replica.receive(ProcessId("b"), beat, 0.5).sends == []
    assert replica.receive(ProcessId("b"), beat, 1.0).sends[0].peer == "b"


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


def test_another_entry_steps_in_when_no_watcher_makes_progress() -> None:
    hosts = make_entries(6)
    zone = ZoneName("zone-0")
    order = choose_watchers(zone, [h.process for h in hosts], count=6)
    topologies = {name: Topology(name, zone) for name in order}

    def count_watching(now_s: float) -> set[ProcessId]:
        for topology in topologies.values():
            topology.step(hosts, now_s)
        return {name for name, topology in topologies.items() if topology.watching}

    assert count_watching(0.0) == set(order[:2])
    assert count_watching(3.5) == set(order[:2])
    assert count_watching(4.0) == set(order[:4])
    for topology in topologies.values():
        topology.record_progress(order[0], 0.0, 5.0)
        topology.record_progress(order[1], 0.0, 5.0)
    assert count_watching(5.0) == set(order[:2])


def test_entry_missing_from_a_list_of_dead_ones_watches_in_the_end() -> None:
    """Nobody would read a new list if only listed entries could watch."""
    hosts = make_entries(6)
    topology = Topology(ProcessId("entry-new"), ZoneName("zone-0"))
    watched = False
    for second in range(20):
        topology.step(hosts, float(second))
        watched = watched or topology.watching
    assert watched


def test_entries_connect_to_their_zones_watchers_and_few_others() -> None:
    hosts = make_entries(50, 5)
    zone = ZoneName("zone-0")
    near = hosts[::5]
    watchers = set(choose_watchers(zone, [host.process for host in near]))
    for host in near:
        topology = Topology(host.process, zone)
        topology.step(hosts, 0.0)
        assert watchers - {host.process} <= topology.links
        assert len(topology.links) <= 4


def test_heartbeat_repeats_the_state_only_now_and_then() -> None:
    replica, peer = Network.make(), ProcessId("peer")
    replica.records.offer_listing(Revision(1), [make_entry("a", 1)])
    replica.greet(peer)
    beats = [replica.make_heartbeat(number, peer=peer) for number in (1, 2, 3, 4)]
    assert [beat.revision for beat in beats] == [0, 0, 1, 0]
    replica.records.offer_change(Revision(2), [make_entry("a", 2)])
    assert replica.make_heartbeat(5, peer=peer).revision == 2
