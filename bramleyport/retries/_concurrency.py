"""Concurrency limit of one upstream, adapted to its latency."""

from dataclasses import dataclass
from typing import Final

INITIAL_LIMIT: Final = 32.0
MIN_LIMIT: Final = 4.0
MAX_LIMIT: Final = 512.0
DECREASE_FACTOR: Final = 0.8
# One decrease per round: the attempts in flight at a decrease all show the old load.
DECREASE_INTERVAL_S: Final = 1.0
SLOW_RATIO: Final = 2.0
# The minimum rises slowly, so that an upstream that became slower for good is
# measured against its new speed after some minutes.
MINIMUM_RISE: Final = 1.002


@dataclass(slots=True)
class ConcurrencyLimit:
    """Raise the limit additively and cut it when latency leaves its minimum."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    minimum: float | None = None
    _decreased_s: float = float("-inf")

    @property
    def has_room(self) -> bool:
        """Return whether another attempt fits under the limit."""
        return self.in_flight < int(self.limit)

    def observe(self, latency: float, *, late: bool, now_s: float) -> None:
        """Take the latency of one first chunk and whether it missed its target.

        Work that may wait is queued at the agent by design, so a long wait within the
        target of its rank is no sign of too much concurrency.
        """
        known = self.minimum
        self.minimum = latency if known is None else min(latency, known * MINIMUM_RISE)
        if late and latency > SLOW_RATIO * self.minimum:
            self.decrease(now_s)
        elif self.in_flight * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def decrease(self, now_s: float) -> None:
        """Cut the limit, at most once per round."""
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
