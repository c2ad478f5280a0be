"""Control of the engines of a pool while this entry holds the pool's lease."""

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
# Bounds the concurrent writes of a new holder that seals the orders of many engines.
MAX_CONCURRENT_CALLS: Final = 8
RESTART_DELAY_MIN_S: Final = 1.0
RESTART_DELAY_MAX_S: Final = 60.0
# Equal to the lease's TTL, after which the lease has expired anyway.
RELEASE_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """Describe a pool to its planner."""

    pool: PoolName
    region: RegionName
    views: tuple[UpstreamView, ...]
    orders: tuple[OrderObject, ...]


class PoolPlan(Protocol):
    """Describe the changes that a planner requests."""

    @property
    def changes(self) -> Mapping[UpstreamId, EngineChange]:
        """Return the requested change of each engine that must change."""
        ...


class Planner(Protocol):
    """Decide which engines of a pool change."""

    def plan(self, pool: PoolState, now_s: float) -> PoolPlan:
        """Return the changes that the pool needs now."""
        ...


class PoolController:
    """Acquire one pool's lease and write the pool's orders while holding it."""

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
        self._candidacy_ended = asyncio.Event()
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._failed = asyncio.Event()
        self._tasks: set[asyncio.Future[None]] = set()
        self._begin_run()

    def set_candidate(self, candidate: bool) -> None:
        """Set whether this entry may hold the lease; if not, it releases the lease."""
        self._candidate = candidate
        if candidate:
            self._candidacy_ended.clear()
        else:
            self._candidacy_ended.set()

    async def run(self) -> None:
        """Control the pool until this entry is no longer a candidate."""
        delay_s = RESTART_DELAY_MIN_S
        try:
            while True:
                begun_s = time.monotonic()
                if await self._run_until_fault():
                    return
                if time.monotonic() - begun_s >= RESTART_DELAY_MAX_S:
                    delay_s = RESTART_DELAY_MIN_S
                await self._release_lease()
                await self._back_off(delay_s)
                if not self._candidate:
                    return
                delay_s = min(RESTART_DELAY_MAX_S, 2 * delay_s)
                self._begin_run()
        finally:
            for task in self._tasks:
                task.cancel()

    def report(self, upstream: UpstreamId) -> None:
        """Process an agent's report that its order has progressed."""
        try:
            self._step_tracker(OrderReported(upstream=upstream))
        except Exception as error:  # the reporting connection must stay open
            self._fail(error)

    def _begin_run(self) -> None:
        # The holder's name is unique to this run, because a restarted process or
        # controller must not treat the lease of its earlier run as its own.
        holder = f"{self._process}-{uuid.uuid4().hex[:12]}"
        self.lease_manager = LeaseManager(holder, _make_token)
        self.tracker = OrderTracker(self.pool, _make_token)
        self._writes = 0
        self._failed.clear()

    async def _run_until_fault(self) -> bool:
        """Run until the controller ends; return whether it ended without a fault."""
        tasks = [
            asyncio.ensure_future(work)
            for work in (self._run_lease(), self._run_tracker(), self._wait_for_fault())
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

    async def _release_lease(self) -> None:
        # A new tracker writes no orders and ignores the answers to earlier calls.
        self.tracker = OrderTracker(self.pool, _make_token)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                if self._tasks:
                    await asyncio.wait(self._tasks)
                await self._drive_lease(CandidacyChanged(candidate=False))
                while not self.lease_manager.idle:
                    await self._tick_lease()
                    await asyncio.sleep(TICK_S)
        except Exception as error:  # the lease manager may have the fault
            log_event(
                lease_events.LEASE_NOT_RELEASED, pool=self.pool, error=repr(error)
            )
        unfinished = list(self._tasks)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    async def _back_off(self, delay_s: float) -> None:
        try:
            async with asyncio.timeout(delay_s):
                await self._candidacy_ended.wait()
        except TimeoutError:
            pass

    async def _run_lease(self) -> None:
        while True:
            await self._drive_lease(CandidacyChanged(candidate=self._candidate))
            await self._tick_lease()
            if self.lease_manager.idle:
                return
            await asyncio.sleep(TICK_S)

    async def _tick_lease(self) -> None:
        await self._drive_lease(Tick())
        if self.lease_manager.settling and self.tracker.settled and not self._writes:
            await self._drive_lease(OrdersSettled())

    async def _drive_lease(self, event: LeaseEvent) -> None:
        pending = [event]
        while pending:
            for action in self.lease_manager.step(pending.pop(0), time.monotonic()):
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
            log_event(lease_events.LEASE_RELEASE_DEFERRED, pool=self.pool)
        elif isinstance(action, Revoked) and not self.lease_manager.releasing:
            log_event(authority_events.LEASE_LOST, pool=self.pool)
        self._step_tracker(action)
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

    async def _run_tracker(self) -> None:
        plan_s = 0.0
        while True:
            now_s = time.monotonic()
            self._step_tracker(Tick())
            if now_s >= plan_s and self.lease_manager.may_act(now_s):
                plan_s = now_s + PLAN_INTERVAL_S
                self._request_unread_orders()
                self._plan(now_s)
            await asyncio.sleep(TICK_S)

    def _request_unread_orders(self) -> None:
        for view in self._list_views():
            if ModelName(self.pool) in view.models and not self.tracker.has_object(
                view.upstream
            ):
                self._step_tracker(OrderReported(upstream=view.upstream))

    def _plan(self, now_s: float) -> None:
        if self.planner is None:
            return
        state = PoolState(
            pool=self.pool,
            region=self._region,
            views=tuple(self._list_views()),
            orders=tuple(self.tracker.list_objects()),
        )
        plan = self.planner.plan(state, now_s)
        self._step_tracker(Planned(changes=plan.changes))

    def _step_tracker(self, event: TrackerEvent) -> None:
        for action in self.tracker.step(event, time.monotonic()):
            if isinstance(action, NotifyAgent):
                self._notify(action.upstream, action.sequence)
                continue
            if isinstance(action, WriteOrder):
                self._writes += 1
            task = asyncio.ensure_future(self._execute_order_call(action))
            self._tasks.add(task)
            task.add_done_callback(self._end_call)

    def _end_call(self, task: "asyncio.Future[None]") -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._fail(error)

    async def _execute_order_call(self, action: TrackerAction) -> None:
        async with self._calls:
            if isinstance(action, ListOrders):
                listed = await self._store.list_orders(action)
                if listed is not None:  # a failed listing is repeated later
                    self._counter.mark_counted(listed.objects)
                    self._step_tracker(listed)
            elif isinstance(action, ReadOrderObject):
                reply = await self._store.read_order(action)
                if isinstance(reply, OrderObjectRead) and reply.object is not None:
                    self._counter.count(reply.object)
                self._step_tracker(reply)
            elif isinstance(action, WriteOrder):
                try:
                    reply = await self._store.write_order(action)
                finally:
                    self._writes -= 1
                self._step_tracker(reply)


def _make_token() -> str:
    return uuid.uuid4().hex
