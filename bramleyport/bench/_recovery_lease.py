"""Measure how long a pool has no lease holder and how long an outage delays orders.

The lease managers and order trackers of all candidates run on a virtual clock and call
a simulated store, which answers after a fixed delay. In an outage every call fails.
"""

import heapq
import statistics
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any, Final

from bramleyport.authority import (
    LEASE_TTL_S,
    RENEW_INTERVAL_S,
    AgentProgress,
    CandidacyChanged,
    EngineChange,
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseManager,
    LeaseRead,
    LeaseWritten,
    ListOrders,
    NotifyAgent,
    Order,
    OrderNotWritten,
    OrderObject,
    OrderObjectRead,
    OrdersListed,
    OrdersSettled,
    OrderTracker,
    OrderWritten,
    Planned,
    ReadLease,
    ReadOrderObject,
    Tick,
    TrackerAction,
    TrackerEvent,
    WriteLease,
    WriteOrder,
    choose_candidates,
)
from bramleyport.core import EngineRole, PoolName, ProcessId, RegionName, UpstreamId
from bramleyport.membership import Host, ProcessRole

POOLS_PER_REGION: Final = 10
ENGINES_PER_POOL: Final = 4
TICK_INTERVAL_S: Final = 0.25
ANSWER_DELAY_S: Final = 0.005
SETTLE_S: Final = 10.0
WAIT_LIMIT_S: Final = 30.0
OUTAGE_S: Final = 60.0
TRIALS: Final = 2
PROBE_INTERVAL_S: Final = 0.01

Row = tuple[str, float, str, float | None]


@dataclass(slots=True)
class Pool:
    """Represent one pool in one region: its objects in the store and its candidates."""

    name: PoolName
    region: RegionName
    entries: list[ProcessId]
    lease: tuple[int, Any] = (0, None)
    orders: dict[UpstreamId, OrderObject] = field(default_factory=dict)
    # Changes to order, when each was requested, and how long the written ones waited.
    requested: dict[UpstreamId, EngineChange] = field(default_factory=dict)
    requested_s: dict[UpstreamId, float] = field(default_factory=dict)
    waited_s: list[float] = field(default_factory=list)
    candidates: dict[ProcessId, "Candidate"] = field(default_factory=dict)


class Clock:
    """Represent the virtual clock and the store, whose calls fail in an outage."""

    def __init__(self, seed: int) -> None:
        self.now_s = 0.0
        self.outage = False
        self.rng = Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay of virtual time."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._sequence, action))

    def run_until(self, end_s: float) -> None:
        """Run all actions up to the end and advance the clock to it."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def call_store(
        self, request: Callable[[], Any], reply: Callable[[Any], None]
    ) -> None:
        """Call the store; `reply` gets its answer, or None in an outage."""

        def answer() -> None:
            reply(None if self.outage else request())

        self.call_later(ANSWER_DELAY_S, answer)


class Candidate:
    """Represent a process that may hold the lease of a pool."""

    def __init__(self, clock: Clock, pool: Pool, process: ProcessId) -> None:
        self.alive = True
        self._clock = clock
        self._pool = pool
        self._tokens = 0
        self._process = process
        self._writes = 0
        self.lease_manager = LeaseManager(process, self._make_token)
        self.tracker = OrderTracker(pool.name, self._make_token)
        clock.call_later(clock.rng.uniform(0, RENEW_INTERVAL_S), self._tick)

    @property
    def holds_lease(self) -> bool:
        """Return whether this candidate holds the lease."""
        return self.alive and self.lease_manager.may_act(self._clock.now_s)

    def stop(self) -> None:
        """Give up the candidacy gracefully."""
        self._step_lease(CandidacyChanged(candidate=False))

    def _make_token(self) -> str:
        self._tokens += 1
        return f"{self._process}-{self._tokens}"

    def _tick(self) -> None:
        if not self.alive:
            return
        self._step_lease(Tick())
        self._step_tracker(Tick())
        if self.lease_manager.settling and self.tracker.settled and not self._writes:
            self._step_lease(OrdersSettled())
        if self.holds_lease and self._pool.requested:
            self._step_tracker(Planned(changes=self._pool.requested))
        self._clock.call_later(TICK_INTERVAL_S, self._tick)

    def _step_lease(self, event: LeaseEvent) -> None:
        if not self.alive:
            return
        for action in self.lease_manager.step(event, self._clock.now_s):
            if isinstance(action, ReadLease):
                self._read_lease(action)
            elif isinstance(action, WriteLease):
                self._send_lease_write(action)
            else:
                self._step_tracker(action)

    def _read_lease(self, action: ReadLease) -> None:
        def handle_answer(stored: Any) -> None:
            self._step_lease(_make_lease_event(action.op, stored))

        self._clock.call_store(lambda: self._pool.lease, handle_answer)

    def _send_lease_write(self, action: WriteLease) -> None:
        def handle_answer(reply: Any) -> None:
            self._step_lease(reply or LeaseFailed(op=action.op))

        self._clock.call_store(lambda: self._write_lease(action), handle_answer)

    def _write_lease(self, action: WriteLease) -> LeaseEvent:
        version = self._pool.lease[0]
        if version != (action.expected or 0):
            return LeaseConflict(op=action.op)
        self._pool.lease = (version + 1, action.lease)
        return LeaseWritten(op=action.op, version=version + 1)

    def _step_tracker(self, event: TrackerEvent) -> None:
        for action in self.tracker.step(event, self._clock.now_s):
            if not isinstance(action, NotifyAgent):
                self._run_action(action)

    def _run_action(self, action: TrackerAction) -> None:
        pool = self._pool
        if isinstance(action, WriteOrder):
            self._writes += 1
            self._clock.call_store(
                lambda: self._write_order(action),
                lambda reply: self._handle_write(action, reply),
            )
        elif isinstance(action, ListOrders):
            self._list_orders(action.op)
        elif isinstance(action, ReadOrderObject):
            name = action.upstream
            failed = OrderNotWritten(op=action.op, upstream=name)
            self._clock.call_store(
                lambda: OrderObjectRead(
                    op=action.op, upstream=name, object=pool.orders[name]
                ),
                lambda reply: self._handle_event(reply or failed),
            )

    def _list_orders(self, op: int) -> None:
        def handle_answer(stored: Any) -> None:
            if stored is not None:
                self._handle_event(OrdersListed(op=op, objects=stored))

        self._clock.call_store(lambda: tuple(self._pool.orders.values()), handle_answer)

    def _handle_event(self, event: TrackerEvent) -> None:
        if self.alive:
            self._step_tracker(event)

    def _handle_write(self, action: WriteOrder, reply: TrackerEvent | None) -> None:
        self._writes -= 1
        upstream = action.object.upstream
        self._handle_event(reply or OrderNotWritten(op=action.op, upstream=upstream))

    def _write_order(self, action: WriteOrder) -> TrackerEvent:
        pool, new_object = self._pool, action.object
        name = new_object.upstream
        if pool.orders[name].version != new_object.version:
            return OrderNotWritten(op=action.op, upstream=name)
        pool.orders[name] = replace(new_object, version=new_object.version + 1)
        requested_at_s = pool.requested_s.get(name)
        if (
            requested_at_s is not None
            and new_object.order.change == pool.requested[name]
        ):
            pool.waited_s.append(self._clock.now_s - requested_at_s)
            del pool.requested_s[name]
        return OrderWritten(op=action.op, upstream=name, version=new_object.version + 1)


def measure_leases(hosts: Iterable[Host], seed: int) -> Iterator[Row]:
    """Return the rows on lease holders and delayed orders for a fleet's entries."""
    entries = [host for host in hosts if host.role is ProcessRole.ENTRY]
    kills: list[float] = []
    stops: list[float] = []
    for trial in range(TRIALS):
        kills += _measure_gaps(entries, seed + trial, graceful=False)
        stops += _measure_gaps(entries, seed + trial, graceful=True)
    target = LEASE_TTL_S + RENEW_INTERVAL_S
    yield "no lease holder after a kill, mean", statistics.fmean(kills), "s", None
    yield "no lease holder after a kill, most", max(kills), "s", target
    yield "no lease holder after a stop, mean", statistics.fmean(stops), "s", None
    yield "no lease holder after a stop, most", max(stops), "s", RENEW_INTERVAL_S
    waited = _measure_outage(entries, seed)
    yield "orders frozen by an outage of 60 s", len(waited), "", None
    yield "order frozen, mean", statistics.fmean(waited), "s", None
    yield "order frozen, most", max(waited), "s", None


def _measure_gaps(entries: list[Host], seed: int, *, graceful: bool) -> list[float]:
    """Return for each pool how long it has no holder after its holder ended."""
    clock = Clock(seed)
    pools = _make_pools(clock, entries)
    clock.run_until(SETTLE_S)
    ended_s: dict[int, float] = {}
    gaps: list[float] = []
    for index, pool in enumerate(pools):
        clock.run_until(
            clock.now_s + clock.rng.uniform(0, RENEW_INTERVAL_S / POOLS_PER_REGION)
        )
        process = next(name for name, c in pool.candidates.items() if c.holds_lease)
        holder = pool.candidates.pop(process)
        if graceful:
            holder.stop()
            # The other entries are notified and choose another candidate.
            pool.entries.remove(process)
            _add_candidates(clock, pool)
        else:
            # The host list still has the dead entry.
            holder.alive = False
        ended_s[index] = clock.now_s
        gaps += _collect_gaps(clock, pools, ended_s)
    limit_s = clock.now_s + WAIT_LIMIT_S
    while ended_s and clock.now_s < limit_s:
        clock.run_until(clock.now_s + PROBE_INTERVAL_S)
        gaps += _collect_gaps(clock, pools, ended_s)
    return gaps + [WAIT_LIMIT_S] * len(ended_s)


def _collect_gaps(
    clock: Clock, pools: list[Pool], ended_s: dict[int, float]
) -> list[float]:
    indexes = [
        index
        for index in ended_s
        if any(c.holds_lease for c in pools[index].candidates.values())
    ]
    return [clock.now_s - ended_s.pop(index) for index in indexes]


def _measure_outage(entries: list[Host], seed: int) -> list[float]:
    """Return how long each order waits that is requested in an outage of the store."""
    clock = Clock(seed)
    pools = _make_pools(clock, entries)
    clock.run_until(SETTLE_S)
    for pool in pools:
        for engine in pool.orders:
            requested_s = clock.rng.uniform(0, OUTAGE_S)
            clock.call_later(requested_s, partial(_request_change, clock, pool, engine))
    clock.outage = True
    clock.run_until(SETTLE_S + OUTAGE_S)
    clock.outage = False
    clock.run_until(clock.now_s + WAIT_LIMIT_S)
    waited = [wait for pool in pools for wait in pool.waited_s]
    # An order that was never written counts with the whole measured time.
    return waited + [
        OUTAGE_S + WAIT_LIMIT_S for pool in pools for _ in pool.requested_s
    ]


def _request_change(clock: Clock, pool: Pool, engine: UpstreamId) -> None:
    pool.requested[engine] = EngineChange(role=EngineRole.DECODE)
    pool.requested_s[engine] = clock.now_s


def _make_pools(clock: Clock, entries: list[Host]) -> list[Pool]:
    pools = []
    for region in sorted({host.region for host in entries}):
        local = [host.process for host in entries if host.region == region]
        for number in range(POOLS_PER_REGION):
            pool = Pool(PoolName(f"model-{number}"), region, list(local))
            for engine in range(ENGINES_PER_POOL):
                name = UpstreamId(f"{region}-{number}-{engine}")
                pool.orders[name] = OrderObject(
                    upstream=name,
                    version=1,
                    order=Order(pool=pool.name),
                    progress=AgentProgress(),
                )
            _add_candidates(clock, pool)
            pools.append(pool)
    return pools


def _add_candidates(clock: Clock, pool: Pool) -> None:
    for process in choose_candidates(pool.name, pool.region, pool.entries):
        if process not in pool.candidates:
            pool.candidates[process] = Candidate(clock, pool, process)


def _make_lease_event(op: int, stored: Any) -> LeaseEvent:
    if stored is None:
        return LeaseFailed(op=op)
    version, lease = stored
    return LeaseRead(op=op, lease=lease, version=version)
