"""Latency and deadline of the first chunk of an attempt."""

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from bramleyport.retries import FailureKind

if TYPE_CHECKING:
    from bramleyport.core import Work
    from bramleyport.dispatch._attempt import (
        AttemptResult,
        EntryAttempt,
        OnChunk,
    )


class FirstChunkTimer:
    """Measure the time to the first chunk of an attempt."""

    def __init__(self, on_chunk: "OnChunk", on_first: Callable[[float], None]) -> None:
        self.sent_s = time.monotonic()
        self.latency_s: float | None = None
        self.answer_timeout: asyncio.Timeout | None = None
        self._on_chunk = on_chunk
        self._on_first = on_first

    async def forward(self, chunk: bytes) -> None:
        """Pass a chunk on and record the latency of the first one."""
        if self.latency_s is None:
            self.latency_s = time.monotonic() - self.sent_s
            self._on_first(self.latency_s)
            if self.answer_timeout is not None:
                self.answer_timeout.reschedule(None)
        await self._on_chunk(chunk)


async def run_until_deadline(
    attempt: "EntryAttempt", work: "Work", timer: FirstChunkTimer
) -> "AttemptResult":
    """Run an attempt and fail it if it sends no chunk by the answer's deadline.

    An attempt that is not idempotent has no deadline: its answer is stored for callers
    that repeat the idempotency key.
    """
    if not work.idempotent:
        return await attempt.run(timer.forward)
    remaining_s = max(0.0, work.answer_deadline_s - time.monotonic())
    try:
        async with asyncio.timeout(remaining_s) as timer.answer_timeout:
            return await attempt.run(timer.forward)
    except TimeoutError:
        if timer.answer_timeout is None or not timer.answer_timeout.expired():
            raise
        attempt.cancel()
        return attempt.fail(FailureKind.TIMEOUT)
