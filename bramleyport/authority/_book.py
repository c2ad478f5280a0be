"""The controller's side of orders: one order object per engine.

A holder first takes each order object over by writing its own fencing number into it
(it seals the object). Every write of the holder before it then fails its condition,
and so does the start of an order that an agent has read but not begun. A new order is
written only over one that is settled or that the agent has not begun at the version
the write requires, so no engine ever has two orders in progress.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.authority._lease import (
    Extended,
    Granted,
    Revoked,
    SettleOrders,
    Tick,
)
from bramleyport.authority._types import EngineChange, Order, OrderObject, Progress
from bramleyport.core import FencingNumber, PoolName, UpstreamId

# Reports from agents name the objects that changed; the list is a fallback, since one
# holds every pool's objects (2,100 of about 600 bytes).
RELIST_S: Final = 60.0
NOTIFY_S: Final = 5.0
REPLY_TIMEOUT_S: Final = 3.5
RETRY_S: Final = 1.0
# An engine that keeps failing its order costs three writes each time it is given again.
FAILED_RETRY_S: Final = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersListed:
    """Report the order objects of the pool."""

    op: int
    objects: tuple[OrderObject, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderSeen:
    """Report one order object as read; None when it is gone."""

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
    """Report a call that conflicted, failed or is in doubt: it is read back."""

    op: int
    upstream: UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Planned:
    """Give the changes that a planner wants."""

    changes: Mapping[UpstreamId, EngineChange]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReported:
    """Report an agent's word that its progress has changed."""

    upstream: UpstreamId


BookEvent = (
    Tick
    | Granted
    | Extended
    | SettleOrders
    | Revoked
    | OrdersListed
    | OrderSeen
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
    """Write the controller's part of an object that has the version.

    The agent's part is written back as it was at that version. The write must not be
    sent after `until_s`.
    """

    op: int
    object: OrderObject
    until_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NotifyAgent:
    """Tell an agent that its order object has changed."""

    upstream: UpstreamId
    sequence: int


BookAction = ListOrders | ReadOrderObject | WriteOrder | NotifyAgent


@dataclass(slots=True, kw_only=True)
class _Slot:
    object: OrderObject
    writing: OrderObject | None = None
    op: int = 0
    reading: bool = False
    retry_s: float = 0.0
    notify_s: float = 0.0
    failed_sequence: int = 0
    again_s: float = 0.0

    def may_repeat(self, now_s: float) -> bool:
        """Return whether a failed order has waited long enough to be given again."""
        if self.object.state is not Progress.FAILED:
            return True
        if self.failed_sequence != self.object.order.sequence:
            self.failed_sequence = self.object.order.sequence
            self.again_s = now_s + FAILED_RETRY_S
        return now_s >= self.again_s


class OrderBook:
    """Write the orders of one pool while this process holds its lease."""

    def __init__(self, pool: PoolName, make_token: Callable[[], str]) -> None:
        self.pool = pool
        self._make_token = make_token
        self._fencing: FencingNumber | None = None
        self._until_s = 0.0
        self._settling = False
        self._slots: dict[UpstreamId, _Slot] = {}
        self._lookups: set[int] = set()
        self._op = 0
        self._list_op = 0
        self._next_list_s = 0.0

    def list_objects(self) -> list[OrderObject]:
        """Return the objects that this holder has taken over."""
        return [
            slot.object
            for slot in self._slots.values()
            if slot.object.order.sealed == self._fencing
        ]

    def knows(self, upstream: UpstreamId) -> bool:
        """Return whether the engine's order object has been read."""
        return upstream in self._slots

    @property
    def settled(self) -> bool:
        """Return whether no order write waits for its answer."""
        return not any(slot.op and slot.writing for slot in self._slots.values())

    def step(self, event: BookEvent, now_s: float) -> list[BookAction]:
        """Take an event and return what to do."""
        if isinstance(event, Granted):
            self._fencing, self._until_s = event.fencing, event.until_s
            self._settling = False
            self._slots.clear()
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
            self._slots.clear()
            return []
        if self._fencing is None or now_s >= self._until_s:
            return []
        if isinstance(event, Tick):
            return self._tick(now_s)
        if isinstance(event, OrdersListed):
            return self._take_list(event, now_s)
        if isinstance(event, Planned):
            return self._plan(event, now_s)
        if isinstance(event, OrderReported):
            return self._take_report(event, now_s)
        if isinstance(event, OrderSeen) and event.op in self._lookups:
            return self._take_lookup(event, now_s)
        return self._take_reply(event, now_s)

    def _begin(self) -> int:
        self._op += 1
        return self._op

    def _list(self, now_s: float) -> list[BookAction]:
        self._list_op = self._begin()
        self._next_list_s = now_s + REPLY_TIMEOUT_S
        return [ListOrders(op=self._list_op)]

    def _tick(self, now_s: float) -> list[BookAction]:
        actions: list[BookAction] = []
        for slot in self._slots.values():
            if slot.op and now_s >= slot.retry_s:
                actions.append(self._read(slot, now_s))
            elif not slot.op and now_s >= slot.notify_s:
                actions += self._notify(slot, now_s)
        if now_s >= self._next_list_s:
            actions += self._list(now_s)
        return actions

    def _take_list(self, event: OrdersListed, now_s: float) -> list[BookAction]:
        if event.op != self._list_op:
            return []
        self._next_list_s = now_s + RELIST_S
        actions: list[BookAction] = []
        listed = {found.upstream for found in event.objects}
        for gone in set(self._slots) - listed:
            del self._slots[gone]
        for found in event.objects:
            slot = self._slots.setdefault(found.upstream, _Slot(object=found))
            # A list that was read before the last write must not hide that write.
            if slot.op == 0 and found.version >= slot.object.version:
                slot.object = found
                actions += self._seal(slot, now_s)
        return actions

    def _take_report(self, event: OrderReported, now_s: float) -> list[BookAction]:
        slot = self._slots.get(event.upstream)
        if slot is not None:
            return [] if slot.op else [self._read(slot, now_s)]
        # An engine whose object was created after the last list.
        self._lookups.add(self._begin())
        return [ReadOrderObject(op=self._op, upstream=event.upstream)]

    def _take_lookup(self, event: OrderSeen, now_s: float) -> list[BookAction]:
        self._lookups.discard(event.op)
        found = event.object
        if found is None or found.order.pool != self.pool:
            return []
        if event.upstream in self._slots:
            return []
        slot = self._slots[event.upstream] = _Slot(object=found)
        return self._seal(slot, now_s)

    def _seal(self, slot: _Slot, now_s: float) -> list[BookAction]:
        assert self._fencing is not None
        order = slot.object.order
        if self._settling or order.sealed >= self._fencing:
            return []
        sealed = replace(order, sealed=self._fencing, token=self._make_token())
        return [self._write(slot, sealed, now_s)]

    def _plan(self, event: Planned, now_s: float) -> list[BookAction]:
        actions: list[BookAction] = []
        for upstream, change in event.changes.items():
            slot = self._slots.get(upstream)
            if slot is not None and self._is_free(slot, change, now_s):
                actions.append(self._write(slot, self._make(slot, change), now_s))
        return actions

    def _is_free(self, slot: _Slot, change: EngineChange, now_s: float) -> bool:
        current = slot.object
        if self._settling or slot.op or current.order.sealed != self._fencing:
            return False
        if current.state is Progress.BEGUN:
            return False
        same = current.order.change == change
        mine = current.order.fencing == self._fencing
        # An order that was dropped is given again at once, one that failed later.
        waiting = current.state in (Progress.PENDING, Progress.DONE)
        if same and not slot.may_repeat(now_s):
            return False
        return not (same and waiting and mine)

    def _make(self, slot: _Slot, change: EngineChange) -> Order:
        assert self._fencing is not None
        return Order(
            sequence=slot.object.order.sequence + 1,
            fencing=self._fencing,
            sealed=self._fencing,
            pool=self.pool,
            change=change,
            token=self._make_token(),
        )

    def _write(self, slot: _Slot, order: Order, now_s: float) -> BookAction:
        self._call(slot, now_s, reading=False)
        slot.writing = replace(slot.object, order=order)
        return WriteOrder(op=slot.op, object=slot.writing, until_s=self._until_s)

    def _call(self, slot: _Slot, now_s: float, *, reading: bool) -> None:
        slot.op, slot.reading = self._begin(), reading
        slot.retry_s = now_s + REPLY_TIMEOUT_S

    def _read(self, slot: _Slot, now_s: float) -> BookAction:
        self._call(slot, now_s, reading=True)
        return ReadOrderObject(op=slot.op, upstream=slot.object.upstream)

    def _take_reply(
        self, event: OrderSeen | OrderWritten | OrderNotWritten, now_s: float
    ) -> list[BookAction]:
        slot = self._slots.get(event.upstream)
        if slot is None or slot.op != event.op:
            return []
        if isinstance(event, OrderNotWritten):
            if not slot.reading:
                return [self._read(slot, now_s)]
            slot.retry_s = now_s + RETRY_S
            return []
        slot.op = 0
        if isinstance(event, OrderSeen):
            return self._take_read(slot, event, now_s)
        assert slot.writing is not None
        slot.object = replace(slot.writing, version=event.version)
        return self._notify(slot, now_s)

    def _take_read(
        self, slot: _Slot, event: OrderSeen, now_s: float
    ) -> list[BookAction]:
        if event.object is None:
            del self._slots[event.upstream]
            return []
        written = slot.writing is not None and (
            event.object.order.token == slot.writing.order.token
        )
        slot.object = event.object
        if written:
            return self._notify(slot, now_s)
        return self._seal(slot, now_s)

    def _notify(self, slot: _Slot, now_s: float) -> list[BookAction]:
        order = slot.object.order
        slot.writing = None
        slot.notify_s = now_s + NOTIFY_S
        if slot.object.state is not Progress.PENDING:
            return []
        return [NotifyAgent(upstream=slot.object.upstream, sequence=order.sequence)]
