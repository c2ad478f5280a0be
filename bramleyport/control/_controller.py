"""Control the engines of a pool while this entry holds the pool's lease."""

import asyncio
import time
import uuid
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from bramleyport.authority import (
    NO_HOLDER,
    CandidacyChanged,
    EngineChange,
    Granted,
    LeaseAction,
    LeaseEvent,
    LeaseManager,
    LeaseWritten,
    ListOrders,
    NotifyAgent,
    OrderObject,
    OrderObjectRead,
    OrderReported,
    OrdersSettled,
    OrderTracker,
    Planned,
    ReadLease,
    ReadOrderObject,
    Revoked,
    SettleOrders,
    Tick,
    TrackerAction,
    TrackerEvent,
    WriteLease,
    WriteOrder,
)
from bramleyport.control._pool_store import PoolStore
from bramleyport.core import ModelName, PoolName, RegionName, UpstreamId, UpstreamView
from bramleyport.telemetry import authority_events, lease_events, log_event

if TYPE_CHECKING:
    from bramleyport.control._order_counter import OrderCounter
    from bramleyport.objectapi import ObjectClient

TICK_S: Final = 0.25
PLAN_INTERVAL_S: Final = 1.0
# Bounds the writes of a holder that takes over a pool of many engines.
MAX_CALLS: Final = 8
RESTART_MIN_S: Final = 1.0
RESTART_MAX_S: Final = 60.0
# As long as a lease lasts: after that there is nothing left to release.
RELEASE_LIMIT_S: Final = 10.0


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
        client: "ObjectClient",
        planner: Planner | None,
        list_views: Callable[[], Iterable[UpstreamView]],
        notify: Callable[[UpstreamId, int], None],
        counter: "OrderCounter",
    ) -> None:
        self.pool = pool
        self.planner = planner
        self._region = region
        self._process = process
        self._store = PoolStore(client, pool, region)
        self._list_views = list_views
        self._notify = notify
        self._counter = counter
        self._candidate = True
        self._dismissed = asyncio.Event()
        self._calls = asyncio.Semaphore(MAX_CALLS)
        self._failed = asyncio.Event()
        self._tasks: set[asyncio.Future[None]] = set()
        self._begin_run()

    def set_candidate(self, candidate: bool) -> None:
        """Allow this entry to hold the lease, or have it release the lease."""
        self._candidate = candidate
        if candidate:
            self._dismissed.clear()
        else:
            self._dismissed.set()

    async def run(self) -> None:
        """Hold the lease and write orders until this entry is no longer a candidate."""
        delay_s = RESTART_MIN_S
        try:
            while True:
                begun_s = time.monotonic()
                if await self._run_until_fault():
                    return
                if time.monotonic() - begun_s >= RESTART_MAX_S:
                    delay_s = RESTART_MIN_S
                await self._give_up()
                await self._back_off(delay_s)
                if not self._candidate:
                    return
                delay_s = min(RESTART_MAX_S, 2 * delay_s)
                self._begin_run()
        finally:
            for task in self._tasks:
                task.cancel()

    def report(self, upstream: UpstreamId) -> None:
        """Take an agent's word that its order has progressed."""
        try:
            self._step_book(OrderReported(upstream=upstream))
        except Exception as error:  # the reporting connection must stay open
            self._fail(error)

    def _begin_run(self) -> None:
        # The holder's name is unique to this run: a restarted process or controller
        # must not take the lease of its earlier run for its own.
        holder = f"{self._process}-{uuid.uuid4().hex[:12]}"
        self.keeper = LeaseManager(holder, _make_token)
        self.book = OrderTracker(self.pool, _make_token)
        self._writes = 0
        self._failed.clear()

    async def _run_until_fault(self) -> bool:
        """Return whether the controller ended without a fault."""
        tasks = [
            asyncio.ensure_future(work)
            for work in (self._run_lease(), self._run_book(), self._wait_for_fault())
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self._fail(result)
        return not self._failed.is_set()

    async def _wait_for_fault(self) -> None:
        await self._failed.wait()

    def _fail(self, error: BaseException) -> None:
        log_event(lease_events.CONTROLLER_FAILED, pool=self.pool, error=repr(error))
        self._failed.set()

    async def _give_up(self) -> None:
        # An empty book writes no orders and ignores the answers to earlier calls.
        self.book = OrderTracker(self.pool, _make_token)
        try:
            async with asyncio.timeout(RELEASE_LIMIT_S):
                if self._tasks:
                    await asyncio.wait(self._tasks)
                await self._drive_lease(CandidacyChanged(candidate=False))
                while not self.keeper.idle:
                    await self._tick_lease()
                    await asyncio.sleep(TICK_S)
        except Exception as error:  # the keeper itself may be at fault
            log_event(
                lease_events.LEASE_NOT_RELEASED, pool=self.pool, error=repr(error)
            )
        left = list(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def _back_off(self, delay_s: float) -> None:
        try:
            async with asyncio.timeout(delay_s):
                await self._dismissed.wait()
        except TimeoutError:
            pass

    async def _run_lease(self) -> None:
        while True:
            await self._drive_lease(CandidacyChanged(candidate=self._candidate))
            await self._tick_lease()
            if self.keeper.idle:
                return
            await asyncio.sleep(TICK_S)

    async def _tick_lease(self) -> None:
        await self._drive_lease(Tick())
        if self.keeper.settling and self.book.settled and not self._writes:
            await self._drive_lease(OrdersSettled())

    async def _drive_lease(self, event: LeaseEvent) -> None:
        pending = [event]
        while pending:
            for action in self.keeper.step(pending.pop(0), time.monotonic()):
                reply = await self._execute_lease(action)
                if reply is not None:
                    pending.append(reply)

    async def _execute_lease(self, action: LeaseAction) -> LeaseEvent | None:
        if isinstance(action, ReadLease):
            return await self._store.read_lease(action)
        if isinstance(action, WriteLease):
            return await self._write_lease(action)
        if isinstance(action, Granted):
            log_event(
                authority_events.LEASE_GRANTED, pool=self.pool, fencing=action.fencing
            )
        elif isinstance(action, SettleOrders):
            log_event(lease_events.LEASE_SETTLING, pool=self.pool)
        elif isinstance(action, Revoked) and not self.keeper.releasing:
            log_event(authority_events.LEASE_LOST, pool=self.pool)
        self._step_book(action)
        return None

    async def _write_lease(self, action: WriteLease) -> LeaseEvent:
        reply = await self._store.write_lease(action)
        if action.lease.holder == NO_HOLDER and isinstance(reply, LeaseWritten):
            log_event(
                lease_events.LEASE_RELEASED,
                pool=self.pool,
                fencing=action.lease.fencing,
            )
        return reply

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
            if ModelName(self.pool) in view.models and not self.book.has_object(
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
        plan = self.planner.plan(state, now_s)
        self._step_book(Planned(changes=plan.changes))

    def _step_book(self, event: TrackerEvent) -> None:
        for action in self.book.step(event, time.monotonic()):
            if isinstance(action, NotifyAgent):
                self._notify(action.upstream, action.sequence)
                continue
            if isinstance(action, WriteOrder):
                self._writes += 1
            task = asyncio.ensure_future(self._execute_book(action))
            self._tasks.add(task)
            task.add_done_callback(self._end_call)

    def _end_call(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._fail(error)

    async def _execute_book(self, action: TrackerAction) -> None:
        async with self._calls:
            if isinstance(action, ListOrders):
                listed = await self._store.list_orders(action)
                if listed is not None:  # a failed list is repeated later
                    self._counter.note(listed.objects)
                    self._step_book(listed)
            elif isinstance(action, ReadOrderObject):
                reply = await self._store.read_order(action)
                if isinstance(reply, OrderObjectRead) and reply.object is not None:
                    self._counter.count(reply.object)
                self._step_book(reply)
            elif isinstance(action, WriteOrder):
                try:
                    reply = await self._store.write_order(action)
                finally:
                    self._writes -= 1
                self._step_book(reply)


def _make_token() -> str:
    return uuid.uuid4().hex
