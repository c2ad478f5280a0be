"""Keep scarce permits for the more urgent calls of a service."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Time over which the demand of more urgent calls is averaged.
DEMAND_WINDOW_S: Final = 2.0
# Fraction of the permits that less urgent calls may use however many urgent calls
# there are, so that none of their kinds is refused altogether.
MIN_FRACTION: Final = 0.1
# Permits kept for more urgent calls, relative to their mean demand, which varies.
URGENT_HEADROOM: Final = 1.25
# Permits that less urgent calls leave, relative to the urgent calls that are expected
# until the next permit is added: calls arrive in bursts.
LEFT_FACTOR: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitSupply:
    """Describe the permits that the calls of a service share."""

    # Permits that are available now, and the most that are ever kept.
    available: float
    most: float
    # Permits that are added each second.
    per_s: float
    # Fraction of the calls of the service that these permits are for.
    demand_fraction: float = 1.0


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

    def may_send(self, priority: int, supply: PermitSupply, now_s: float) -> bool:
        """Return whether permits suffice for a call and for more urgent ones."""
        urgent_per_s = supply.demand_fraction * self._count_more_urgent(priority, now_s)
        if not urgent_per_s:
            self._credits.pop(priority, None)
            return True
        least_per_s = MIN_FRACTION * supply.per_s
        spare_per_s = max(least_per_s, supply.per_s - URGENT_HEADROOM * urgent_per_s)
        if not self._has_credit(priority, spare_per_s, now_s):
            return False
        expected = urgent_per_s / supply.per_s if supply.per_s else 1.0
        left = min(LEFT_FACTOR * expected, supply.most - 1.0)
        return supply.available >= 1.0 + left

    def _has_credit(self, priority: int, spare_per_s: float, now_s: float) -> bool:
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

    def _count_more_urgent(self, priority: int, now_s: float) -> float:
        """Return how many more urgent calls arrive each second."""
        self._expire(now_s)
        urgent = sum(other < priority for _, other in self._arrivals)
        return urgent / DEMAND_WINDOW_S

    def _expire(self, now_s: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now_s - DEMAND_WINDOW_S:
            self._arrivals.popleft()
