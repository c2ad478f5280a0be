"""Wait for an upstream that is busy, but not for one that is silent."""

import asyncio
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.gateway._state import GatewayState

# A prompt that is read later than forecast by this much waits at an upstream that has
# failed, unless that one is busy.
FORECAST_FACTOR: Final = 3.0
FIRST_EVENT_SLACK_S: Final = 0.5
# An upstream that reads prompts answers some call within this time.
SILENT_S: Final = 0.8


class Patience:
    """Move the limit of one attempt while its upstream is alive and has a queue."""

    def __init__(
        self, state: GatewayState, upstream: UpstreamId, limit: asyncio.Timeout
    ) -> None:
        self._state = state
        self._upstream = upstream
        self._limit = limit
        self._timer: asyncio.TimerHandle | None = None

    def wait_first(self, until_s: float, deadline_s: float) -> None:
        """Set the limit for the first event; a busy upstream gets longer."""
        self._limit.reschedule(deadline_s)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(min(until_s, deadline_s), self._check)

    def wait_next(self, until_s: float) -> None:
        """Set the limit for the next event."""
        self.stop()
        self._limit.reschedule(until_s)

    def stop(self) -> None:
        """Leave the limit as it is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        heard_s = self._state.heard_s.get(self._upstream, 0.0)
        waiting = self._state.loads.of(self._upstream).count_prefilling(now_s)
        # The attempt itself is one of those that wait.
        if waiting > 1 and now_s - heard_s < SILENT_S:
            self._timer = loop.call_at(heard_s + SILENT_S, self._check)
            return
        self._limit.reschedule(now_s)
