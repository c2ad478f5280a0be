"""Measure how long a pool has no lease holder and how long orders freeze.

The pure keepers and books of every pool's candidates run under a virtual clock
against a store that answers after a fixed delay and fails at once in an outage.
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

POOLS: Final = 10
ENGINES: Final = 4
TICK_S: Final = 0.25
ANSWER_S: Final = 0.005
SETTLE_S: Final = 10.0
LIMIT_S: Final = 30.0
OUTAGE_S: Final = 60.0
TRIALS: Final = 2
PROBE_S: Final = 0.01

Row = tuple[str, float, str, float | None]


@dataclass(slots=True)
class Pool:
    """Hold the store's objects and the candidates of one pool in one region."""

    name: PoolName
    region: RegionName
    entries: list[ProcessId]
    lease: tuple[int, Any] = (0, None)
    orders: dict[UpstreamId, OrderObject] = field(default_factory=dict)
    wanted: dict[UpstreamId, EngineChange] = field(default_factory=dict)
    wanted_s: dict[UpstreamId, float] = field(default_factory=dict)
    waited_s: list[float] = field(default_factory=list)
    candidates: dict[ProcessId, "Candidate"] = field(default_factory=dict)


class Clock:
    """Run actions in the order of virtual time, and fail calls in an outage."""

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
        """Advance the clock."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def ask(self, request: Callable[[], Any], reply: Callable[[Any], None]) -> None:
        """Call the store; the reply is None in an outage."""

        def answer() -> None:
            reply(None if self.outage else request())

        self.call_later(ANSWER_S, answer)


class Candidate:
    """Drive the keeper and the book of one candidate."""

    def __init__(self, clock: Clock, pool: Pool, process: ProcessId) -> None:
        self.alive = True
        self._clock = clock
        self._pool = pool
        self._tokens = 0
        self._process = process
        self._writes = 0
        self.keeper = LeaseManager(process, self._make_token)
        self.book = OrderTracker(pool.name, self._make_token)
        clock.call_later(clock.rng.uniform(0, RENEW_INTERVAL_S), self._tick)

    @property
    def acting(self) -> bool:
        """Return whether this candidate holds the lease."""
        return self.alive and self.keeper.may_act(self._clock.now_s)

    def dismiss(self) -> None:
        """Stop gracefully."""
        self._drive_lease(CandidacyChanged(candidate=False))

    def _make_token(self) -> str:
        self._tokens += 1
        return f"{self._process}-{self._tokens}"

    def _tick(self) -> None:
        if not self.alive:
            return
        self._drive_lease(Tick())
        self._drive_book(Tick())
        if self.keeper.settling and self.book.settled and not self._writes:
            self._drive_lease(OrdersSettled())
        if self.acting and self._pool.wanted:
            self._drive_book(Planned(changes=self._pool.wanted))
        self._clock.call_later(TICK_S, self._tick)

    def _drive_lease(self, event: LeaseEvent) -> None:
        if not self.alive:
            return
        for action in self.keeper.step(event, self._clock.now_s):
            if isinstance(action, ReadLease):
                self._read_lease(action)
            elif isinstance(action, WriteLease):
                self._begin_write(action)
            else:
                self._drive_book(action)

    def _read_lease(self, action: ReadLease) -> None:
        def take(found: Any) -> None:
            self._drive_lease(_see(action.op, found))

        self._clock.ask(lambda: self._pool.lease, take)

    def _begin_write(self, action: WriteLease) -> None:
        def take(reply: Any) -> None:
            self._drive_lease(reply or LeaseFailed(op=action.op))

        self._clock.ask(lambda: self._write_lease(action), take)

    def _write_lease(self, action: WriteLease) -> LeaseEvent:
        version = self._pool.lease[0]
        if version != (action.expected or 0):
            return LeaseConflict(op=action.op)
        self._pool.lease = (version + 1, action.lease)
        return LeaseWritten(op=action.op, version=version + 1)

    def _drive_book(self, event: TrackerEvent) -> None:
        for action in self.book.step(event, self._clock.now_s):
            if not isinstance(action, NotifyAgent):
                self._call(action)

    def _call(self, action: TrackerAction) -> None:
        pool = self._pool
        if isinstance(action, WriteOrder):
            self._writes += 1
            self._clock.ask(
                lambda: self._write_order(action),
                lambda reply: self._take_written(action, reply),
            )
        elif isinstance(action, ListOrders):
            self._list(action.op)
        elif isinstance(action, ReadOrderObject):
            name = action.upstream
            failed = OrderNotWritten(op=action.op, upstream=name)
            self._clock.ask(
                lambda: OrderObjectRead(
                    op=action.op, upstream=name, object=pool.orders[name]
                ),
                lambda reply: self._take(reply or failed),
            )

    def _list(self, op: int) -> None:
        def take(found: Any) -> None:
            if found is not None:
                self._take(OrdersListed(op=op, objects=found))

        self._clock.ask(lambda: tuple(self._pool.orders.values()), take)

    def _take(self, event: TrackerEvent) -> None:
        if self.alive:
            self._drive_book(event)

    def _take_written(self, action: WriteOrder, reply: TrackerEvent | None) -> None:
        self._writes -= 1
        upstream = action.object.upstream
        self._take(reply or OrderNotWritten(op=action.op, upstream=upstream))

    def _write_order(self, action: WriteOrder) -> TrackerEvent:
        pool, wanted = self._pool, action.object
        name = wanted.upstream
        if pool.orders[name].version != wanted.version:
            return OrderNotWritten(op=action.op, upstream=name)
        pool.orders[name] = replace(wanted, version=wanted.version + 1)
        begun_s = pool.wanted_s.get(name)
        if begun_s is not None and wanted.order.change == pool.wanted[name]:
            pool.waited_s.append(self._clock.now_s - begun_s)
            del pool.wanted_s[name]
        return OrderWritten(op=action.op, upstream=name, version=wanted.version + 1)


def measure_leases(hosts: Iterable[Host], seed: int) -> Iterator[Row]:
    """Return the rows on lease holders and frozen orders for a fleet's entries."""
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
    """Return the seconds without a holder of each pool whose holder ends."""
    clock = Clock(seed)
    pools = _make_pools(clock, entries)
    clock.run_until(SETTLE_S)
    ended: dict[int, float] = {}
    gaps: list[float] = []
    for index, pool in enumerate(pools):
        clock.run_until(clock.now_s + clock.rng.uniform(0, RENEW_INTERVAL_S / POOLS))
        process = next(name for name, c in pool.candidates.items() if c.acting)
        holder = pool.candidates.pop(process)
        if graceful:
            holder.dismiss()
            # Its peers learn that it leaves and choose its successor.
            pool.entries.remove(process)
            _add_candidates(clock, pool)
        else:
            # The host list still names the dead entry.
            holder.alive = False
        ended[index] = clock.now_s
        gaps += _collect(clock, pools, ended)
    limit_s = clock.now_s + LIMIT_S
    while ended and clock.now_s < limit_s:
        clock.run_until(clock.now_s + PROBE_S)
        gaps += _collect(clock, pools, ended)
    return gaps + [LIMIT_S] * len(ended)


def _collect(clock: Clock, pools: list[Pool], ended: dict[int, float]) -> list[float]:
    found = [
        index
        for index in ended
        if any(c.acting for c in pools[index].candidates.values())
    ]
    return [clock.now_s - ended.pop(index) for index in found]


def _measure_outage(entries: list[Host], seed: int) -> list[float]:
    """Return the wait of each order that is wanted during an outage of the store."""
    clock = Clock(seed)
    pools = _make_pools(clock, entries)
    clock.run_until(SETTLE_S)
    for pool in pools:
        for engine in pool.orders:
            wanted_s = clock.rng.uniform(0, OUTAGE_S)
            clock.call_later(wanted_s, partial(_want, clock, pool, engine))
    clock.outage = True
    clock.run_until(SETTLE_S + OUTAGE_S)
    clock.outage = False
    clock.run_until(clock.now_s + LIMIT_S)
    waited = [wait for pool in pools for wait in pool.waited_s]
    # An order that was never written counts with the whole time.
    return waited + [OUTAGE_S + LIMIT_S for pool in pools for _ in pool.wanted_s]


def _want(clock: Clock, pool: Pool, engine: UpstreamId) -> None:
    pool.wanted[engine] = EngineChange(role=EngineRole.DECODE)
    pool.wanted_s[engine] = clock.now_s


def _make_pools(clock: Clock, entries: list[Host]) -> list[Pool]:
    pools = []
    for region in sorted({host.region for host in entries}):
        near = [host.process for host in entries if host.region == region]
        for number in range(POOLS):
            pool = Pool(PoolName(f"model-{number}"), region, list(near))
            for engine in range(ENGINES):
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


def _see(op: int, found: Any) -> LeaseEvent:
    if found is None:
        return LeaseFailed(op=op)
    version, lease = found
    return LeaseRead(op=op, lease=lease, version=version)
