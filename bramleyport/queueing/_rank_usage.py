"""Recent usage of an upstream by rank, for forecasts of waiting time."""

import math
from typing import Final

from bramleyport.core import Rank

# Long enough to average over many answers, short enough to follow a change of the mix
# of ranks.
DECAY_TIME_S: Final = 10.0
# Weight of the initial assumption that one second of cost takes one second.
PRIOR_S: Final = 2.0
MIN_SPEED: Final = 0.1
MAX_SPEED: Final = 10.0
COST_GAIN: Final = 0.05
MIN_RATE: Final = 0.01


class RankUsage:
    """Track exponentially decaying sums of the cost taken by each rank."""

    def __init__(self) -> None:
        self.mean_cost_s = 0.0
        self._last_s: float | None = None
        self._taken_s = dict.fromkeys(Rank, 0.0)
        self._saturated_taken_s = 0.0
        self._saturated_s = 0.0
        self._was_saturated = False

    def advance(self, now_s: float, *, saturated: bool) -> float:
        """Decay the sums and return the time since the last call.

        `saturated` tells that work was waiting while all usable slots were busy.
        """
        last_s = now_s if self._last_s is None else self._last_s
        elapsed_s = max(0.0, now_s - last_s)
        self._last_s = max(now_s, last_s)
        if elapsed_s > 0:
            self._was_saturated = saturated
        decay_factor = math.exp(-elapsed_s / DECAY_TIME_S)
        for rank in Rank:
            self._taken_s[rank] *= decay_factor
        self._saturated_taken_s *= decay_factor
        self._saturated_s = self._saturated_s * decay_factor + (
            elapsed_s if saturated else 0.0
        )
        return elapsed_s

    def add(self, rank: Rank, cost_s: float) -> None:
        """Add the cost of one item that was taken."""
        self._taken_s[rank] += cost_s
        self.mean_cost_s += COST_GAIN * (cost_s - self.mean_cost_s)
        # Items that fill idle slots in a burst do not show the speed of the upstream.
        if self._was_saturated:
            self._saturated_taken_s += cost_s

    @property
    def speed(self) -> float:
        """Return the seconds of cost taken per second while saturated."""
        speed = (self._saturated_taken_s + PRIOR_S) / (self._saturated_s + PRIOR_S)
        return min(MAX_SPEED, max(MIN_SPEED, speed))

    def forecast_rate(self, rank: Rank, share: float, share_below: float) -> float:
        """Return the seconds of cost per second that a rank can expect.

        `share` is the guaranteed share of the rank, and `share_below` the sum of the
        shares of the less urgent ranks that have demand.
        """
        above_s = sum(
            taken_s
            for other, taken_s in self._taken_s.items()
            if other.priority < rank.priority
        )
        available_rate = self.speed * (1.0 - share_below) - above_s / DECAY_TIME_S
        return max(available_rate, share * self.speed, MIN_RATE)
