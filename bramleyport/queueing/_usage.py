"""Recent use of an upstream by rank, for forecasts of waiting time."""

import math
from typing import Final

from bramleyport.core import Rank

# Long enough to average over many answers, short enough to follow a ratio change.
WINDOW_S: Final = 10.0
# Until this much time was seen with work waiting, one cost second takes one second.
PRIOR_S: Final = 2.0
MIN_SPEED: Final = 0.1
MAX_SPEED: Final = 10.0
COST_GAIN: Final = 0.05
MIN_RATE: Final = 0.01


class RecentUsage:
    """Keep decayed sums of the cost taken by each rank."""

    def __init__(self) -> None:
        self.mean_cost_s = 0.0
        self._last_s: float | None = None
        self._taken_s = dict.fromkeys(Rank, 0.0)
        self._busy_taken_s = 0.0
        self._busy_s = 0.0
        self._was_saturated = False

    def advance(self, now_s: float, *, saturated: bool) -> float:
        """Let old use fade and return the elapsed time.

        A saturated queue has had work waiting for busy slots.
        """
        last_s = now_s if self._last_s is None else self._last_s
        elapsed_s = max(0.0, now_s - last_s)
        self._last_s = max(now_s, last_s)
        if elapsed_s > 0:
            self._was_saturated = saturated
        fade = math.exp(-elapsed_s / WINDOW_S)
        for rank in Rank:
            self._taken_s[rank] *= fade
        self._busy_taken_s *= fade
        self._busy_s = self._busy_s * fade + (elapsed_s if saturated else 0.0)
        return elapsed_s

    def add(self, rank: Rank, cost_s: float) -> None:
        """Count one item that was taken."""
        self._taken_s[rank] += cost_s
        self.mean_cost_s += COST_GAIN * (cost_s - self.mean_cost_s)
        # Filling empty slots in a burst says nothing about the speed of the upstream.
        if self._was_saturated:
            self._busy_taken_s += cost_s

    @property
    def speed(self) -> float:
        """Return the cost seconds taken per second while saturated."""
        speed = (self._busy_taken_s + PRIOR_S) / (self._busy_s + PRIOR_S)
        return min(MAX_SPEED, max(MIN_SPEED, speed))

    def forecast_rate(self, rank: Rank, share: float, share_below: float) -> float:
        """Return the cost seconds per second that a rank can expect.

        `share` is the rank's own guaranteed share and `share_below` the sum of those of
        the waiting ranks below it.
        """
        above_s = sum(
            taken_s
            for other, taken_s in self._taken_s.items()
            if other.priority < rank.priority
        )
        left = self.speed * (1.0 - share_below) - above_s / WINDOW_S
        return max(left, share * self.speed, MIN_RATE)
