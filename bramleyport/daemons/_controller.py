"""Control the engines of a pool while this entry holds the pool's lease."""

import asyncio
import time
import uuid
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from result import Err, Ok

from bramleyport.authority import (
    BookAction,
    BookEvent,
    EngineChange,
    Extended,
    Granted,
    LeaseAction,
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseInDoubt,
    LeaseKeeper,
    LeaseSeen,
    LeaseWritten,
    ListOrders,
    NotifyAgent,
    OrderBook,
    OrderNotWritten,
    OrderObject,
    OrderReported,
    OrderSeen,
    OrdersListed,
    OrderWritten,
    Planned,
    ReadLease,
    ReadOrderObject,
    Revoked,
    Tick,
    WriteLease,
    WriteOrder,
    name_lease,
    read_lease,
    read_order,
    write_lease,
    write_order,
    write_progress,
)
from bramleyport.core import ModelName, PoolName, RegionName, UpstreamId, UpstreamView
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreFailure,
)
from bramleyport.telemetry import authority_events, events, log_event
from bramleyport.wire import OrderNotice, OrderReport

if TYPE_CHECKING:
    from bramleyport.daemons._peers import AgentLinks
    from bramleyport.settings import EntrySettings

TICK_S: Final = 0.25
PLAN_INTERVAL_S: Final = 1.0
# Bounds the writes of a holder that takes over a pool of many engines.
MAX_CALLS: Final = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """Show a planner the pool that it plans for."""

    pool: PoolName
    region: RegionName
    views: tuple[UpstreamView, ...]
    orders: tuple[OrderObject, ...]


class PoolPlan(Protocol):
    """Hold the changes that a planner wants."""

    @property
    def changes(self) -> Mapping[UpstreamId, EngineChange]:
        """Return the wanted change of each engine that is to change."""
        ...


class Planner(Protocol):
    """Decide which engines change."""

    def plan(self, pool: PoolState, now_s: float) -> PoolPlan:
        """Return the changes that the pool needs now."""
        ...


class PoolController:
    """Hold one pool's lease when possible and write its orders."""

    def __init__(
        self,
        pool: PoolName,
        region: RegionName,
        process: str,
        client: ObjectClient,
        planner: Planner | None,
        list_views: Callable[[], Iterable[UpstreamView]],
        notify: Callable[[UpstreamId, int], None],
    ) -> None:
        # The holder's name is unique to this run: a restarted process must not take
        # the lease of its earlier run for its own.
        holder = f"{process}-{uuid.uuid4().hex[:12]}"
        self.pool = pool
        self.keeper = LeaseKeeper(holder, _make_token)
        self.book = OrderBook(pool, _make_token)
        self.planner = planner
        self._region = region
        self._client = client
        self._list_views = list_views
        self._notify = notify
        self._calls = asyncio.Semaphore(MAX_CALLS)
        self._tasks: set[asyncio.Future[None]] = set()

    async def run(self) -> None:
        """Hold the lease and write orders until cancelled."""
        try:
            await asyncio.gather(self._run_lease(), self._run_book())
        except Exception as error:  # the lease lapses and passes to another entry
            log_event(events.HANDLER_FAILED, step="controller", error=repr(error))
        finally:
            for task in self._tasks:
                task.cancel()

    def report(self, upstream: UpstreamId) -> None:
        """Take an agent's word that its order has progressed."""
        self._step_book(OrderReported(upstream=upstream))

    async def _run_lease(self) -> None:
        while True:
            await self._drive_lease(Tick())
            await asyncio.sleep(TICK_S)

    async def _drive_lease(self, event: LeaseEvent) -> None:
        pending = [event]
        while pending:
            for action in self.keeper.step(pending.pop(0), time.monotonic()):
                reply = await self._execute_lease(action)
                if reply is not None:
                    pending.append(reply)

    async def _execute_lease(self, action: LeaseAction) -> LeaseEvent | None:
        if isinstance(action, ReadLease):
            return await self._read_lease(action)
        if isinstance(action, WriteLease):
            return await self._write_lease(action)
        if isinstance(action, Granted):
            log_event(
                authority_events.LEASE_GRANTED, pool=self.pool, fencing=action.fencing
            )
        elif isinstance(action, Revoked):
            log_event(authority_events.LEASE_LOST, pool=self.pool)
        self._step_book(action)
        return None

    async def _read_lease(self, action: ReadLease) -> LeaseEvent:
        name = ObjectName(name_lease(self.pool, self._region))
        result = await self._client.get(Kind.LEASES, name)
        if isinstance(result, Err):
            if result.err_value.failure is StoreFailure.NOT_FOUND:
                return LeaseSeen(op=action.op, lease=None, version=0)
            return LeaseFailed(op=action.op)
        lease = read_lease(result.ok_value.spec)
        if isinstance(lease, Err):
            log_event(
                authority_events.ORDER_OBJECT_INVALID,
                pool=self.pool,
                reason=lease.err_value,
            )
            return LeaseFailed(op=action.op)
        version = result.ok_value.version
        return LeaseSeen(op=action.op, lease=lease.ok_value, version=version)

    async def _write_lease(self, action: WriteLease) -> LeaseEvent:
        name = ObjectName(name_lease(self.pool, self._region))
        spec = write_lease(action.lease)
        if action.expected is None:
            result = await self._client.create(Kind.LEASES, name, spec, {})
        else:
            version = ObjectVersion(action.expected)
            result = await self._client.update(Kind.LEASES, name, version, spec, {})
        if isinstance(result, Ok):
            return LeaseWritten(op=action.op, version=result.ok_value.version)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return LeaseConflict(op=action.op)
        if failure is StoreFailure.UNKNOWN:
            return LeaseInDoubt(op=action.op)
        return LeaseFailed(op=action.op)

    async def _run_book(self) -> None:
        plan_s = 0.0
        while True:
            now_s = time.monotonic()
            self._step_book(Tick())
            if now_s >= plan_s and self.keeper.may_act(now_s):
                plan_s = now_s + PLAN_INTERVAL_S
                self._look_up()
                self._plan(now_s)
            await asyncio.sleep(TICK_S)

    def _look_up(self) -> None:
        for view in self._list_views():
            if ModelName(self.pool) in view.models and not self.book.knows(
                view.upstream
            ):
                self._step_book(OrderReported(upstream=view.upstream))

    def _plan(self, now_s: float) -> None:
        if self.planner is None:
            return
        state = PoolState(
            pool=self.pool,
            region=self._region,
            views=tuple(self._list_views()),
            orders=tuple(self.book.list_objects()),
        )
        try:
            plan = self.planner.plan(state, now_s)
        except Exception as error:  # a planner's fault must not end the controller
            log_event(events.HANDLER_FAILED, step="plan", error=repr(error))
            return
        self._step_book(Planned(changes=plan.changes))

    def _step_book(self, event: BookEvent | Extended) -> None:
        for action in self.book.step(event, time.monotonic()):
            if isinstance(action, NotifyAgent):
                self._notify(action.upstream, action.sequence)
                continue
            task = asyncio.ensure_future(self._execute_book(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _execute_book(self, action: BookAction) -> None:
        async with self._calls:
            if isinstance(action, ListOrders):
                await self._list_orders(action)
            elif isinstance(action, ReadOrderObject):
                self._step_book(await self._read_order(action))
            elif isinstance(action, WriteOrder):
                self._step_book(await self._write_order(action))

    async def _list_orders(self, action: ListOrders) -> None:
        result = await self._client.list_all(Kind.ORDERS)
        if isinstance(result, Err):
            return  # listed again later
        found = [self._parse(item) for item in result.ok_value.items]
        mine = tuple(o for o in found if o is not None and o.order.pool == self.pool)
        self._step_book(OrdersListed(op=action.op, objects=mine))

    def _parse(self, item: StoredObject) -> OrderObject | None:
        upstream = UpstreamId(item.name)
        result = read_order(upstream, item.version, item.spec, item.status)
        if isinstance(result, Ok):
            return result.ok_value
        log_event(
            authority_events.ORDER_OBJECT_INVALID,
            upstream=upstream,
            reason=result.err_value,
        )
        return None

    async def _read_order(self, action: ReadOrderObject) -> BookEvent:
        upstream = action.upstream
        result = await self._client.get(Kind.ORDERS, ObjectName(upstream))
        if isinstance(result, Ok):
            found = self._parse(result.ok_value)
            return OrderSeen(op=action.op, upstream=upstream, object=found)
        if result.err_value.failure is StoreFailure.NOT_FOUND:
            return OrderSeen(op=action.op, upstream=upstream, object=None)
        return OrderNotWritten(op=action.op, upstream=upstream)

    async def _write_order(self, action: WriteOrder) -> BookEvent:
        wanted = action.object
        upstream = wanted.upstream
        if time.monotonic() >= action.until_s:
            return OrderNotWritten(op=action.op, upstream=upstream)
        result = await self._client.update(
            Kind.ORDERS,
            ObjectName(upstream),
            ObjectVersion(wanted.version),
            write_order(wanted.order),
            write_progress(wanted.progress),
        )
        if isinstance(result, Err):
            return OrderNotWritten(op=action.op, upstream=upstream)
        log_event(
            authority_events.ORDER_WRITTEN,
            upstream=upstream,
            sequence=wanted.order.sequence,
            fencing=wanted.order.sealed,
        )
        version = result.ok_value.version
        return OrderWritten(op=action.op, upstream=upstream, version=version)


class Controllers:
    """Run the controller of each pool for which this entry is a candidate."""

    def __init__(
        self,
        settings: "EntrySettings",
        client: ObjectClient,
        links: "AgentLinks",
        planner: Planner | None,
    ) -> None:
        self._links = links
        self.pools = {
            PoolName(name): PoolController(
                PoolName(name),
                RegionName(settings.process.region),
                settings.process.process,
                client,
                planner,
                links.list_views,
                self._notify,
            )
            for name in settings.pools
        }

    def start(self) -> list["asyncio.Task[None]"]:
        """Start every controller and return its task."""
        return [asyncio.ensure_future(pool.run()) for pool in self.pools.values()]

    def list_leases(self) -> dict[PoolName, bool]:
        """Return whether this entry holds the lease of each of its pools."""
        now_s = time.monotonic()
        return {name: pool.keeper.may_act(now_s) for name, pool in self.pools.items()}

    def report(self, report: OrderReport) -> None:
        """Hand an agent's report to the controllers."""
        for pool in self.pools.values():
            pool.report(report.upstream)

    def _notify(self, upstream: UpstreamId, sequence: int) -> None:
        # A replaced agent learns from the notice that it is superseded.
        notice = OrderNotice(upstream=upstream, sequence=sequence)
        for link in self._links.find_all(upstream):
            if link.connection is not None:
                link.connection.post(notice)


def _make_token() -> str:
    return uuid.uuid4().hex
