"""Rate limit of log events."""

import time
from dataclasses import dataclass
from typing import Final

WINDOW_S: Final = 10.0
# A process serves some dozen requests a second, whose log lines must all be kept so
# that each request can be explained.
MAX_PER_WINDOW: Final = 500


@dataclass(slots=True)
class _Window:
    started_s: float
    logged: int = 0
    suppressed: int = 0


class EventThrottle:
    """Decide which lines to log: a bounded number per event and time window."""

    def __init__(
        self, max_per_window: int = MAX_PER_WINDOW, window_s: float = WINDOW_S
    ) -> None:
        self._max = max_per_window
        self._window_s = window_s
        self._windows: dict[int, _Window] = {}

    def check(self, event: int, now_s: float | None = None) -> int | None:
        """Return the number of lines suppressed before this one, or None to drop it."""
        now_s = time.monotonic() if now_s is None else now_s
        window = self._windows.get(event)
        suppressed = 0
        if window is None or now_s - window.started_s >= self._window_s:
            suppressed = window.suppressed if window else 0
            window = self._windows[event] = _Window(now_s)
        if window.logged >= self._max:
            window.suppressed += 1
            return None
        window.logged += 1
        return suppressed
