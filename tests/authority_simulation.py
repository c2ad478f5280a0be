"""Lease holders, agents and engines on the in-memory network and store."""

from typing import Any

from bramleyport.authority import (
    NO_HOLDER,
    ApplyOrder,
    CandidacyChanged,
    Drained,
    DrainEngine,
    EngineChange,
    EngineRead,
    EngineState,
    LeaseConflict,
    LeaseFailed,
    LeaseInDoubt,
    LeaseRead,
    LeaseWritten,
    ListOrders,
    NotifyAgent,
    OrderApplied,
    OrderInDoubt,
    OrderNotified,
    OrderNotSent,
    OrderNotWritten,
    OrderObject,
    OrderObjectRead,
    OrderRead,
    OrderRefused,
    OrdersListed,
    OrdersSettled,
    OrderWritten,
    Planned,
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
)
from bramleyport.core import EngineRole, UpstreamId
from tests.simulation import (
    POOL,
    Delivery,
    InvariantError,
    Process,
    World,
    dump_order,
    load_order,
)


class Engine:
    """Simulate an engine that applies orders and records which took effect."""

    def __init__(self, world: World, name: UpstreamId, *, checks: bool) -> None:
        self.world = world
        self.name = name
        self.checks = checks
        self.number = 0
        self.role = EngineRole.MIXED
        self.applied: list[int] = []
        self.calls: list[ApplyOrder] = []

    def apply(self, action: ApplyOrder) -> str:
        if self.checks and action.engine_fencing < self.number:
            return "refused"
        self.number = action.engine_fencing
        order = action.order
        self.check_i1_no_conflicting_order(order.sequence)
        self.check_i3_no_lost_authority(order.sequence, order.fencing)
        self.applied.append(order.sequence)
        self.calls.append(action)
        if order.change.role is not None:
            self.role = order.change.role
        return "applied"

    def check_i1_no_conflicting_order(self, sequence: int) -> None:
        """I1: an engine applies only begun orders, and none older than its last."""
        if self.checks and self.applied and sequence < max(self.applied):
            raise InvariantError(f"I1: order {sequence} after {max(self.applied)}")
        version, value = self.world.objects["orders", self.name]
        found = load_order(self.name, version, value)
        began = found.progress.sequence >= sequence
        if not began:
            raise InvariantError(f"I1: order {sequence} took effect but never began")

    def check_i3_no_lost_authority(self, sequence: int, fencing: int) -> None:
        """I3: an order takes effect only if its writer held the lease when writing."""
        held = self.world.lease_at_write[self.name, sequence]
        if held != fencing:
            raise InvariantError(f"I3: order of {fencing} written under {held}")


class Holder(Process):
    """Simulate a candidate whose planner requests random role changes."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.lease_manager = world.make_lease_manager(
            world.make_token(), world.make_token
        )
        self.tracker = world.make_tracker(POOL, world.make_token)
        self.requested_role = EngineRole.PREFILL
        self.order_writes = 0

    def set_candidate(self, on: bool) -> None:
        self.drive_lease(CandidacyChanged(candidate=on))

    def tick(self) -> None:
        now_s = self.world.now_s
        self.drive_lease(Tick())
        self.drive_tracker(Tick())
        if (
            self.lease_manager.settling
            and self.tracker.settled
            and not self.order_writes
        ):
            self.drive_lease(OrdersSettled())
        if self.lease_manager.may_act(now_s) and self.world.rng.random() < 0.05:
            self.requested_role = self.world.rng.choice(list(EngineRole))
            changes = {
                n: EngineChange(role=self.requested_role) for n in self.world.engines
            }
            self.drive_tracker(Planned(changes=changes))

    def drive_lease(self, event: Any) -> None:
        world = self.world
        for action in self.lease_manager.step(event, world.now_s):
            if isinstance(action, ReadLease):
                self.call(
                    lambda: world.read("leases", "pool"),
                    lambda r, op=action.op: self.drive_lease(_lease_seen(op, r)),
                )
            elif isinstance(action, WriteLease):
                self.check_i3_no_release_while_writing(action)
                self.call(
                    lambda a=action: world.write(
                        "leases", "pool", a.expected or 0, a.lease
                    ),
                    lambda r, op=action.op: self.drive_lease(_lease_written(op, r)),
                )
            else:
                self.drive_tracker(action)

    def check_i3_no_release_while_writing(self, action: WriteLease) -> None:
        """I3: a lease is released only when no order write is in flight."""
        if action.lease.holder == NO_HOLDER and self.order_writes:
            raise InvariantError("I3: released with an order write in flight")

    def drive_tracker(self, event: Any) -> None:
        world = self.world
        for action in self.tracker.step(event, world.now_s):
            if isinstance(action, ListOrders):
                self.call(self._list, lambda r, op=action.op: self._listed(op, r))
            elif isinstance(action, ReadOrderObject):
                self.call(
                    lambda a=action: world.read("orders", a.upstream),
                    lambda r, a=action: self.drive_tracker(_order_seen(a, r)),
                )
            elif isinstance(action, WriteOrder):
                self._write_order(action)
            elif isinstance(action, NotifyAgent):
                self._notify(action)

    def _write_order(self, action: WriteOrder) -> None:
        found = action.object
        self.order_writes += 1

        def take(result: Any) -> None:
            self.order_writes -= 1
            self.drive_tracker(_order_written(action, result))

        self.call(
            lambda: self.world.write(
                "orders", found.upstream, found.version, dump_order(found)
            ),
            take,
        )

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
            self.drive_tracker(OrdersListed(op=op, objects=result))

    def _notify(self, action: NotifyAgent) -> None:
        for process in self.world.processes:
            if isinstance(process, Agent) and process.engine.name == action.upstream:
                notice = OrderNotified(sequence=action.sequence)
                self.world.network.append(
                    Delivery(process, lambda p=process, n=notice: p.drive(n))
                )


class Agent(Process):
    """Simulate the agent of an engine."""

    def __init__(self, world: World, name: str, engine: Engine) -> None:
        super().__init__(world, name)
        self.engine = engine
        self.executor = world.make_executor(engine.name, world.make_token(), POOL)

    def tick(self) -> None:
        self.drive(Tick())

    def drive(self, event: Any) -> None:
        world = self.world
        for action in self.executor.step(event, world.now_s):
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
                self.world.network.append(
                    Delivery(
                        self,
                        lambda op=action.op: self.drive(Drained(op=op)),
                        local=True,
                    )
                )
            elif isinstance(action, ApplyOrder):
                # The process may be paused before it sends.
                self.world.network.append(
                    Delivery(self, lambda a=action: self._apply(a), local=True)
                )
            elif isinstance(action, ReadEngine):
                self.call(
                    lambda: EngineState(role=self.engine.role),
                    lambda r, op=action.op: self.drive(
                        EngineRead(op=op, state=r) if r else ReadFailed(op=op)
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
            None: OrderInDoubt(op=action.op),
        }
        self.call(lambda: self.engine.apply(action), lambda r: self.drive(replies[r]))


def _lease_seen(op: int, result: Any) -> Any:
    if not isinstance(result, tuple):
        return LeaseFailed(op=op)
    return LeaseRead(op=op, lease=result[1], version=result[0])


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
    return OrderObjectRead(op=action.op, upstream=action.upstream, object=found)


def _order_written(action: WriteOrder, result: Any) -> Any:
    upstream = action.object.upstream
    if isinstance(result, int):
        return OrderWritten(op=action.op, upstream=upstream, version=result)
    return OrderNotWritten(op=action.op, upstream=upstream)


def _progress(op: int, result: Any) -> Any:
    if isinstance(result, int):
        return ProgressWritten(op=op, version=result)
    return ProgressNotWritten(op=op)
