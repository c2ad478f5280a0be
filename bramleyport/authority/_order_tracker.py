"""The controller's side of orders: one order object per engine.

A new lease holder first seals each order object: it writes its own fencing number into
the object. This changes the object's version, so later conditional writes of the
previous holder fail, and so does the write by which an agent would begin an order that
it read earlier. A new order replaces only an order that is finished, or one that the
agent has not begun at the version that the write requires. Therefore no engine ever
has two orders in progress.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.authority._documents import EngineChange, Order, OrderObject, Progress
from bramleyport.authority._lease import (
    Extended,
    Granted,
    Revoked,
    SettleOrders,
    Tick,
)
from bramleyport.core import FencingNumber, PoolName, UpstreamId

# Agents report which objects changed. Listing is only a fallback, because a list has
# the objects of all pools (2,100 of about 600 bytes each).
RELIST_INTERVAL_S: Final = 60.0
NOTIFY_INTERVAL_S: Final = 5.0
REPLY_TIMEOUT_S: Final = 3.5
RETRY_DELAY_S: Final = 1.0
# Each repetition of an order that its engine keeps failing costs three writes.
FAILED_RETRY_DELAY_S: Final = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersListed:
    """Report the order objects of the pool."""

    op: int
    objects: tuple[OrderObject, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderObjectRead:
    """Report one order object as read; None if it does not exist."""

    op: int
    upstream: UpstreamId
    object: OrderObject | None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderWritten:
    """Report that a write of an order took effect."""

    op: int
    upstream: UpstreamId
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotWritten:
    """Report a call that conflicted, failed or is in doubt; a read follows."""

    op: int
    upstream: UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Planned:
    """Report the changes that a planner requests."""

    changes: Mapping[UpstreamId, EngineChange]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReported:
    """Report an agent's notification that its progress has changed."""

    upstream: UpstreamId


TrackerEvent = (
    Tick
    | Granted
    | Extended
    | SettleOrders
    | Revoked
    | OrdersListed
    | OrderObjectRead
    | OrderWritten
    | OrderNotWritten
    | OrderReported
    | Planned
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListOrders:
    """Read the order objects of the pool."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOrderObject:
    """Read one order object."""

    op: int
    upstream: UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOrder:
    """Write the controller's part of an object if its version is still the same.

    The agent's part is written back as it was at that version. The write must not be
    sent after `until_s`.
    """

    op: int
    object: OrderObject
    until_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NotifyAgent:
    """Notify an agent that its order object has changed."""

    upstream: UpstreamId
    sequence: int


TrackerAction = ListOrders | ReadOrderObject | WriteOrder | NotifyAgent


@dataclass(slots=True, kw_only=True)
class _TrackedObject:
    object: OrderObject
    writing: OrderObject | None = None
    op: int = 0
    reading: bool = False
    retry_at_s: float = 0.0
    notify_at_s: float = 0.0
    failed_sequence: int = 0
    repeat_after_s: float = 0.0

    def may_repeat(self, now_s: float) -> bool:
        """Return whether the order has not failed or may now be repeated."""
        if self.object.state is not Progress.FAILED:
            return True
        if self.failed_sequence != self.object.order.sequence:
            self.failed_sequence = self.object.order.sequence
            self.repeat_after_s = now_s + FAILED_RETRY_DELAY_S
        return now_s >= self.repeat_after_s


@dataclass(slots=True, kw_only=True)
class _Lookup:
    """Describe a read of an object that was not on the last list."""

    op: int
    retry_at_s: float


class OrderTracker:
    """Track the order objects of one pool and decide which orders to write."""

    def __init__(self, pool: PoolName, make_token: Callable[[], str]) -> None:
        self.pool = pool
        self._make_token = make_token
        self._fencing: FencingNumber | None = None
        self._until_s = 0.0
        self._settling = False
        self._tracked: dict[UpstreamId, _TrackedObject] = {}
        self._lookups: dict[UpstreamId, _Lookup] = {}
        self._op = 0
        self._list_op = 0
        self._next_list_s = 0.0

    def list_objects(self) -> list[OrderObject]:
        """Return the objects that this holder has sealed."""
        return [
            tracked.object
            for tracked in self._tracked.values()
            if tracked.object.order.sealed == self._fencing
        ]

    def has_object(self, upstream: UpstreamId) -> bool:
        """Return whether the engine's order object has been read."""
        return upstream in self._tracked

    @property
    def settled(self) -> bool:
        """Return whether no order write is in flight."""
        return not any(
            tracked.op and tracked.writing for tracked in self._tracked.values()
        )

    def step(self, event: TrackerEvent, now_s: float) -> list[TrackerAction]:
        """Process an event and return the resulting actions."""
        if isinstance(event, Granted):
            self._fencing, self._until_s = event.fencing, event.until_s
            self._settling = False
            self._tracked.clear()
            self._lookups.clear()
            return self._list(now_s)
        if isinstance(event, Extended):
            self._until_s = event.until_s
            return []
        if isinstance(event, SettleOrders):
            self._settling = True
            return []
        if isinstance(event, Revoked):
            self._fencing = None
            self._tracked.clear()
            self._lookups.clear()
            return []
        if self._fencing is None or now_s >= self._until_s:
            return []
        if isinstance(event, Tick):
            return self._tick(now_s)
        if isinstance(event, OrdersListed):
            return self._handle_list(event, now_s)
        if isinstance(event, Planned):
            return self._plan(event, now_s)
        if isinstance(event, OrderReported):
            return self._handle_report(event, now_s)
        lookup = self._lookups.get(event.upstream)
        if lookup is not None and lookup.op == event.op:
            return self._handle_lookup(lookup, event, now_s)
        return self._handle_reply(event, now_s)

    def _start_op(self) -> int:
        self._op += 1
        return self._op

    def _list(self, now_s: float) -> list[TrackerAction]:
        self._list_op = self._start_op()
        self._next_list_s = now_s + REPLY_TIMEOUT_S
        return [ListOrders(op=self._list_op)]

    def _tick(self, now_s: float) -> list[TrackerAction]:
        actions: list[TrackerAction] = []
        for tracked in self._tracked.values():
            if tracked.op and now_s >= tracked.retry_at_s:
                actions.append(self._read(tracked, now_s))
            elif not tracked.op and now_s >= tracked.notify_at_s:
                actions += self._notify(tracked, now_s)
        for upstream, lookup in self._lookups.items():
            if now_s >= lookup.retry_at_s:
                actions.append(self._look_up(upstream, now_s))
        if now_s >= self._next_list_s:
            actions += self._list(now_s)
        return actions

    def _handle_list(self, event: OrdersListed, now_s: float) -> list[TrackerAction]:
        if event.op != self._list_op:
            return []
        self._next_list_s = now_s + RELIST_INTERVAL_S
        actions: list[TrackerAction] = []
        listed = {found.upstream for found in event.objects}
        for removed_upstream in set(self._tracked) - listed:
            del self._tracked[removed_upstream]
        for found in event.objects:
            self._lookups.pop(found.upstream, None)
            tracked = self._tracked.setdefault(
                found.upstream, _TrackedObject(object=found)
            )
            # A list that was read before the last write must not overwrite its result.
            if tracked.op == 0 and found.version >= tracked.object.version:
                tracked.object = found
                actions += self._seal(tracked, now_s)
        return actions

    def _handle_report(self, event: OrderReported, now_s: float) -> list[TrackerAction]:
        tracked = self._tracked.get(event.upstream)
        if tracked is not None:
            return [] if tracked.op else [self._read(tracked, now_s)]
        if event.upstream in self._lookups:
            return []
        # The engine's object was created after the last list.
        return [self._look_up(event.upstream, now_s)]

    def _look_up(self, upstream: UpstreamId, now_s: float) -> TrackerAction:
        lookup = _Lookup(op=self._start_op(), retry_at_s=now_s + REPLY_TIMEOUT_S)
        self._lookups[upstream] = lookup
        return ReadOrderObject(op=lookup.op, upstream=upstream)

    def _handle_lookup(
        self,
        lookup: _Lookup,
        event: OrderObjectRead | OrderWritten | OrderNotWritten,
        now_s: float,
    ) -> list[TrackerAction]:
        if not isinstance(event, OrderObjectRead):
            lookup.retry_at_s = now_s + RETRY_DELAY_S
            return []
        del self._lookups[event.upstream]
        found = event.object
        if found is None or found.order.pool != self.pool:
            return []
        if event.upstream in self._tracked:
            return []
        tracked = self._tracked[event.upstream] = _TrackedObject(object=found)
        return self._seal(tracked, now_s)

    def _seal(self, tracked: _TrackedObject, now_s: float) -> list[TrackerAction]:
        assert self._fencing is not None
        order = tracked.object.order
        if self._settling or order.sealed >= self._fencing:
            return []
        sealed = replace(order, sealed=self._fencing, token=self._make_token())
        return [self._write(tracked, sealed, now_s)]

    def _plan(self, event: Planned, now_s: float) -> list[TrackerAction]:
        actions: list[TrackerAction] = []
        for upstream, change in event.changes.items():
            tracked = self._tracked.get(upstream)
            if tracked is not None and self._is_free(tracked, change, now_s):
                actions.append(
                    self._write(tracked, self._make_order(tracked, change), now_s)
                )
        return actions

    def _is_free(
        self, tracked: _TrackedObject, change: EngineChange, now_s: float
    ) -> bool:
        current = tracked.object
        if self._settling or tracked.op or current.order.sealed != self._fencing:
            return False
        if current.state is Progress.BEGUN:
            return False
        is_same_change = current.order.change == change
        is_own_order = current.order.fencing == self._fencing
        # A dropped order is repeated at once, a failed one after a delay.
        is_pending_or_done = current.state in (Progress.PENDING, Progress.DONE)
        if is_same_change and not tracked.may_repeat(now_s):
            return False
        return not (is_same_change and is_pending_or_done and is_own_order)

    def _make_order(self, tracked: _TrackedObject, change: EngineChange) -> Order:
        assert self._fencing is not None
        return Order(
            sequence=tracked.object.order.sequence + 1,
            fencing=self._fencing,
            sealed=self._fencing,
            pool=self.pool,
            change=change,
            token=self._make_token(),
        )

    def _write(
        self, tracked: _TrackedObject, order: Order, now_s: float
    ) -> TrackerAction:
        self._call(tracked, now_s, reading=False)
        tracked.writing = replace(tracked.object, order=order)
        return WriteOrder(op=tracked.op, object=tracked.writing, until_s=self._until_s)

    def _call(self, tracked: _TrackedObject, now_s: float, *, reading: bool) -> None:
        tracked.op, tracked.reading = self._start_op(), reading
        tracked.retry_at_s = now_s + REPLY_TIMEOUT_S

    def _read(self, tracked: _TrackedObject, now_s: float) -> TrackerAction:
        self._call(tracked, now_s, reading=True)
        return ReadOrderObject(op=tracked.op, upstream=tracked.object.upstream)

    def _handle_reply(
        self, event: OrderObjectRead | OrderWritten | OrderNotWritten, now_s: float
    ) -> list[TrackerAction]:
        tracked = self._tracked.get(event.upstream)
        if tracked is None or tracked.op != event.op:
            return []
        if isinstance(event, OrderNotWritten):
            if not tracked.reading:
                return [self._read(tracked, now_s)]
            tracked.retry_at_s = now_s + RETRY_DELAY_S
            return []
        tracked.op = 0
        if isinstance(event, OrderObjectRead):
            return self._handle_read(tracked, event, now_s)
        assert tracked.writing is not None
        tracked.object = replace(tracked.writing, version=event.version)
        return self._notify(tracked, now_s)

    def _handle_read(
        self, tracked: _TrackedObject, event: OrderObjectRead, now_s: float
    ) -> list[TrackerAction]:
        if event.object is None:
            del self._tracked[event.upstream]
            return []
        written = tracked.writing is not None and (
            event.object.order.token == tracked.writing.order.token
        )
        tracked.object = event.object
        if written:
            return self._notify(tracked, now_s)
        return self._seal(tracked, now_s)

    def _notify(self, tracked: _TrackedObject, now_s: float) -> list[TrackerAction]:
        order = tracked.object.order
        tracked.writing = None
        tracked.notify_at_s = now_s + NOTIFY_INTERVAL_S
        if tracked.object.state is not Progress.PENDING:
            return []
        return [NotifyAgent(upstream=tracked.object.upstream, sequence=order.sequence)]
