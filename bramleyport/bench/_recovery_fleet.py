"""A fleet of the pure modules under a virtual clock, joined by a message queue."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final

from bramleyport.bench._recovery_store import VirtualStore
from bramleyport.core import EngineLoad, ProcessId, Rank
from bramleyport.membership import (
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
    StateChanged,
    Tick as MemberTick,
    choose,
)
from bramleyport.replication import (
    Changes,
    HostStore,
    RecordStore,
    Replica,
    Send,
    Topology,
)
from bramleyport.routing import DEFAULT_SUBSET
from bramleyport.wire import (
    PROTOCOL_MAX,
    CloseUnresponsive,
    Heartbeat,
    HeartbeatPolicy,
    Leaving,
    LoadReport,
    Message,
    Received,
    SendHeartbeat,
    Sent,
    Session,
    Tick,
    encode,
    pack_load,
)

TICK_S: Final = 0.5
RECONNECT_S: Final = 1.0
NEAR_DELAY_S: Final = 0.0015
FAR_DELAY_S: Final = 0.02
# Websocket framing and masking of a message of 126 to 65535 bytes.
FRAMING_BYTES: Final = 8
# As many as the routing policy's default subset.
SUBSET: Final = DEFAULT_SUBSET


@dataclass(slots=True)
class Traffic:
    """Count what a process sent and received."""

    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    load_bytes: int = 0


@dataclass(slots=True)
class Node:
    """Hold the pure modules of one process."""

    host: Host
    replica: Replica
    sessions: dict[ProcessId, Session] = field(default_factory=dict)
    membership: Membership | None = None
    topology: Topology | None = None
    traffic: Traffic = field(default_factory=Traffic)
    alive: bool = True
    store_answer_s: float | None = None
    opened: set[ProcessId] = field(default_factory=set)

    @property
    def name(self) -> ProcessId:
        """Return the process id."""
        return self.host.process


class Fleet:
    """Run all processes, the store and the queue between them."""

    def __init__(
        self, hosts: list[Host], store: VirtualStore, loss: float, seed: int
    ) -> None:
        self.now_s = 0.0
        self.store = store
        self.nodes: dict[ProcessId, Node] = {}
        self.load_interval_s = 1.0
        self._loss = loss
        self._rng = Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._policy = HeartbeatPolicy()
        self._sizes: dict[tuple[int, ...], int] = {}
        self._load_bytes = (
            len(encode(_make_load_report(), PROTOCOL_MAX)) + FRAMING_BYTES
        )
        store.bind(self.call_later, lambda: self.now_s)
        for host in hosts:
            self.nodes[host.process] = self._build(host)
        self._connect_agents()
        for index, node in enumerate(self.nodes.values()):
            offset_s = TICK_S * index / len(self.nodes)
            self.call_later(offset_s, partial(self._tick, node))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay of virtual time."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._sequence, action))

    def run_until(self, end_s: float, done: Callable[[], bool] | None = None) -> None:
        """Advance the clock to the end or until the condition holds."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
            if done is not None and done():
                return
        self.now_s = end_s

    def list_live(self, role: ProcessRole | None = None) -> list[Node]:
        """Return the running processes."""
        return [
            node
            for node in self.nodes.values()
            if node.alive and (role is None or node.host.role is role)
        ]

    def kill(self, node: Node) -> None:
        """Stop a process without notice."""
        node.alive = False
        self.store.stop(node.name)

    def leave(self, node: Node) -> None:
        """Let a process announce that it is leaving."""
        for peer in list(node.sessions):
            self._post(node, peer, Leaving(process=node.name))

    def _build(self, host: Host) -> Node:
        node = Node(host, Replica(RecordStore(), HostStore()))
        node.replica.records.merge(self.store.build_records())
        node.replica.hosts.merge(self.store.build_hosts())
        if host.role is ProcessRole.ENTRY:
            node.membership = Membership()
            node.topology = Topology(host.process, host.zone)
            self._report_hosts(node)
        return node

    def _connect_agents(self) -> None:
        agents: dict[str, list[ProcessId]] = {}
        for node in self.nodes.values():
            if node.host.role is ProcessRole.AGENT:
                agents.setdefault(node.host.region, []).append(node.name)
        for node in self.list_live(ProcessRole.ENTRY):
            near = agents.get(node.host.region, [])
            for agent in choose(f"agents:{node.name}", near, SUBSET):
                self._open(node, agent)

    def _open(self, node: Node, peer_name: ProcessId) -> None:
        node.opened.add(peer_name)
        peer = self.nodes[peer_name]
        if not (peer.alive and node.alive):
            return
        for near, far in ((node, peer), (peer, node)):
            near.sessions[far.name] = Session(self._policy, self.now_s)
            self._report(near, Connected(process=far.name))
            self._send(near, near.replica.announce(far.name))

    def _close(self, node: Node, peer_name: ProcessId) -> None:
        for near, far in ((node, peer_name), (self.nodes[peer_name], node.name)):
            if near.sessions.pop(far, None) is not None:
                near.replica.remove_peer(far)
                self._report(near, Disconnected(far))

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        for peer in list(node.sessions):
            self._tick_session(node, peer)
        if node.topology is not None:
            self._tick_entry(node, node.topology)
        elif self.load_interval_s:
            self._report_load(node)
        self.call_later(TICK_S, lambda: self._tick(node))

    def _tick_session(self, node: Node, peer: ProcessId) -> None:
        for action in node.sessions[peer].step(Tick(), self.now_s):
            if isinstance(action, SendHeartbeat):
                age_s = None
                if node.store_answer_s is not None:
                    age_s = self.now_s - node.store_answer_s
                beat = node.replica.make_heartbeat(action.sequence, age_s, peer)
                self._post(node, peer, beat)
            elif isinstance(action, CloseUnresponsive):
                self._close(node, peer)

    def _tick_entry(self, node: Node, topology: Topology) -> None:
        assert node.membership is not None
        self._report(node, MemberTick())
        topology.step(node.membership.hosts, self.now_s)
        for peer in topology.links - set(node.sessions):
            self._open(node, peer)
        for peer in node.opened - topology.links:
            linked = self.nodes[peer].topology
            if linked is not None and node.name not in linked.links:
                node.opened.discard(peer)
                self._close(node, peer)
        if topology.is_watching:
            self.store.watch(node.host, lambda batch: self._take_store(node, batch))
        else:
            self.store.stop(node.name)
            node.store_answer_s = None

    def _report_load(self, node: Node) -> None:
        if int(self.now_s / TICK_S) % max(1, round(self.load_interval_s / TICK_S)):
            return
        size = self._load_bytes
        for peer in node.sessions:
            node.sessions[peer].step(Sent(), self.now_s)
            far = self.nodes[peer]
            self._count(node, far, size)
            node.traffic.load_bytes += size
            far.traffic.load_bytes += size
            if far.alive and node.name in far.sessions:
                far.sessions[node.name].step(Received(), self.now_s)

    def _take_store(self, node: Node, apply: Callable[[Replica], Changes]) -> None:
        if not node.alive:
            return
        node.store_answer_s = self.now_s
        if node.topology is not None:
            node.topology.record_progress(node.name, 0.0, self.now_s)
        self._apply(node, apply(node.replica))

    def _send(self, node: Node, sends: list[Send]) -> None:
        for send in sends:
            self._post(node, send.peer, send.message)

    def _post(self, node: Node, peer: ProcessId, message: Message) -> None:
        session = node.sessions.get(peer)
        if session is None:
            return
        session.step(Sent(), self.now_s)
        far = self.nodes[peer]
        self._count(node, far, self._measure(message))
        if self._rng.random() < self._loss:
            return
        same = node.host.region == far.host.region
        delay_s = NEAR_DELAY_S if same else FAR_DELAY_S
        self.call_later(delay_s, lambda: self._receive(far, node.name, message))

    def _count(self, node: Node, far: Node, size: int) -> None:
        node.traffic.messages += 1
        node.traffic.sent_bytes += size
        far.traffic.messages += 1
        far.traffic.received_bytes += size

    def _measure(self, message: Message) -> int:
        if not isinstance(message, Heartbeat):
            return _count_bytes(message)
        key = (message.revision, message.hosts_revision, message.store_age_ms // 200)
        size = self._sizes.get(key)
        if size is None:
            size = self._sizes[key] = _count_bytes(message)
        return size

    def _receive(self, node: Node, peer: ProcessId, message: Message) -> None:
        session = node.sessions.get(peer)
        if not node.alive or session is None:
            return
        session.step(Received(), self.now_s)
        if isinstance(message, Leaving):
            self._take_leaving(node, peer, message)
            return
        if isinstance(message, Heartbeat) and message.store_age_ms >= 0:
            age_s = message.store_age_ms / 1000
            if node.topology is not None:
                node.topology.record_progress(peer, age_s, self.now_s)
        self._apply(node, node.replica.receive(peer, message, self.now_s))

    def _apply(self, node: Node, changes: Changes) -> None:
        self._send(node, changes.sends)
        if changes.hosts:
            self._report_hosts(node)

    def _report_hosts(self, node: Node) -> None:
        if node.membership is not None:
            hosts = node.replica.hosts
            self._report(node, HostList(revision=hosts.revision, hosts=hosts.hosts))

    def _report(self, node: Node, event: Event) -> list[Any]:
        if node.membership is None:
            return []
        return list(node.membership.step(event, self.now_s))

    def _take_leaving(self, node: Node, peer: ProcessId, message: Leaving) -> None:
        itself = message.process == peer
        source = LeavingSource.ITSELF if itself else LeavingSource.PEER
        event = LeavingReported(process=message.process, source=source)
        changes = self._report(node, event)
        if any(isinstance(change, StateChanged) for change in changes):
            for other in list(node.sessions):
                if self.nodes[other].topology is not None:
                    self._post(node, other, message)


def believes_leaving(node: Node, process: ProcessId) -> bool:
    """Return whether an entry sends no new work to a process."""
    assert node.membership is not None
    host = node.membership.find(process)
    return host is None or host.state is HostState.LEAVING


def _count_bytes(message: Message) -> int:
    return len(encode(message, PROTOCOL_MAX)) + FRAMING_BYTES


def _make_load_report() -> LoadReport:
    load = EngineLoad(
        taken_s=1234.5,
        running=20,
        queued=13,
        queued_prefill_tokens=12_345,
        running_decode_tokens=2_345,
        blocks_used=1_200,
        blocks_total=3_000,
        wait_s={Rank.URGENT: 0.12, Rank.STANDARD: 1.2, Rank.BATCH: 12.3},
        offered_prefill_ms=40_000_000,
        offered_decode_ms=80_000_000,
        offered_short_ms=9_000_000,
    )
    return pack_load(load, now_s=1234.8)
