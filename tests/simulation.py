"""Simulated processes that run the pure modules over an in-memory network and store.

Messages are delayed, reordered, dropped and duplicated. A call without a reply in time
is in doubt, and its request may still be executed later.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err

from bramleyport.authority import (
    NO_HOLDER,
    LeaseManager,
    OrderExecutor,
    OrderObject,
    OrderTracker,
    Progress,
    read_order,
    write_order,
    write_progress,
)
from bramleyport.core import PoolName, UpstreamId

CALL_TIMEOUT_S = 3.0
STEP_S = 0.1
STALL_S = 30.0
POOL = PoolName("pool")


class InvariantError(AssertionError):
    """Raised by a checker; the message starts with the violated invariant."""


@dataclass
class Faults:
    hold: float = 0.2
    drop: float = 0.0
    duplicate: float = 0.0
    stall: float = 0.0


@dataclass
class Delivery:
    target: "Process | None"
    deliver: Callable[[], None]
    # A local step of a process waits while the process is paused but is never lost.
    local: bool = False
    due_s: float = 0.0


@dataclass
class Call:
    process: "Process"
    request: Callable[[], Any]
    reply: Callable[[Any], None]
    deadline_s: float
    answered: bool = False


class Process:
    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.paused = False

    def tick(self) -> None: ...

    def call(self, request: Callable[[], Any], reply: Callable[[Any], None]) -> None:
        """Call the store or the engine; a reply of None means that it is in doubt."""
        world = self.world
        call = Call(self, request, reply, world.now_s + CALL_TIMEOUT_S)
        world.calls.append(call)

        def answer(result: Any) -> None:
            if not call.answered:
                call.answered = True
                reply(result)

        def execute() -> None:
            result = request()
            world.network.append(Delivery(self, lambda: answer(result)))

        stalled = world.rng.random() < world.faults.stall
        due_s = world.now_s + (world.rng.uniform(0, STALL_S) if stalled else 0.0)
        world.network.append(Delivery(None, execute, due_s=due_s))


@dataclass
class World:
    seed: int
    faults: Faults = field(default_factory=Faults)
    make_executor: Callable[[UpstreamId, str, PoolName], OrderExecutor] = OrderExecutor
    make_tracker: Callable[..., OrderTracker] = OrderTracker
    make_lease_manager: Callable[..., LeaseManager] = LeaseManager

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.now_s = 0.0
        self.outage = False
        self.objects: dict[tuple[str, str], tuple[int, Any]] = {}
        self.network: list[Delivery] = []
        self.calls: list[Call] = []
        self.processes: list[Process] = []
        self.engines: dict[UpstreamId, Any] = {}
        # The fencing number of the lease in the store when each order was written;
        # 0 if the lease was released.
        self.lease_at_write: dict[tuple[str, int], int] = {}
        self.count = 0

    def make_token(self) -> str:
        self.count += 1
        return f"token-{self.count}"

    def add(self, process: Process) -> Process:
        self.processes.append(process)
        return process

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now_s += STEP_S
            for process in list(self.processes):
                if process.alive and not process.paused:
                    process.tick()
            self._expire_calls()
            self._deliver()

    def _expire_calls(self) -> None:
        expired = [c for c in self.calls if self.now_s >= c.deadline_s]
        self.calls = [
            c for c in self.calls if not c.answered and self.now_s < c.deadline_s
        ]
        for call in expired:
            if call.process.paused:
                self.calls.append(call)
            elif not call.answered and call.process.alive:
                call.answered = True
                call.reply(None)

    def _deliver(self) -> None:
        deliveries, self.network = self.network, []
        self.rng.shuffle(deliveries)
        for delivery in deliveries:
            must_wait = delivery.target is not None and delivery.target.paused
            must_wait = must_wait or self.now_s < delivery.due_s
            if must_wait or self.rng.random() < self.faults.hold:
                self.network.append(delivery)
            elif delivery.local or self.rng.random() >= self.faults.drop:
                if not delivery.local and self.rng.random() < self.faults.duplicate:
                    self.network.append(delivery)
                if delivery.target is None or delivery.target.alive:
                    delivery.deliver()

    def read(self, kind: str, name: str) -> Any:
        return "outage" if self.outage else self.objects.get((kind, name), (0, None))

    def write(self, kind: str, name: str, expected: int, value: Any) -> Any:
        if self.outage:
            return "outage"
        version, old = self.objects.get((kind, name), (0, None))
        if version != expected:
            return "conflict"
        if kind == "orders":
            self._check_order_write(name, old, value)
        self.objects[kind, name] = (version + 1, value)
        return version + 1

    def _check_order_write(self, name: str, old: Any, value: Any) -> None:
        after = load_order(name, 1, value)
        before = load_order(name, 1, old) if old else None
        last = before.order.sequence if before else 0
        if after.order.sequence != last:
            lease = self.objects.get(("leases", "pool"), (0, None))[1]
            lease_fencing = 0 if lease.holder == NO_HOLDER else lease.fencing
            self.lease_at_write[name, after.order.sequence] = lease_fencing
        if before is not None:
            check_i1_one_order_at_a_time(before, after)


def load_order(name: str, version: int, value: Any) -> OrderObject:
    result = read_order(UpstreamId(name), version, value[0], value[1])
    assert not isinstance(result, Err)
    return result.ok_value


def dump_order(order_object: OrderObject) -> Any:
    return write_order(order_object.order), write_progress(order_object.progress)


def check_i1_one_order_at_a_time(before: OrderObject, after: OrderObject) -> None:
    """I1: no new order is written while another is in progress."""
    replaced = after.order.sequence != before.order.sequence
    if replaced and before.state is Progress.BEGUN:
        raise InvariantError(f"I1: {before} was replaced while in progress")
    if after.order.sequence < before.order.sequence:
        raise InvariantError("I1: the sequence fell")
