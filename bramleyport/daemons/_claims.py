"""Write claims to the object API in batches."""

import asyncio
import time
import uuid
from dataclasses import dataclass, field, replace
from typing import Final

from result import Err, Ok, Result

from bramleyport.claims import (
    SHARD_COUNT,
    ClaimChange,
    Decision,
    Shard,
    apply_changes,
    choose_shard,
    read_shard,
    write_shard,
)
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreError,
    StoreFailure,
)

BATCH_DELAY_S: Final = 0.02
MAX_TRIES: Final = 8

ClaimResult = Result[Decision, StoreError]


@dataclass(slots=True)
class PendingShard:
    """Hold the changes that wait for the next write of one shard."""

    changes: list[tuple[ClaimChange, asyncio.Future[ClaimResult]]] = field(
        default_factory=list
    )
    task: asyncio.Task[None] | None = None


class ClaimWriter:
    """Batch claim changes by shard and write them conditionally."""

    def __init__(self, client: ObjectClient) -> None:
        self._client = client
        self._pending = [PendingShard() for _ in range(SHARD_COUNT)]

    async def change(self, change: ClaimChange) -> ClaimResult:
        """Apply a change durably and return its decision."""
        shard = choose_shard(change.key)
        pending = self._pending[shard]
        future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        pending.changes.append((change, future))
        if pending.task is None:
            pending.task = asyncio.ensure_future(self._flush(shard, pending))
        return await future

    async def _flush(self, shard: int, pending: PendingShard) -> None:
        try:
            while pending.changes:
                await asyncio.sleep(BATCH_DELAY_S)
                batch, pending.changes = pending.changes, []
                result = await self._write(shard, [change for change, _ in batch])
                for index, (_, future) in enumerate(batch):
                    if not future.done():
                        future.set_result(_pick(result, index))
        finally:
            pending.task = None

    async def _write(
        self, shard: int, changes: list[ClaimChange]
    ) -> Result[list[Decision], StoreError]:
        name = ObjectName(f"shard-{shard:03d}")
        result: Result[list[Decision], StoreError] = Err(_give_up(name))
        for _ in range(MAX_TRIES):
            current = await self._client.get(Kind.CLAIMS, name)
            stored: StoredObject | None = None
            if isinstance(current, Ok):
                stored = current.ok_value
            elif current.err_value.failure is not StoreFailure.NOT_FOUND:
                return Err(current.err_value)
            shard_before = read_shard(stored.spec) if stored else Shard()
            after, decisions = apply_changes(shard_before, changes, time.time())
            after = replace(after, write_token=uuid.uuid4().hex)
            written = await self._put(name, stored, after)
            if isinstance(written, Ok):
                return Ok(decisions)
            if written.err_value.failure is StoreFailure.UNKNOWN:
                if await self._find_token(name, after.write_token):
                    return Ok(decisions)
            elif written.err_value.failure is not StoreFailure.CONFLICT:
                return Err(written.err_value)
            result = Err(written.err_value)
        return result

    async def _put(
        self, name: ObjectName, stored: StoredObject | None, shard: Shard
    ) -> Result[StoredObject, StoreError]:
        document = write_shard(shard)
        if stored is None:
            return await self._client.create(Kind.CLAIMS, name, document, {})
        version = ObjectVersion(stored.version)
        return await self._client.update(Kind.CLAIMS, name, version, document, {})

    async def _find_token(self, name: ObjectName, token: str) -> bool:
        current = await self._client.get(Kind.CLAIMS, name)
        if isinstance(current, Err):
            return False
        return read_shard(current.ok_value.spec).write_token == token


def _pick(result: Result[list[Decision], StoreError], index: int) -> ClaimResult:
    if isinstance(result, Err):
        return Err(result.err_value)
    return Ok(result.ok_value[index])


def _give_up(name: ObjectName) -> StoreError:
    return StoreError(
        failure=StoreFailure.CONFLICT, step="claim", peer=name, message="contended"
    )
