"""Decide how many upstreams a service has to have in a zone.

The load is what all gateways have under way there, in upstreams that it would fill. It
is forecast over the time in which a new upstream boots. More are ordered at once, fewer
only one at a time, after a lower need has lasted: too few delay calls, whereas one too
many costs a little.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Explanation

# Fractions of the slots that may be in use before more upstreams are ordered, and up to
# which the rest may be used after one less is.
UP_FRACTION: Final = 0.7
DOWN_FRACTION: Final = 0.55
# Seconds of queued prefill that fill an engine like calls in all of its slots do.
FULL_BACKLOG_S: Final = 1.0
# Time by which a lower need has to outlast the boot of an upstream.
DOWN_MARGIN_S: Final = 5.0
# The load is a mean over the first span; its trend is taken over the second.
MEAN_S: Final = 2.0
TREND_S: Final = 10.0
# A trend of less time than this is chance.
MIN_TREND_S: Final = 4.0
# The forecast is at most this many times the load.
MAX_GROWTH: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ScaleBounds:
    """Describe how many upstreams a service may have in each zone."""

    least: int
    most: int
    # Time after which a new upstream serves.
    boot_s: float

    def clamp(self, count: int) -> int:
        """Return the count within the bounds.

        At least one stays if that is permitted: without upstreams there is no work
        under way, by which gateways could tell that more are needed.
        """
        return min(self.most, max(self.least, 1, count))


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneLoad:
    """Describe the upstreams of a service in a zone that serve, and their work."""

    serving: int
    # Requests under way as fractions of the slots, summed over upstreams.
    filled: float
    # Queued prefill, summed over engines.
    backlog_s: float = 0.0

    @property
    def upstreams(self) -> float:
        """Return how many upstreams the load would fill."""
        return max(self.filled, self.backlog_s / FULL_BACKLOG_S)


@dataclass(frozen=True, slots=True)
class ScaleChange:
    """Describe how many upstreams are wanted, and why."""

    desired: int
    # Upstreams more than ordered before; below 0 for fewer.
    added: int
    explanation: Explanation


class ScalePlan:
    """Track the load of a service in a zone and the number that was ordered."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._serving = 0
        # The number that the platform was told, or has by itself, and since when.
        self._ordered: int | None = None
        self._ordered_s = -math.inf
        # Since when fewer upstreams would do.
        self._lower_since_s: float | None = None

    def observe(self, load: ZoneLoad, now_s: float) -> None:
        """Record the load at one moment."""
        self._serving = load.serving
        self._samples.append((now_s, load.upstreams))
        while now_s - self._samples[0][0] > TREND_S:
            self._samples.popleft()

    def record_ordered(self, desired: int, now_s: float) -> None:
        """Record that the platform has accepted an order."""
        self._ordered, self._ordered_s = desired, now_s
        self._lower_since_s = None

    def choose(self, bounds: ScaleBounds, now_s: float) -> ScaleChange | None:
        """Return the number to order; None if the last one still holds."""
        if self._ordered is None:
            # The platform keeps to the bounds by itself, also while some restart.
            self._ordered = bounds.clamp(self._serving)
        self._adopt_excess(bounds, now_s)
        assert self._ordered is not None
        load = self._average(now_s)
        growth = max(0.0, self._find_slope()) * bounds.boot_s
        forecast = min(load + growth, MAX_GROWTH * load)
        needed = bounds.clamp(math.ceil(forecast / UP_FRACTION))
        lower = bounds.clamp(math.ceil(forecast / DOWN_FRACTION))
        desired, reason = self._decide(bounds, needed, lower, now_s)
        if desired == self._ordered:
            return None
        numbers: dict[str, float] = {
            "serving": self._serving,
            "ordered": self._ordered,
            "load": round(load, 3),
            "forecast": round(forecast, 3),
            "needed": needed,
        }
        return ScaleChange(
            desired,
            desired - self._ordered,
            Explanation(reason=reason, numbers=numbers),
        )

    def _decide(
        self, bounds: ScaleBounds, needed: int, lower: int, now_s: float
    ) -> tuple[int, str]:
        assert self._ordered is not None
        within = bounds.clamp(self._ordered)
        if needed > within:
            self._lower_since_s = None
            return needed, "load"
        if within != self._ordered:
            return within, "bounds"
        if lower >= self._ordered:
            self._lower_since_s = None
            return self._ordered, ""
        if self._lower_since_s is None:
            self._lower_since_s = now_s
        if now_s - self._lower_since_s < bounds.boot_s + DOWN_MARGIN_S:
            return self._ordered, ""
        return self._ordered - 1, "lower_need"

    def _adopt_excess(self, bounds: ScaleBounds, now_s: float) -> None:
        """Take over a higher number that an earlier holder must have ordered."""
        assert self._ordered is not None
        settled_s = self._ordered_s + bounds.boot_s + DOWN_MARGIN_S
        serving = min(self._serving, bounds.most)
        if serving > self._ordered and now_s >= settled_s:
            self.record_ordered(serving, now_s)

    def _average(self, now_s: float) -> float:
        recent = [load for at_s, load in self._samples if now_s - at_s <= MEAN_S]
        return sum(recent) / len(recent) if recent else 0.0

    def _find_slope(self) -> float:
        """Return by how much the load rises in a second, by least squares."""
        count = len(self._samples)
        if count < 2 or self._samples[-1][0] - self._samples[0][0] < MIN_TREND_S:
            return 0.0
        mean_s = sum(at_s for at_s, _ in self._samples) / count
        mean = sum(load for _, load in self._samples) / count
        spread = sum((at_s - mean_s) ** 2 for at_s, _ in self._samples)
        return (
            sum((at_s - mean_s) * (load - mean) for at_s, load in self._samples)
            / spread
        )
