"""The clock that deadlines and forecasts count on."""

import asyncio


def read_now() -> float:
    """Return the event loop's seconds, which never step."""
    return asyncio.get_event_loop().time()
