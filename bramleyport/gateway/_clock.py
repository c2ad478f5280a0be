"""Read the clocks for deadlines, forecasts and leases."""

import asyncio
import time


def read_now() -> float:
    """Return the monotonic time of the event loop in seconds."""
    return asyncio.get_event_loop().time()


def read_boot_time() -> float:
    """Return monotonic time in seconds, including time while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
