"""Acquire a lease that permits orders or duties, through the platform's store."""

import asyncio
import uuid
from typing import Final

from result import Err, Ok, Result

from bramleyport.authority import (
    CandidacyChanged,
    EraObserved,
    Extended,
    Granted,
    Lease,
    LeaseAction,
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseInDoubt,
    LeaseManager,
    LeaseRead,
    LeaseTimes,
    LeaseWritten,
    OrdersSettled,
    ReadLease,
    SettleOrders,
    Tick,
    WriteLease,
    read_lease,
    write_lease,
)
from bramleyport.core import FencingNumber, ProcessId, StoreEra, StoreRevision
from bramleyport.gateway._clock import read_boot_time
from bramleyport.platform import (
    Document,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoreFailure,
)
from bramleyport.telemetry import authority_events, gateway_events, log_event

STAGES_LEASE: Final = ObjectName("stages")
STAGES_LEASE_TIMES: Final = LeaseTimes()
TICK_S: Final = 0.1
# Failures by which the store says that it has not written. An answer that can't be
# decoded, or is of an era that has ended, may be one to a write that took effect.
NO_EFFECT: Final = frozenset(
    (StoreFailure.REFUSED, StoreFailure.INVALID, StoreFailure.NOT_FOUND)
)


class OrderLease:
    """Track one lease: acquired while wanted, released afterwards.

    Its fencing number is given only after a rest from the grant, within which the
    orders of the previous holder that are under way arrive.
    """

    def __init__(
        self,
        process: ProcessId,
        store: StoreClient,
        handover_s: float,
        *,
        first_start: bool,
        name: ObjectName = STAGES_LEASE,
        times: LeaseTimes | None = None,
    ) -> None:
        times = times or STAGES_LEASE_TIMES
        self._name = name
        # A restarted process counts as a different holder.
        self._holder = f"{process}-{uuid.uuid4().hex[:8]}"
        self._store = store
        self._handover_s = handover_s
        now_s = read_boot_time()
        # A restored store, or one from before this process, may name no holder that
        # is at work.
        is_sole = first_start and not store.eras.was_restored
        self._lease_manager = LeaseManager(
            self._holder,
            lambda: uuid.uuid4().hex,
            era=store.eras.named,
            earlier_holder_until_s=None if is_sole else now_s + times.ttl_s,
            times=times,
        )
        self._lease_manager.step(CandidacyChanged(candidate=False), now_s)
        # The era may rise while a call to the store for the lease is under way.
        store.eras.on_restored.append(self._record_era)
        self._pending_change: CandidacyChanged | None = None
        self._usable_from_s = 0.0
        self.orders_in_flight = 0

    def set_wanted(self, *, wanted: bool) -> None:
        """Set whether the lease is needed."""
        self._pending_change = CandidacyChanged(candidate=wanted)

    @property
    def is_idle(self) -> bool:
        """Return whether the lease is neither wanted nor still to be released."""
        return self._pending_change is None and self._lease_manager.idle

    @property
    def is_held(self) -> bool:
        """Return whether this process holds the lease, within its first rest too."""
        return self._lease_manager.may_act(read_boot_time())

    def find_fencing(self) -> FencingNumber | None:
        """Return the fencing number for orders, or None without the lease."""
        now_s = read_boot_time()
        if not self._lease_manager.may_act(now_s) or now_s < self._usable_from_s:
            return None
        return self._lease_manager.fencing

    async def run(self) -> None:
        """Acquire, renew and release the lease until cancelled."""
        while True:
            event: LeaseEvent = Tick()
            if self._pending_change is not None:
                event, self._pending_change = self._pending_change, None
            await self._handle_event(event)
            if self._lease_manager.settling and self.orders_in_flight == 0:
                await self._handle_event(OrdersSettled())
            await asyncio.sleep(TICK_S)

    async def _handle_event(self, event: LeaseEvent) -> None:
        actions = self._lease_manager.step(event, read_boot_time())
        while actions:
            answer = await self._execute(actions.pop(0))
            self._observe_era()
            if answer is not None:
                actions += self._lease_manager.step(answer, read_boot_time())

    def _observe_era(self) -> None:
        era = self._store.eras.named
        if era is not None:
            self._record_era(era)

    def _record_era(self, era: StoreEra) -> None:
        event = EraObserved(era=era)
        for action in self._lease_manager.step(event, read_boot_time()):
            self._record(action)

    async def _execute(self, action: LeaseAction) -> LeaseEvent | None:
        if isinstance(action, ReadLease):
            return await self._read(action)
        if isinstance(action, WriteLease):
            return await self._write(action)
        self._record(action)
        return None

    def _record(self, action: LeaseAction) -> None:
        if isinstance(action, Granted):
            self._record_granted(action)
        elif not isinstance(action, (Extended, SettleOrders)):
            log_event(
                gateway_events.LEASE_CHANGED,
                lease=self._name,
                change=type(action).__name__,
            )

    def _record_granted(self, granted: Granted) -> None:
        # The previous holder may have sent orders until the lease changed hands, and
        # they may still be under way. The first holder has no predecessor.
        rest_s = 0.0 if granted.is_first else self._handover_s
        self._usable_from_s = read_boot_time() + rest_s
        log_event(
            gateway_events.LEASE_CHANGED,
            lease=self._name,
            change="granted",
            holder=self._holder,
            fencing=granted.fencing,
        )

    async def _read(self, action: ReadLease) -> LeaseEvent:
        result = await self._store.get(ObjectKind.LEASES, self._name)
        if isinstance(result, Err):
            if result.err_value.failure is StoreFailure.NOT_FOUND:
                return LeaseRead(op=action.op, lease=None, version=0)
            return LeaseFailed(op=action.op)
        lease = _read_lease(result.ok_value.document)
        if isinstance(lease, Err):
            log_event(authority_events.ORDER_OBJECT_INVALID, reason=lease.err_value)
            return LeaseFailed(op=action.op)
        revision = result.ok_value.revision
        return LeaseRead(op=action.op, lease=lease.ok_value, version=revision)

    async def _write(self, action: WriteLease) -> LeaseEvent:
        document = write_lease(action.lease)
        kind = ObjectKind.LEASES
        if action.expected is None:
            result = await self._store.create(kind, self._name, document)
        else:
            assert isinstance(action.expected, StoreRevision)
            result = await self._store.replace(
                kind, self._name, document, action.expected
            )
        if isinstance(result, Ok):
            return LeaseWritten(op=action.op, version=result.ok_value.revision)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return LeaseConflict(op=action.op)
        if failure in NO_EFFECT:
            return LeaseFailed(op=action.op)
        return LeaseInDoubt(op=action.op)


def _read_lease(document: Document) -> Result[Lease, str]:
    """Return the lease in a document, whatever another writer has left in it."""
    try:
        return read_lease(document)
    except (OverflowError, RecursionError) as error:
        return Err(type(error).__name__)
