"""Time limit that counts only the time in which this process runs."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

# Polls within a limit. Each counts at most its share of the limit.
POLLS: Final = 20


@asynccontextmanager
async def limit_running_time(limit_s: float) -> AsyncIterator[None]:
    """Raise TimeoutError if the block takes longer, apart from times of standstill.

    A process that stood still finds its timers due before it has read what arrived
    meanwhile, so its peers are not shown to be silent. Such a time counts as one poll.
    """
    loop = asyncio.get_running_loop()
    polls_left = POLLS
    next_poll: asyncio.TimerHandle

    def poll() -> None:
        nonlocal polls_left, next_poll
        polls_left -= 1
        if polls_left:
            next_poll = loop.call_later(limit_s / POLLS, poll)
        else:
            limit.reschedule(loop.time())

    async with asyncio.timeout(None) as limit:
        next_poll = loop.call_later(limit_s / POLLS, poll)
        try:
            yield
        finally:
            next_poll.cancel()
