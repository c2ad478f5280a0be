"""Write claims to the object API in batches."""

import asyncio
import time
import uuid
from dataclasses import dataclass, field
from typing import Final, Protocol

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.claims import (
    ChangeAsked,
    ClaimChange,
    ClaimLedger,
    Decide,
    Decision,
    FailChange,
    LedgerEvent,
    ReadShard,
    Shard,
    ShardConflict,
    ShardFailed,
    ShardInDoubt,
    ShardRead,
    ShardWritten,
    WriteShard,
    choose_shard,
    read_shard,
    write_shard,
)
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoreError,
    StoreFailure,
)
from bramleyport.telemetry import events, log_event

BATCH_DELAY_S: Final = 0.02

ClaimResult = Result[Decision, StoreError]


class ClaimForwarder(Protocol):
    """Reach the entry that writes a shard."""

    async def forward(self, shard: int, change: ClaimChange) -> ClaimResult | None:
        """Return the writer's decision, or None to write the shard here."""
        ...


@dataclass(slots=True)
class ShardWriter:
    """Hold the ledger of one shard and the changes that wait for it."""

    ledger: ClaimLedger
    asked: list[ChangeAsked] = field(default_factory=list)
    futures: dict[int, asyncio.Future[ClaimResult]] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class ClaimWriter:
    """Batch claim changes by shard and write them conditionally."""

    def __init__(
        self, client: ObjectClient, forwarder: ClaimForwarder | None = None
    ) -> None:
        self._client = client
        self._forwarder = forwarder
        self._writers: dict[int, ShardWriter] = {}
        self._count = 0

    async def change(self, change: ClaimChange) -> ClaimResult:
        """Apply a change durably and return its decision."""
        shard = choose_shard(change.key)
        if self._forwarder is not None:
            forwarded = await self._forwarder.forward(shard, change)
            if forwarded is not None:
                return forwarded
        writer = self._writers.get(shard)
        if writer is None:
            writer = ShardWriter(ClaimLedger(lambda: uuid.uuid4().hex))
            self._writers[shard] = writer
        self._count += 1
        future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        writer.futures[self._count] = future
        writer.asked.append(ChangeAsked(number=self._count, change=change))
        if writer.task is None:
            writer.task = asyncio.ensure_future(self._flush(shard, writer))
        return await future

    async def _flush(self, shard: int, writer: ShardWriter) -> None:
        try:
            while writer.asked:
                await asyncio.sleep(BATCH_DELAY_S)
                pending: list[LedgerEvent] = list(writer.asked)
                writer.asked = []
                await self._drive(shard, writer, pending)
        except Exception as error:  # a fault must not leave a call waiting for ever
            log_event(events.HANDLER_FAILED, step="claim", error=repr(error))
        finally:
            # A shard is known only while its changes are written: keeping 1,024 of
            # half a megabyte would exceed the memory of an entry.
            writer.task = None
            self._writers.pop(shard, None)
            for future in writer.futures.values():
                if not future.done():
                    future.set_result(Err(_give_up(shard)))

    async def _drive(
        self, shard: int, writer: ShardWriter, pending: list[LedgerEvent]
    ) -> None:
        while pending:
            for action in writer.ledger.step(pending.pop(0), time.time()):
                if isinstance(action, ReadShard):
                    pending.append(await self._read(shard, action))
                elif isinstance(action, WriteShard):
                    pending.append(await self._write(shard, action))
                elif isinstance(action, Decide):
                    _settle(writer, action.number, Ok(action.decision))
                elif isinstance(action, FailChange):
                    _settle(writer, action.number, Err(_give_up(shard, action)))

    async def _read(self, shard: int, action: ReadShard) -> LedgerEvent:
        current = await self._client.get(Kind.CLAIMS, _name(shard))
        if isinstance(current, Err):
            if current.err_value.failure is StoreFailure.NOT_FOUND:
                return ShardRead(op=action.op, shard=Shard(), version=0)
            return ShardFailed(op=action.op)
        try:
            stored = read_shard(current.ok_value.spec)
        except (BaseValidationError, TypeError, ValueError) as error:
            log_event(events.HANDLER_FAILED, step="claim", error=repr(error))
            return ShardFailed(op=action.op)
        version = current.ok_value.version
        return ShardRead(op=action.op, shard=stored, version=version)

    async def _write(self, shard: int, action: WriteShard) -> LedgerEvent:
        name, document = _name(shard), write_shard(action.shard)
        if action.expected == 0:
            result = await self._client.create(Kind.CLAIMS, name, document, {})
        else:
            version = ObjectVersion(action.expected)
            result = await self._client.update(Kind.CLAIMS, name, version, document, {})
        if isinstance(result, Ok):
            return ShardWritten(op=action.op, version=result.ok_value.version)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return ShardConflict(op=action.op)
        if failure is StoreFailure.UNKNOWN:
            return ShardInDoubt(op=action.op)
        return ShardFailed(op=action.op)


def _settle(writer: ShardWriter, number: int, result: ClaimResult) -> None:
    future = writer.futures.pop(number)
    if not future.done():
        future.set_result(result)


def _name(shard: int) -> ObjectName:
    return ObjectName(f"shard-{shard:04d}")


def _give_up(shard: int, action: FailChange | None = None) -> StoreError:
    certain = action is not None and not action.in_doubt
    return StoreError(
        failure=StoreFailure.UNAVAILABLE if certain else StoreFailure.UNKNOWN,
        step="claim",
        peer=_name(shard),
        message="the claim shard could not be written",
    )
