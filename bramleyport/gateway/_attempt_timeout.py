"""Time out attempts whose upstream is inactive rather than busy."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from bramleyport.core import UpstreamId
from bramleyport.gateway._state import GatewayState

# A prefill that takes longer than this factor and slack allow on top of its forecast
# indicates a failed upstream, unless the upstream is busy with other prompts.
FORECAST_FACTOR: Final = 3.0
FIRST_EVENT_SLACK_S: Final = 0.5
# An upstream that is prefilling prompts sends an event of some call within this time.
INACTIVITY_TIMEOUT_S: Final = 0.8
# How often an attempt whose limit has passed is checked again while it is kept.
RECHECK_INTERVAL_S: Final = 0.25

# Bytes that have arrived when a limit is due are processed within this time.
ARRIVALS_S: Final = 0.01
# A check that is later than this shows that the event loop was blocked or its host
# suspended. Upstreams then get the time below to be heard.
BLOCKED_LOOP_S: Final = 0.1
AFTER_BLOCKED_LOOP_S: Final = 0.25


class Retry(Protocol):
    """Define how the retry of an attempt is assured before the attempt is given up."""

    def reserve(self) -> bool:
        """Reserve the retry, and return whether it is assured."""

    def release(self) -> None:
        """Give back the retry, since the attempt goes on."""


class AttemptTimeout:
    """Give up an attempt for its upstream's silence if its retry is assured.

    An attempt without an assured retry is kept until its deadline, since its upstream
    may still answer. Before a limit applies, the event loop processes what has arrived.
    """

    def __init__(
        self,
        state: GatewayState,
        upstream: UpstreamId,
        limit: asyncio.Timeout,
        retry: Retry,
    ) -> None:
        self._state = state
        self._upstream = upstream
        self._limit = limit
        self._retry = retry
        self._timer: asyncio.TimerHandle | None = None

    def expect_first_event(self, until_s: float, deadline_s: float) -> None:
        """Set the limit for the first event, extended while the upstream is busy."""
        self._set(until_s, deadline_s, self._check)

    def expect_next_data(self, until_s: float, deadline_s: float | None) -> None:
        """Set the limit for the next event, or for a whole answer."""
        self._retry.release()
        self._set(until_s, deadline_s, self._give_up)

    def stop(self) -> None:
        """Stop checking the limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set(
        self, due_s: float, deadline_s: float | None, check: Callable[[], None]
    ) -> None:
        self.stop()
        self._limit.reschedule(deadline_s)
        if deadline_s is None or due_s < deadline_s:
            self._arm(due_s, check)

    def _arm(self, due_s: float, check: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due_s, self._await_arrivals, due_s, check)

    def _await_arrivals(self, due_s: float, check: Callable[[], None]) -> None:
        """Check once the loop has processed what arrived before the limit was due."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        blocked = now_s - due_s > BLOCKED_LOOP_S
        check_s = now_s + (AFTER_BLOCKED_LOOP_S if blocked else ARRIVALS_S)
        self._timer = loop.call_at(check_s, self._check_unless_blocked, check_s, check)

    def _check_unless_blocked(self, due_s: float, check: Callable[[], None]) -> None:
        if asyncio.get_running_loop().time() - due_s > BLOCKED_LOOP_S:
            self._await_arrivals(due_s, check)
        else:
            check()

    def _check(self) -> None:
        now_s = asyncio.get_running_loop().time()
        last_received_s = self._state.last_received_s.get(self._upstream, 0.0)
        queued = self._state.loads.of(self._upstream).count_prefilling(now_s)
        # This attempt is itself counted among those in the queue.
        if queued > 1 and now_s - last_received_s < INACTIVITY_TIMEOUT_S:
            self._arm(last_received_s + INACTIVITY_TIMEOUT_S, self._check)
            return
        self._give_up()

    def _give_up(self) -> None:
        if self._limit.expired():
            # The check and the deadline were due in the same turn of the loop.
            return
        now_s = asyncio.get_running_loop().time()
        if self._retry.reserve():
            self._limit.reschedule(now_s)
        else:
            self._arm(now_s + RECHECK_INTERVAL_S, self._give_up)
