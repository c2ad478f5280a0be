"""The clocks that deadlines, forecasts and leases count on."""

import asyncio
import time


def read_now() -> float:
    """Return the event loop's seconds, which never step."""
    return asyncio.get_event_loop().time()


def read_elapsed() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
