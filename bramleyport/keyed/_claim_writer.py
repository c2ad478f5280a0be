"""Batched writes of claims to the logs in the object API."""

import asyncio
import time
import uuid
from dataclasses import dataclass, field, replace
from typing import Any, Final, Protocol

from result import Err, Ok, Result

from bramleyport.claims import (
    ChangeRequested,
    ChangesRequested,
    ClaimChange,
    ClaimDecisionKind,
    ClaimLog,
    ClaimRequest,
    Decision,
    LogAction,
    LogEvent,
    ReadFirstNumber,
    ReadSegment,
    ReportDecision,
    Trim,
    WriteSegment,
    choose_log,
)
from bramleyport.keyed._claim_store import ClaimStore, name_log
from bramleyport.objectapi import ObjectClient, StoreError, StoreFailure
from bramleyport.telemetry import claim_events, events, log_event

BATCH_DELAY_S: Final = 0.02
# 64 logs with one write per 0.45 s each make 142 writes/s. This leaves at least 50 of
# the store's 200 writes/s for leases, orders and status. A short burst is allowed, so
# writes to a seldom used log are not delayed.
WRITE_INTERVAL_S: Final = 0.45
WRITE_BURST: Final = 4.0
# Above this size the least recently used logs are evicted, and reloaded when needed.
MAX_HELD_BYTES: Final = 12_000_000

ClaimResult = Result[Decision, StoreError]


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardResult:
    """Describe the result of forwarding a change to another entry."""

    decision: Decision | None = None
    # Whether the writer may have recorded the change, now or later.
    in_doubt: bool = False
    # Whether the store failed rather than the writer.
    refused: bool = False


class ClaimForwarder(Protocol):
    """Forward changes to the entry that writes their log."""

    async def forward(self, log: int, change: ClaimChange) -> ForwardResult:
        """Return the writer's decision, or none if this entry must write the change."""
        ...


class WriteLimiter:
    """Limit the rate of writes to one log by a token bucket."""

    def __init__(self) -> None:
        self._tokens = WRITE_BURST
        self._counted_s = time.monotonic()

    async def wait(self) -> None:
        """Wait until the next write is due."""
        now_s = time.monotonic()
        refill = (now_s - self._counted_s) / WRITE_INTERVAL_S
        self._tokens = min(WRITE_BURST, self._tokens + refill) - 1
        self._counted_s = now_s
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens * WRITE_INTERVAL_S)


@dataclass(slots=True)
class LogWriter:
    """Track one log and the changes that wait to be written to it."""

    log: ClaimLog
    limiter: WriteLimiter = field(default_factory=WriteLimiter)
    requested: list[ChangeRequested] = field(default_factory=list)
    futures: dict[int, asyncio.Future[ClaimResult]] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class ClaimWriter:
    """Batch claim changes by log and append them conditionally."""

    def __init__(
        self, client: ObjectClient, forwarder: ClaimForwarder | None = None
    ) -> None:
        self._store = ClaimStore(client)
        self._forwarder = forwarder
        # Ordered by last use.
        self._writers: dict[int, LogWriter] = {}
        self._trims: set[asyncio.Task[Any]] = set()
        self._count = 0

    async def change(self, change: ClaimChange) -> ClaimResult:
        """Record a change durably, through the log's writer or from this process."""
        log = choose_log(change.key)
        in_doubt = False
        if self._forwarder is not None:
            forwarded = await self._forwarder.forward(log, change)
            if forwarded.decision is not None:
                return Ok(await self._add_answer(log, change, forwarded.decision))
            in_doubt = forwarded.in_doubt
            if forwarded.refused:
                return Err(_make_write_error(log, in_doubt=in_doubt))
        result = await self.write(change)
        if isinstance(result, Ok):
            return Ok(await self._add_answer(log, change, result.ok_value))
        if in_doubt:
            # The writer may still record the change that this process could not write.
            return Err(replace(result.err_value, failure=StoreFailure.UNKNOWN))
        return result

    async def write(self, change: ClaimChange) -> ClaimResult:
        """Record a change durably from this process."""
        log = choose_log(change.key)
        writer = self._writers.pop(log, None)
        if writer is None:
            writer = LogWriter(ClaimLog(lambda: uuid.uuid4().hex))
        self._writers[log] = writer
        self._count += 1
        future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        writer.futures[self._count] = future
        writer.requested.append(ChangeRequested(number=self._count, change=change))
        if writer.task is None:
            writer.task = asyncio.ensure_future(self._flush(log, writer))
        return await future

    async def _add_answer(
        self, log: int, change: ClaimChange, decision: Decision
    ) -> Decision:
        needs_answer = (
            isinstance(change, ClaimRequest)
            and decision.kind is ClaimDecisionKind.STORED
        )
        if not needs_answer:
            return decision
        found = await self._store.read_answer(log, decision.segment, change.key)
        answer = found.ok_value if isinstance(found, Ok) else None
        if answer is None:
            log_event(claim_events.CLAIM_ANSWER_UNREADABLE, log=log, key=change.key)
        return replace(decision, answer=answer)

    async def _flush(self, log: int, writer: LogWriter) -> None:
        try:
            while writer.requested:
                await asyncio.sleep(BATCH_DELAY_S)
                await writer.limiter.wait()
                requested, writer.requested = tuple(writer.requested), []
                loads = writer.log.loads
                await self._drive(log, writer, ChangesRequested(changes=requested))
                if writer.log.loads > loads:
                    claims = writer.log.index.count
                    log_event(claim_events.CLAIM_LOG_LOADED, log=log, claims=claims)
        except Exception as error:  # no call may wait forever after a fault
            log_event(events.HANDLER_FAILED, step="claim", error=repr(error))
            self._writers.pop(log, None)
        finally:
            writer.task = None
            for future in writer.futures.values():
                if not future.done():
                    future.set_result(Err(_make_write_error(log, in_doubt=True)))
            writer.futures.clear()
            writer.requested = []
            self._evict()

    def _evict(self) -> None:
        total_bytes = sum(writer.log.bytes_held for writer in self._writers.values())
        for log, writer in list(self._writers.items()):
            if total_bytes <= MAX_HELD_BYTES:
                return
            if writer.task is None:
                total_bytes -= writer.log.bytes_held
                del self._writers[log]

    async def _drive(self, log: int, writer: LogWriter, event: LogEvent) -> None:
        pending = [event]
        while pending:
            for action in writer.log.step(pending.pop(0), time.time()):
                reply = await self._execute(log, writer, action)
                if reply is not None:
                    pending.append(reply)

    async def _execute(
        self, log: int, writer: LogWriter, action: LogAction
    ) -> LogEvent | None:
        if isinstance(action, ReadFirstNumber):
            return await self._store.read_first(log, action)
        if isinstance(action, ReadSegment):
            return await self._store.read(log, action)
        if isinstance(action, WriteSegment):
            return await self._store.write(log, action)
        if isinstance(action, Trim):
            task = asyncio.ensure_future(self._store.trim(log, action.first))
            self._trims.add(task)
            task.add_done_callback(self._trims.discard)
        elif isinstance(action, ReportDecision):
            _complete(writer, action.number, Ok(action.decision))
        else:
            failed = Err(_make_write_error(log, in_doubt=action.in_doubt))
            _complete(writer, action.number, failed)
        return None


def _complete(writer: LogWriter, number: int, result: ClaimResult) -> None:
    future = writer.futures.pop(number)
    if not future.done():
        future.set_result(result)


def _make_write_error(log: int, *, in_doubt: bool) -> StoreError:
    return StoreError(
        failure=StoreFailure.UNKNOWN if in_doubt else StoreFailure.UNAVAILABLE,
        step="claim",
        peer=name_log(log),
        message="the claim log could not be written",
    )
