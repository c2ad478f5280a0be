"""Concurrency limit of one upstream, adapted to its latency."""

from dataclasses import dataclass
from typing import Final

INITIAL_LIMIT: Final = 32.0
MIN_LIMIT: Final = 4.0
MAX_LIMIT: Final = 512.0
DECREASE_FACTOR: Final = 0.8
# Attempts that are in flight at a decrease still measure the load before it.
DECREASE_INTERVAL_S: Final = 1.0
SLOW_RATIO: Final = 2.0
# Growth of the minimum with each sample. After some minutes, an upstream that has
# become slower for good is compared with its new speed.
MIN_LATENCY_GROWTH: Final = 1.002


@dataclass(slots=True)
class ConcurrencyLimit:
    """Track a limit that rises additively and is cut when latency rises."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    min_latency_s: float | None = None
    _last_decrease_s: float = float("-inf")

    @property
    def has_room(self) -> bool:
        """Return whether another attempt fits under the limit."""
        return self.in_flight < int(self.limit)

    def observe(self, latency_s: float, *, late: bool, now_s: float) -> None:
        """Record the latency of one first chunk and whether it missed its target.

        Agents queue work that is not urgent, so a long wait within the target of its
        rank does not mean that concurrency is too high.
        """
        known = self.min_latency_s
        self.min_latency_s = (
            latency_s if known is None else min(latency_s, known * MIN_LATENCY_GROWTH)
        )
        if late and latency_s > SLOW_RATIO * self.min_latency_s:
            self.decrease(now_s)
        elif self.in_flight * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def decrease(self, now_s: float) -> None:
        """Cut the limit, at most once per DECREASE_INTERVAL_S."""
        if now_s - self._last_decrease_s < DECREASE_INTERVAL_S:
            return
        self._last_decrease_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
