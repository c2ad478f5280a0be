"""Restart of background jobs that ended with an error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bramleyport.telemetry import events, log_event

RESTART_DELAY_S: Final = 0.5

Job = Callable[[], Coroutine[Any, Any, None]]


async def supervise(job: Job) -> None:
    """Run a job, and restart it after an error, until it returns.

    Nothing awaits a background job, so without this an error would end it unnoticed
    while the process serves on.
    """
    while True:
        try:
            await job()
            return
        except Exception as error:  # logged; the process keeps serving
            name = getattr(job, "__qualname__", repr(job))
            log_event(events.HANDLER_FAILED, step=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
