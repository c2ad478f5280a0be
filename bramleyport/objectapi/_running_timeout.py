"""Time limit that counts only the time in which this process runs."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

# Polls within a limit. Each counts at most its share of the limit.
POLLS: Final = 20

T = TypeVar("T")


async def run_within(limit_s: float, coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine, and cancel it and raise TimeoutError after the limit.

    A process that stood still finds its timers due before it has read the answers
    that arrived meanwhile. Such a time counts as one poll.
    """
    task = asyncio.ensure_future(coroutine)
    try:
        for _ in range(POLLS):
            done, _ = await asyncio.wait({task}, timeout=limit_s / POLLS)
            if done:
                return task.result()
        raise TimeoutError
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
