"""Bound repeats by a ratio of the requests in a sliding window."""

from collections import deque
from typing import Final

# Part of the allowance that is used; the windows of peers and of the judge slide apart.
SAFETY: Final = 0.8


class RepeatBudget:
    """Admit repeats for one service within this process's part of the bound."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float, processes: int) -> bool:
        """Count a repeat if the bound, shared among the processes, admits it."""
        self._expire(now_s)
        if len(self._repeats) + 1 > self.allow(processes):
            return False
        self._repeats.append(now_s)
        return True

    def allow(self, processes: int) -> float:
        """Return how many repeats the window admits."""
        share = self._extra / max(1, processes)
        return SAFETY * (self._ratio * len(self._requests) + share)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
