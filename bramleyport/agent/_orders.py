"""Execution of the orders for one engine in its agent."""

import asyncio
import time
from typing import Any, Final, Protocol

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.authority import (
    ApplyOrder,
    Drained,
    DrainEngine,
    EngineRead,
    EngineState,
    ExecutorAction,
    ExecutorEvent,
    Lease,
    OrderApplied,
    OrderExecutor,
    OrderInDoubt,
    OrderNotified,
    OrderNotSent,
    OrderObject,
    OrderRead,
    OrderRefused,
    Progress,
    ProgressNotWritten,
    ProgressWritten,
    ReadEngine,
    ReadFailed,
    ReadOrder,
    ReportProgress,
    ResumeEngine,
    Tick,
    WriteProgress,
    name_lease,
    read_lease,
    read_order,
    write_order,
    write_progress,
)
from bramleyport.core import EngineRole, RegionName
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoreFailure,
)
from bramleyport.telemetry import Metrics, authority_events, events, log_event
from bramleyport.upstreams import EngineClient, UpstreamError
from bramleyport.wire import Message, OrderReport

TICK_INTERVAL_S: Final = 0.25
DRAIN_POLL_INTERVAL_S: Final = 0.05
# A role change takes seconds; an engine that loads a model may take a minute.
APPLY_TIMEOUT_S: Final = 120.0
ENGINE_READ_TIMEOUT_S: Final = 5.0
HTTP_CONFLICT: Final = 409


class Gate(Protocol):
    """Decide whether new work reaches the engine."""

    def begin_change(self) -> None:
        """Refuse new and queued work."""
        ...

    def is_idle(self) -> bool:
        """Return whether no work is running on the engine."""
        ...

    def end_change(self) -> None:
        """Accept new work again."""
        ...

    def post_all(self, message: Message) -> None:
        """Send a message to every connected peer."""
        ...


class OrderApplier:
    """Carry out the actions of an order executor one after the other."""

    def __init__(
        self,
        client: ObjectClient,
        engine: EngineClient,
        executor: OrderExecutor,
        region: RegionName,
        metrics: Metrics | None = None,
    ) -> None:
        self.executor = executor
        self._metrics = metrics or Metrics()
        self._client = client
        self._engine = engine
        self._region = region
        self._gate: Gate | None = None
        self._notified_sequence = 0
        self._wake = asyncio.Event()
        self._superseded = False

    def handle_notice(self, sequence: int) -> None:
        """Read the order object soon. The notice itself is never executed."""
        self._notified_sequence = max(self._notified_sequence, sequence)
        self._wake.set()

    async def run(self, gate: Gate) -> None:
        """Apply orders until cancelled."""
        self._gate = gate
        while True:
            try:
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            try:
                if self._wake.is_set():
                    self._wake.clear()
                    await self._process_event(
                        OrderNotified(sequence=self._notified_sequence)
                    )
                await self._process_event(Tick())
            except Exception as error:  # one error must not end the execution of orders
                log_event(events.HANDLER_FAILED, step="order", error=repr(error))

    async def close(self) -> None:
        """Close the idle connections to the store."""
        await self._client.close()

    async def _process_event(self, event: ExecutorEvent) -> None:
        pending = [event]
        while pending:
            for action in self.executor.step(pending.pop(0), time.monotonic()):
                reply = await self._execute_action(action)
                if reply is not None:
                    pending.append(reply)
        if self.executor.state == "superseded" and not self._superseded:
            self._superseded = True
            log_event(
                authority_events.AGENT_SUPERSEDED,
                upstream=self.executor.upstream,
                incarnation=self.executor.incarnation,
            )

    async def _execute_action(self, action: ExecutorAction) -> ExecutorEvent | None:
        assert self._gate is not None
        if isinstance(action, ResumeEngine):
            self._gate.end_change()
            return None
        if isinstance(action, ReportProgress):
            self._report(action)
            return None
        try:
            return await self._perform_call(action)
        except Exception as error:  # one error must not end the execution of orders
            log_event(events.HANDLER_FAILED, step="order", error=repr(error))
            if isinstance(action, ApplyOrder):
                return OrderInDoubt(op=action.op)
            if isinstance(action, WriteProgress):
                return ProgressNotWritten(op=action.op)
            return ReadFailed(op=action.op)

    async def _perform_call(
        self, action: ReadOrder | WriteProgress | DrainEngine | ApplyOrder | ReadEngine
    ) -> ExecutorEvent:
        if isinstance(action, ReadOrder):
            return await self._read_order(action)
        if isinstance(action, WriteProgress):
            return await self._write_progress(action)
        if isinstance(action, DrainEngine):
            return await self._drain(action)
        if isinstance(action, ApplyOrder):
            return await self._apply(action)
        return await self._read_engine(action)

    def _report(self, action: ReportProgress) -> None:
        assert self._gate is not None
        log_event(
            authority_events.ORDER_PROGRESS,
            upstream=self.executor.upstream,
            sequence=action.sequence,
            state=action.state,
        )
        self._metrics.orders.inc({"result": action.state})
        self._gate.post_all(
            OrderReport(
                upstream=self.executor.upstream,
                sequence=action.sequence,
                state=action.state,
            )
        )

    async def _read_order(self, action: ReadOrder) -> ExecutorEvent:
        name = ObjectName(self.executor.upstream)
        stored = await self._client.get(Kind.ORDERS, name)
        if isinstance(stored, Err):
            if stored.err_value.failure is StoreFailure.NOT_FOUND:
                return OrderRead(op=action.op, object=None, lease=None)
            return ReadFailed(op=action.op)
        value = stored.ok_value
        found = read_order(
            self.executor.upstream, value.version, value.spec, value.status
        )
        if isinstance(found, Err):
            return self._reject_object(action, found.err_value)
        # The lease must be read after the order: an equal fencing number then shows
        # that the writer of the order held the lease when it wrote it.
        lease = await self._read_lease(found.ok_value)
        if isinstance(lease, Err):
            return self._reject_object(action, lease.err_value)
        return OrderRead(op=action.op, object=found.ok_value, lease=lease.ok_value)

    def _reject_object(self, action: ReadOrder, reason: str) -> ReadFailed:
        log_event(
            authority_events.ORDER_OBJECT_INVALID,
            upstream=self.executor.upstream,
            reason=reason,
        )
        return ReadFailed(op=action.op)

    async def _read_lease(self, found: OrderObject) -> Result[Lease | None, str]:
        if found.state is not Progress.PENDING:
            return Ok(None)
        name = ObjectName(name_lease(found.order.pool, self._region))
        stored = await self._client.get(Kind.LEASES, name)
        if isinstance(stored, Ok):
            return read_lease(stored.ok_value.spec)
        if stored.err_value.failure is StoreFailure.NOT_FOUND:
            return Ok(None)
        return Err(stored.err_value.message)

    async def _write_progress(self, action: WriteProgress) -> ExecutorEvent:
        found = action.object
        name = ObjectName(found.upstream)
        spec, status = write_order(found.order), write_progress(found.progress)
        if found.version == 0:
            result = await self._client.create(Kind.ORDERS, name, spec, status)
        else:
            version = ObjectVersion(found.version)
            result = await self._client.update(Kind.ORDERS, name, version, spec, status)
        if isinstance(result, Err):
            return ProgressNotWritten(op=action.op)
        return ProgressWritten(op=action.op, version=result.ok_value.version)

    async def _drain(self, action: DrainEngine) -> ExecutorEvent:
        assert self._gate is not None
        if action.needed:
            log_event(authority_events.ORDER_DRAINING, upstream=self.executor.upstream)
            self._gate.begin_change()
            while not self._gate.is_idle():
                await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return Drained(op=action.op)

    async def _apply(self, action: ApplyOrder) -> ExecutorEvent:
        if time.monotonic() > action.send_before_s:
            return OrderNotSent(op=action.op)
        event = (
            authority_events.ORDER_REPAIRED
            if action.repair
            else authority_events.ORDER_SENT
        )
        order = action.order
        log_event(event, upstream=self.executor.upstream, sequence=order.sequence)
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                await self._engine.put_order(_make_engine_order(action))
        except UpstreamError as error:
            if error.status != HTTP_CONFLICT:
                return OrderInDoubt(op=action.op)
            log_event(
                authority_events.ORDER_REFUSED,
                upstream=self.executor.upstream,
                sequence=order.sequence,
            )
            self._metrics.orders.inc({"result": "refused_by_engine"})
            return OrderRefused(op=action.op)
        except TimeoutError:
            return OrderInDoubt(op=action.op)
        return OrderApplied(op=action.op)

    async def _read_engine(self, action: ReadEngine) -> ExecutorEvent:
        try:
            async with asyncio.timeout(ENGINE_READ_TIMEOUT_S):
                value = await self._engine.read_order()
            state = EngineState(
                role=EngineRole(value["role"]),
                models=frozenset(value["models"]),
                adapters=frozenset(value.get("adapters", ())),
            )
        except (UpstreamError, TimeoutError, KeyError, ValueError, BaseValidationError):
            return ReadFailed(op=action.op)
        return EngineRead(op=action.op, state=state)


def _make_engine_order(action: ApplyOrder) -> dict[str, Any]:
    change = action.order.change
    body: dict[str, Any] = {
        "sequence": action.order.sequence,
        "fencing": action.engine_fencing,
    }
    if change.role is not None:
        body["role"] = change.role.value
    if change.load:
        body["load"] = list(change.load)
    if change.unload:
        body["unload"] = list(change.unload)
    return body
