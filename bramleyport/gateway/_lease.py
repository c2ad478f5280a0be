"""Hold the lease of whoever orders engines, through the platform's store."""

import asyncio
import uuid
from typing import Final

from result import Err, Ok

from bramleyport.authority import (
    CandidacyChanged,
    Granted,
    LeaseAction,
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseInDoubt,
    LeaseManager,
    LeaseRead,
    LeaseWritten,
    OrdersSettled,
    ReadLease,
    SettleOrders,
    Tick,
    WriteLease,
    read_lease,
    write_lease,
)
from bramleyport.core import FencingNumber, ProcessId, Revision
from bramleyport.gateway._clock import read_elapsed
from bramleyport.platform import ObjectKind, ObjectName, StoreClient, StoreFailure
from bramleyport.telemetry import authority_events, gateway_events, log_event

LEASE_NAME: Final = ObjectName("stages")
TICK_S: Final = 0.1


class OrderLease:
    """Acquire the lease while it is wanted, and release it afterwards."""

    def __init__(self, process: ProcessId, store: StoreClient, rest_s: float) -> None:
        # Each run of a process is a holder of its own.
        self._holder = f"{process}-{uuid.uuid4().hex[:8]}"
        self._store = store
        self._rest_s = rest_s
        self._keeper = LeaseManager(self._holder, lambda: uuid.uuid4().hex)
        self._keeper.step(CandidacyChanged(candidate=False), read_elapsed())
        self._pending: CandidacyChanged | None = None
        self._usable_from_s = 0.0
        self.orders_in_flight = 0

    def want(self, *, wanted: bool) -> None:
        """Say whether the lease is needed."""
        self._pending = CandidacyChanged(candidate=wanted)

    def find_fencing(self) -> FencingNumber | None:
        """Return the fencing number to order with, or None without the lease."""
        now_s = read_elapsed()
        if not self._keeper.may_act(now_s) or now_s < self._usable_from_s:
            return None
        return self._keeper.fencing

    async def run(self) -> None:
        """Drive the lease until cancelled."""
        while True:
            event: LeaseEvent = Tick()
            if self._pending is not None:
                event, self._pending = self._pending, None
            await self._drive(event)
            if self._keeper.settling and self.orders_in_flight == 0:
                await self._drive(OrdersSettled())
            await asyncio.sleep(TICK_S)

    async def _drive(self, event: LeaseEvent) -> None:
        queue = self._keeper.step(event, read_elapsed())
        while queue:
            answer = await self._execute(queue.pop(0))
            if answer is not None:
                queue += self._keeper.step(answer, read_elapsed())

    async def _execute(self, action: LeaseAction) -> LeaseEvent | None:
        if isinstance(action, ReadLease):
            return await self._read(action)
        if isinstance(action, WriteLease):
            return await self._write(action)
        if isinstance(action, Granted):
            self._note_granted(action.fencing)
        elif not isinstance(action, SettleOrders):
            log_event(gateway_events.LEASE_CHANGED, change=type(action).__name__)
        return None

    def _note_granted(self, fencing: FencingNumber) -> None:
        # Whoever held the lease before may have ordered until just now.
        first = fencing <= 1
        self._usable_from_s = read_elapsed() + (0.0 if first else self._rest_s)
        log_event(
            gateway_events.LEASE_CHANGED,
            change="granted",
            holder=self._holder,
            fencing=fencing,
        )

    async def _read(self, action: ReadLease) -> LeaseEvent:
        result = await self._store.get(ObjectKind.LEASES, LEASE_NAME)
        if isinstance(result, Err):
            if result.err_value.failure is StoreFailure.NOT_FOUND:
                return LeaseRead(op=action.op, lease=None, version=0)
            return LeaseFailed(op=action.op)
        lease = read_lease(result.ok_value.document)
        if isinstance(lease, Err):
            log_event(authority_events.ORDER_OBJECT_INVALID, reason=lease.err_value)
            return LeaseFailed(op=action.op)
        revision = result.ok_value.revision
        return LeaseRead(op=action.op, lease=lease.ok_value, version=revision)

    async def _write(self, action: WriteLease) -> LeaseEvent:
        document = write_lease(action.lease)
        kind = ObjectKind.LEASES
        if action.expected is None:
            result = await self._store.create(kind, LEASE_NAME, document)
        else:
            revision = Revision(action.expected)
            result = await self._store.replace(kind, LEASE_NAME, document, revision)
        if isinstance(result, Ok):
            return LeaseWritten(op=action.op, version=result.ok_value.revision)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return LeaseConflict(op=action.op)
        if failure is StoreFailure.UNKNOWN:
            return LeaseInDoubt(op=action.op)
        return LeaseFailed(op=action.op)
