"""Time out attempts whose upstream is inactive rather than busy."""

import asyncio
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.gateway._state import GatewayState

# A prefill that takes longer than this factor and slack allow on top of its forecast
# indicates a failed upstream, unless the upstream is busy with other prompts.
FORECAST_FACTOR: Final = 3.0
FIRST_EVENT_SLACK_S: Final = 0.5
# An upstream that is prefilling prompts sends an event of some call within this time.
INACTIVITY_TIMEOUT_S: Final = 0.8


class AttemptTimeout:
    """Extend the limit of an attempt while its upstream is active and has a queue."""

    def __init__(
        self, state: GatewayState, upstream: UpstreamId, limit: asyncio.Timeout
    ) -> None:
        self._state = state
        self._upstream = upstream
        self._limit = limit
        self._timer: asyncio.TimerHandle | None = None

    def expect_first_event(self, until_s: float, deadline_s: float) -> None:
        """Set the limit for the first event, extended while the upstream is busy."""
        self._limit.reschedule(deadline_s)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(min(until_s, deadline_s), self._check)

    def expect_next_event(self, until_s: float) -> None:
        """Set the limit for the next event."""
        self.stop()
        self._limit.reschedule(until_s)

    def stop(self) -> None:
        """Stop extending the limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        if self._limit.expired():
            # The check and the deadline were due in the same turn of the loop.
            return
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        last_received_s = self._state.last_received_s.get(self._upstream, 0.0)
        queued = self._state.loads.of(self._upstream).count_prefilling(now_s)
        # This attempt is itself counted among those in the queue.
        if queued > 1 and now_s - last_received_s < INACTIVITY_TIMEOUT_S:
            self._timer = loop.call_at(
                last_received_s + INACTIVITY_TIMEOUT_S, self._check
            )
            return
        self._limit.reschedule(now_s)
