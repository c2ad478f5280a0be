"""Limit the rate of calls to the platform API, and the repeats of failed ones."""

import math
from typing import Final

# Fraction of the permitted rate that the holder uses. The holder before it may have
# used some of the same second.
RATE_FRACTION: Final = 0.8
FIRST_DELAY_S: Final = 0.25
MAX_DELAY_S: Final = 4.0
DELAY_FACTOR: Final = 2.0


class CallPacing:
    """Space the calls of this process evenly."""

    def __init__(self, calls_per_s: float) -> None:
        self._interval_s = 1.0 / (RATE_FRACTION * calls_per_s)
        self._next_s = -math.inf

    def take(self, now_s: float) -> float:
        """Take the next call and return the seconds to wait for it."""
        at_s = max(now_s, self._next_s)
        self._next_s = at_s + self._interval_s
        return at_s - now_s


class Backoff:
    """Track when a call may be sent again after it failed."""

    def __init__(self) -> None:
        self._delay_s = FIRST_DELAY_S
        self.until_s = -math.inf

    def record_failure(self, now_s: float) -> None:
        """Record a failure; each one in a row doubles the delay."""
        self.until_s = now_s + self._delay_s
        self._delay_s = min(MAX_DELAY_S, DELAY_FACTOR * self._delay_s)
