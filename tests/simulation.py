"""Processes that drive the pure modules through one in-memory network and store.

Messages are delayed, reordered, dropped and duplicated; a call that got no answer in
time is in doubt, and its request may still arrive later.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err

from bramleyport.authority import (
    ApplyOrder,
    Drained,
    DrainEngine,
    EngineChange,
    EngineSeen,
    EngineState,
    LeaseConflict,
    LeaseFailed,
    LeaseInDoubt,
    LeaseKeeper,
    LeaseSeen,
    LeaseWritten,
    ListOrders,
    Noticed,
    NotifyAgent,
    OrderApplied,
    OrderBook,
    OrderBroken,
    OrderGuard,
    OrderNotSent,
    OrderNotWritten,
    OrderObject,
    OrderRead,
    OrderRefused,
    OrderSeen,
    OrdersListed,
    OrderWritten,
    Planned,
    Progress,
    ProgressNotWritten,
    ProgressWritten,
    ReadEngine,
    ReadFailed,
    ReadLease,
    ReadOrder,
    ReadOrderObject,
    Tick,
    WriteLease,
    WriteOrder,
    WriteProgress,
    read_order,
    write_order,
    write_progress,
)
from bramleyport.core import EngineRole, PoolName, UpstreamId

CALL_TIMEOUT_S = 3.0
STEP_S = 0.1
STALL_S = 30.0
POOL = PoolName("pool")


class InvariantError(AssertionError):
    """Name the invariant that a checker found broken."""


@dataclass
class Faults:
    hold: float = 0.2
    drop: float = 0.0
    duplicate: float = 0.0
    stall: float = 0.0


@dataclass
class Item:
    target: "Process | None"
    deliver: Callable[[], None]
    # Steps within one process may wait while it is paused but are never lost.
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
        """Call the store or the engine; None in reply means in doubt."""
        world = self.world
        call = Call(self, request, reply, world.now_s + CALL_TIMEOUT_S)
        world.calls.append(call)

        def answer(result: Any) -> None:
            if not call.answered:
                call.answered = True
                reply(result)

        def execute() -> None:
            result = request()
            world.net.append(Item(self, lambda: answer(result)))

        stalled = world.rng.random() < world.faults.stall
        due_s = world.now_s + (world.rng.uniform(0, STALL_S) if stalled else 0.0)
        world.net.append(Item(None, execute, due_s=due_s))


@dataclass
class World:
    seed: int
    faults: Faults = field(default_factory=Faults)
    make_guard: Callable[[UpstreamId, str, PoolName], OrderGuard] = OrderGuard
    make_book: Callable[..., OrderBook] = OrderBook

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.now_s = 0.0
        self.outage = False
        self.objects: dict[tuple[str, str], tuple[int, Any]] = {}
        self.net: list[Item] = []
        self.calls: list[Call] = []
        self.processes: list[Process] = []
        self.engines: dict[UpstreamId, Engine] = {}
        # The lease's number in the store when each order was written.
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
        items, self.net = self.net, []
        self.rng.shuffle(items)
        for item in items:
            waits = item.target is not None and item.target.paused
            waits = waits or self.now_s < item.due_s
            if waits or self.rng.random() < self.faults.hold:
                self.net.append(item)
            elif item.local or self.rng.random() >= self.faults.drop:
                if not item.local and self.rng.random() < self.faults.duplicate:
                    self.net.append(item)
                if item.target is None or item.target.alive:
                    item.deliver()

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
            self.lease_at_write[name, after.order.sequence] = lease.fencing
        if before is not None:
            check_i1_one_order_at_a_time(before, after)


def load_order(name: str, version: int, value: Any) -> OrderObject:
    result = read_order(UpstreamId(name), version, value[0], value[1])
    assert not isinstance(result, Err)
    return result.ok_value


def dump_order(found: OrderObject) -> Any:
    return write_order(found.order), write_progress(found.progress)


def check_i1_one_order_at_a_time(before: OrderObject, after: OrderObject) -> None:
    """I1: no new order is written while one is in progress."""
    replaced = after.order.sequence != before.order.sequence
    if replaced and before.state is Progress.BEGUN:
        raise InvariantError(f"I1: {before} was replaced while in progress")
    if after.order.sequence < before.order.sequence:
        raise InvariantError("I1: the sequence fell")


class Engine:
    """Apply orders; remember which took effect."""

    def __init__(self, world: World, name: UpstreamId, *, checks: bool) -> None:
        self.world = world
        self.name = name
        self.checks = checks
        self.number = 0
        self.role = EngineRole.MIXED
        self.applied: list[int] = []

    def apply(self, action: ApplyOrder) -> str:
        if self.checks and action.engine_fencing < self.number:
            return "refused"
        self.number = action.engine_fencing
        order = action.order
        self.check_i1_no_conflicting_order(order.sequence)
        self.check_i3_no_lost_authority(order.sequence, order.fencing)
        self.applied.append(order.sequence)
        if order.change.role is not None:
            self.role = order.change.role
        return "applied"

    def check_i1_no_conflicting_order(self, sequence: int) -> None:
        """I1: an engine takes only orders that began, and none older than its own."""
        if self.checks and self.applied and sequence < max(self.applied):
            raise InvariantError(f"I1: order {sequence} after {max(self.applied)}")
        version, value = self.world.objects["orders", self.name]
        found = load_order(self.name, version, value)
        began = found.progress.sequence >= sequence
        if not began:
            raise InvariantError(f"I1: order {sequence} took effect but never began")

    def check_i3_no_lost_authority(self, sequence: int, fencing: int) -> None:
        """I3: an order has an effect only if its writer held the lease then."""
        held = self.world.lease_at_write[self.name, sequence]
        if held != fencing:
            raise InvariantError(f"I3: order of {fencing} written under {held}")


class Holder(Process):
    """Run a lease keeper and an order book with a planner that keeps changing."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.keeper = LeaseKeeper(world.make_token(), world.make_token)
        self.book = world.make_book(POOL, world.make_token)
        self.want = EngineRole.PREFILL

    def tick(self) -> None:
        now_s = self.world.now_s
        self.drive_lease(Tick())
        self.drive_book(Tick())
        if self.keeper.may_act(now_s) and self.world.rng.random() < 0.05:
            self.want = self.world.rng.choice(list(EngineRole))
            changes = {n: EngineChange(role=self.want) for n in self.world.engines}
            self.drive_book(Planned(changes=changes))

    def drive_lease(self, event: Any) -> None:
        world = self.world
        for action in self.keeper.step(event, world.now_s):
            if isinstance(action, ReadLease):
                self.call(
                    lambda: world.read("leases", "pool"),
                    lambda r, op=action.op: self.drive_lease(_lease_seen(op, r)),
                )
            elif isinstance(action, WriteLease):
                self.call(
                    lambda a=action: world.write(
                        "leases", "pool", a.expected or 0, a.lease
                    ),
                    lambda r, op=action.op: self.drive_lease(_lease_written(op, r)),
                )
            else:
                self.drive_book(action)

    def drive_book(self, event: Any) -> None:
        world = self.world
        for action in self.book.step(event, world.now_s):
            if isinstance(action, ListOrders):
                self.call(self._list, lambda r, op=action.op: self._listed(op, r))
            elif isinstance(action, ReadOrderObject):
                self.call(
                    lambda a=action: world.read("orders", a.upstream),
                    lambda r, a=action: self.drive_book(_order_seen(a, r)),
                )
            elif isinstance(action, WriteOrder):
                found = action.object
                self.call(
                    lambda f=found: world.write(
                        "orders", f.upstream, f.version, dump_order(f)
                    ),
                    lambda r, a=action: self.drive_book(_order_written(a, r)),
                )
            elif isinstance(action, NotifyAgent):
                self._notify(action)

    def _list(self) -> Any:
        if self.world.outage:
            return "outage"
        return tuple(
            load_order(name, version, value)
            for (kind, name), (version, value) in self.world.objects.items()
            if kind == "orders"
        )

    def _listed(self, op: int, result: Any) -> None:
        if isinstance(result, tuple):
            self.drive_book(OrdersListed(op=op, objects=result))

    def _notify(self, action: NotifyAgent) -> None:
        for process in self.world.processes:
            if isinstance(process, Agent) and process.engine.name == action.upstream:
                notice = Noticed(sequence=action.sequence)
                self.world.net.append(
                    Item(process, lambda p=process, n=notice: p.drive(n))
                )


class Agent(Process):
    """Run an order guard beside an engine."""

    def __init__(self, world: World, name: str, engine: Engine) -> None:
        super().__init__(world, name)
        self.engine = engine
        self.guard = world.make_guard(engine.name, world.make_token(), POOL)

    def tick(self) -> None:
        self.drive(Tick())

    def drive(self, event: Any) -> None:
        world = self.world
        for action in self.guard.step(event, world.now_s):
            if isinstance(action, ReadOrder):
                self._read_order(action)
            elif isinstance(action, WriteProgress):
                found = action.object
                self.call(
                    lambda f=found: world.write(
                        "orders", f.upstream, f.version, dump_order(f)
                    ),
                    lambda r, op=action.op: self.drive(_progress(op, r)),
                )
            elif isinstance(action, DrainEngine):
                self.world.net.append(
                    Item(
                        self,
                        lambda op=action.op: self.drive(Drained(op=op)),
                        local=True,
                    )
                )
            elif isinstance(action, ApplyOrder):
                # The process may be paused before it sends.
                self.world.net.append(
                    Item(self, lambda a=action: self._apply(a), local=True)
                )
            elif isinstance(action, ReadEngine):
                self.call(
                    lambda: EngineState(role=self.engine.role),
                    lambda r, op=action.op: self.drive(
                        EngineSeen(op=op, state=r) if r else ReadFailed(op=op)
                    ),
                )

    def _read_order(self, action: ReadOrder) -> None:
        def take_lease(found: OrderObject | None, result: Any) -> None:
            if not isinstance(result, tuple):
                self.drive(ReadFailed(op=action.op))
                return
            self.drive(OrderRead(op=action.op, object=found, lease=result[1]))

        def take_order(result: Any) -> None:
            if not isinstance(result, tuple):
                self.drive(ReadFailed(op=action.op))
                return
            version, value = result
            name = self.engine.name
            found = load_order(name, version, value) if value else None
            self.call(
                lambda: self.world.read("leases", "pool"),
                lambda r: take_lease(found, r),
            )

        self.call(lambda: self.world.read("orders", self.engine.name), take_order)

    def _apply(self, action: ApplyOrder) -> None:
        if self.world.now_s > action.send_before_s:
            self.drive(OrderNotSent(op=action.op))
            return
        replies = {
            "applied": OrderApplied(op=action.op),
            "refused": OrderRefused(op=action.op),
            None: OrderBroken(op=action.op),
        }
        self.call(lambda: self.engine.apply(action), lambda r: self.drive(replies[r]))


def _lease_seen(op: int, result: Any) -> Any:
    if not isinstance(result, tuple):
        return LeaseFailed(op=op)
    return LeaseSeen(op=op, lease=result[1], version=result[0])


def _lease_written(op: int, result: Any) -> Any:
    if isinstance(result, int):
        return LeaseWritten(op=op, version=result)
    kinds = {"conflict": LeaseConflict, "outage": LeaseFailed}
    return kinds.get(result, LeaseInDoubt)(op=op)


def _order_seen(action: ReadOrderObject, result: Any) -> Any:
    if not isinstance(result, tuple):
        return OrderNotWritten(op=action.op, upstream=action.upstream)
    version, value = result
    found = load_order(action.upstream, version, value) if value else None
    return OrderSeen(op=action.op, upstream=action.upstream, object=found)


def _order_written(action: WriteOrder, result: Any) -> Any:
    upstream = action.object.upstream
    if isinstance(result, int):
        return OrderWritten(op=action.op, upstream=upstream, version=result)
    return OrderNotWritten(op=action.op, upstream=upstream)


def _progress(op: int, result: Any) -> Any:
    if isinstance(result, int):
        return ProgressWritten(op=op, version=result)
    return ProgressNotWritten(op=op)
