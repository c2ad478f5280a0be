"""The time of an attempt's first chunk, and the end of attempts without one."""

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from bramleyport.core import Execution
from bramleyport.retries import FailureKind

if TYPE_CHECKING:
    from bramleyport.core import Work
    from bramleyport.dispatch._attempt import (
        AttemptResult,
        EntryAttempt,
        OnChunk,
    )


class FirstChunk:
    """Pass chunks on and note how long the first one took."""

    def __init__(self, on_chunk: "OnChunk", on_first: Callable[[float], None]) -> None:
        self.sent_s = time.monotonic()
        self.latency_s: float | None = None
        self.limit: asyncio.Timeout | None = None
        self._on_chunk = on_chunk
        self._on_first = on_first

    async def take(self, chunk: bytes) -> None:
        """Pass a chunk on."""
        if self.latency_s is None:
            self.latency_s = time.monotonic() - self.sent_s
            self._on_first(self.latency_s)
            if self.limit is not None:
                self.limit.reschedule(None)
        await self._on_chunk(chunk)


async def run_until_deadline(
    attempt: "EntryAttempt", work: "Work", watch: FirstChunk
) -> "AttemptResult":
    """Run an attempt and fail it if it shows nothing by the answer's deadline.

    A call that must not be repeated runs on: its answer is kept for the repeated key.
    """
    if not work.idempotent:
        return await attempt.run(watch.take)
    left_s = max(0.0, work.answer_deadline_s - time.monotonic())
    try:
        async with asyncio.timeout(left_s) as watch.limit:
            return await attempt.run(watch.take)
    except TimeoutError:
        if watch.limit is None or not watch.limit.expired():
            raise
        attempt.cancel()
        return attempt.fail(FailureKind.TIMEOUT, Execution.UNKNOWN)
