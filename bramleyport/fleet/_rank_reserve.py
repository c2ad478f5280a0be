"""Keep scarce permits for the more urgent calls of a service."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Time over which the demand of more urgent calls is averaged.
DEMAND_WINDOW_S: Final = 2.0
# Fraction of the permits that less urgent calls may use however many urgent calls
# there are, so that none of their kinds is refused altogether.
MIN_FRACTION: Final = 0.1


@dataclass(slots=True)
class _Credit:
    """Represent the calls of one priority that may still be sent."""

    calls: float
    refilled_s: float


class RankReserve:
    """Decide whether a call may use a permit that more urgent calls will need.

    Answers the pattern of a service whose upstreams all limit their rate while calls
    of several ranks arrive: permits come one at a time, so without a reserve each goes
    to whichever call comes first.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, int]] = deque()
        self._credits: dict[int, _Credit] = {}

    def record_call(self, priority: int, now_s: float) -> None:
        """Record that a call arrived; 0 is the most urgent priority."""
        self._arrivals.append((now_s, priority))
        self._expire(now_s)

    def may_send(self, priority: int, capacity_per_s: float, now_s: float) -> bool:
        """Return whether the capacity suffices for a call and for more urgent ones."""
        spare_per_s = self._find_spare(priority, capacity_per_s, now_s)
        if spare_per_s is None:
            self._credits.pop(priority, None)
            return True
        most = max(1.0, spare_per_s)
        credit = self._credits.setdefault(priority, _Credit(0.0, now_s))
        elapsed_s = max(0.0, now_s - credit.refilled_s)
        credit.refilled_s = now_s
        credit.calls = min(most, credit.calls + elapsed_s * spare_per_s)
        return credit.calls >= 1.0

    def record_sent(self, priority: int) -> None:
        """Record that a call used a permit."""
        credit = self._credits.get(priority)
        if credit is not None:
            credit.calls -= 1.0

    def _find_spare(
        self, priority: int, capacity_per_s: float, now_s: float
    ) -> float | None:
        """Return the capacity left by more urgent calls; None if there are none."""
        self._expire(now_s)
        urgent = sum(other < priority for _, other in self._arrivals)
        if not urgent:
            return None
        least = MIN_FRACTION * capacity_per_s
        return max(least, capacity_per_s - urgent / DEMAND_WINDOW_S)

    def _expire(self, now_s: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now_s - DEMAND_WINDOW_S:
            self._arrivals.popleft()
