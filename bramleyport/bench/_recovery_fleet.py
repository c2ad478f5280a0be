"""Simulate a fleet: pure modules on a virtual clock, with messages in a queue."""

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

TICK_INTERVAL_S: Final = 0.5
RECONNECT_S: Final = 1.0
SAME_REGION_DELAY_S: Final = 0.0015
OTHER_REGION_DELAY_S: Final = 0.02
# Header and mask of a websocket frame with 126 to 65535 bytes.
FRAMING_BYTES: Final = 8
# Each entry connects to the default number of agents.
SUBSET_SIZE: Final = DEFAULT_SUBSET


@dataclass(slots=True)
class Traffic:
    """Track the messages and bytes that a process sent and received."""

    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    load_bytes: int = 0


@dataclass(slots=True)
class Node:
    """Represent one process by its pure modules."""

    host: Host
    replica: Replica
    sessions: dict[ProcessId, Session] = field(default_factory=dict)
    membership: Membership | None = None
    topology: Topology | None = None
    traffic: Traffic = field(default_factory=Traffic)
    alive: bool = True
    last_store_answer_s: float | None = None
    opened_peers: set[ProcessId] = field(default_factory=set)

    @property
    def name(self) -> ProcessId:
        """Return the process id."""
        return self.host.process


class Fleet:
    """Simulate all processes, the store and the messages between them."""

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
            self.nodes[host.process] = self._make_node(host)
        self._connect_agents()
        for index, node in enumerate(self.nodes.values()):
            offset_s = TICK_INTERVAL_S * index / len(self.nodes)
            self.call_later(offset_s, partial(self._tick, node))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay of virtual time."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._sequence, action))

    def run_until(self, end_s: float, done: Callable[[], bool] | None = None) -> None:
        """Run all actions up to the end or until the condition holds."""
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
        """Stop a process without an announcement."""
        node.alive = False
        self.store.stop(node.name)

    def announce_leaving(self, node: Node) -> None:
        """Announce to all peers of a process that it is leaving."""
        for peer in list(node.sessions):
            self._send_message(node, peer, Leaving(process=node.name))

    def _make_node(self, host: Host) -> Node:
        node = Node(host, Replica(RecordStore(), HostStore()))
        node.replica.records.merge(self.store.build_records())
        node.replica.hosts.merge(self.store.build_hosts())
        if host.role is ProcessRole.ENTRY:
            node.membership = Membership()
            node.topology = Topology(host.process, host.zone)
            self._step_host_list(node)
        return node

    def _connect_agents(self) -> None:
        agents: dict[str, list[ProcessId]] = {}
        for node in self.nodes.values():
            if node.host.role is ProcessRole.AGENT:
                agents.setdefault(node.host.region, []).append(node.name)
        for node in self.list_live(ProcessRole.ENTRY):
            near = agents.get(node.host.region, [])
            for agent in choose(f"agents:{node.name}", near, SUBSET_SIZE):
                self._connect(node, agent)

    def _connect(self, node: Node, peer_name: ProcessId) -> None:
        node.opened_peers.add(peer_name)
        peer = self.nodes[peer_name]
        if not (peer.alive and node.alive):
            return
        for near, far in ((node, peer), (peer, node)):
            near.sessions[far.name] = Session(self._policy, self.now_s)
            self._step_membership(near, Connected(process=far.name))
            self._send_all(near, near.replica.announce(far.name))

    def _disconnect(self, node: Node, peer_name: ProcessId) -> None:
        for near, far in ((node, peer_name), (self.nodes[peer_name], node.name)):
            if near.sessions.pop(far, None) is not None:
                near.replica.remove_peer(far)
                self._step_membership(near, Disconnected(far))

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        for peer in list(node.sessions):
            self._tick_session(node, peer)
        if node.topology is not None:
            self._tick_entry(node, node.topology)
        elif self.load_interval_s:
            self._send_load_reports(node)
        self.call_later(TICK_INTERVAL_S, lambda: self._tick(node))

    def _tick_session(self, node: Node, peer: ProcessId) -> None:
        for action in node.sessions[peer].step(Tick(), self.now_s):
            if isinstance(action, SendHeartbeat):
                age_s = None
                if node.last_store_answer_s is not None:
                    age_s = self.now_s - node.last_store_answer_s
                heartbeat = node.replica.make_heartbeat(action.sequence, age_s, peer)
                self._send_message(node, peer, heartbeat)
            elif isinstance(action, CloseUnresponsive):
                self._disconnect(node, peer)

    def _tick_entry(self, node: Node, topology: Topology) -> None:
        assert node.membership is not None
        self._step_membership(node, MemberTick())
        topology.step(node.membership.hosts, self.now_s)
        for peer in topology.links - set(node.sessions):
            self._connect(node, peer)
        for peer in node.opened_peers - topology.links:
            other_topology = self.nodes[peer].topology
            if other_topology is not None and node.name not in other_topology.links:
                node.opened_peers.discard(peer)
                self._disconnect(node, peer)
        if topology.is_watching:
            self.store.watch(
                node.host, lambda batch: self._apply_store_answer(node, batch)
            )
        else:
            self.store.stop(node.name)
            node.last_store_answer_s = None

    def _send_load_reports(self, node: Node) -> None:
        if int(self.now_s / TICK_INTERVAL_S) % max(
            1, round(self.load_interval_s / TICK_INTERVAL_S)
        ):
            return
        size = self._load_bytes
        for peer in node.sessions:
            node.sessions[peer].step(Sent(), self.now_s)
            far = self.nodes[peer]
            self._count_traffic(node, far, size)
            node.traffic.load_bytes += size
            far.traffic.load_bytes += size
            if far.alive and node.name in far.sessions:
                far.sessions[node.name].step(Received(), self.now_s)

    def _apply_store_answer(
        self, node: Node, apply: Callable[[Replica], Changes]
    ) -> None:
        if not node.alive:
            return
        node.last_store_answer_s = self.now_s
        if node.topology is not None:
            node.topology.record_progress(node.name, 0.0, self.now_s)
        self._apply(node, apply(node.replica))

    def _send_all(self, node: Node, sends: list[Send]) -> None:
        for send in sends:
            self._send_message(node, send.peer, send.message)

    def _send_message(self, node: Node, peer: ProcessId, message: Message) -> None:
        session = node.sessions.get(peer)
        if session is None:
            return
        session.step(Sent(), self.now_s)
        far = self.nodes[peer]
        self._count_traffic(node, far, self._get_size(message))
        if self._rng.random() < self._loss:
            return
        same_region = node.host.region == far.host.region
        delay_s = SAME_REGION_DELAY_S if same_region else OTHER_REGION_DELAY_S
        self.call_later(delay_s, lambda: self._receive(far, node.name, message))

    def _count_traffic(self, node: Node, far: Node, size: int) -> None:
        node.traffic.messages += 1
        node.traffic.sent_bytes += size
        far.traffic.messages += 1
        far.traffic.received_bytes += size

    def _get_size(self, message: Message) -> int:
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
            self._handle_leaving(node, peer, message)
            return
        if isinstance(message, Heartbeat) and message.store_age_ms >= 0:
            age_s = message.store_age_ms / 1000
            if node.topology is not None:
                node.topology.record_progress(peer, age_s, self.now_s)
        self._apply(node, node.replica.receive(peer, message, self.now_s))

    def _apply(self, node: Node, changes: Changes) -> None:
        self._send_all(node, changes.sends)
        if changes.hosts:
            self._step_host_list(node)

    def _step_host_list(self, node: Node) -> None:
        if node.membership is not None:
            hosts = node.replica.hosts
            self._step_membership(
                node, HostList(revision=hosts.revision, hosts=hosts.hosts)
            )

    def _step_membership(self, node: Node, event: Event) -> list[Any]:
        if node.membership is None:
            return []
        return list(node.membership.step(event, self.now_s))

    def _handle_leaving(self, node: Node, peer: ProcessId, message: Leaving) -> None:
        is_own = message.process == peer
        source = LeavingSource.ITSELF if is_own else LeavingSource.PEER
        event = LeavingReported(process=message.process, source=source)
        changes = self._step_membership(node, event)
        if any(isinstance(change, StateChanged) for change in changes):
            for other in list(node.sessions):
                if self.nodes[other].topology is not None:
                    self._send_message(node, other, message)


def considers_leaving(node: Node, process: ProcessId) -> bool:
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
