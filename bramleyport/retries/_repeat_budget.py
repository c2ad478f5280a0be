"""Budget that limits repeats to a ratio of the requests in a sliding window."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Fraction of the bound that is used, as the windows of the peers and of whoever checks
# the bound are not aligned.
USABLE_FRACTION: Final = 0.8


def find_usable_fraction(replacing: int, processes: int) -> float:
    """Return the fraction of its share that a process may use which replaces another.

    That one may have used all of its own in the same window. If few processes have just
    replaced others, what the others leave unused covers that; if all have, they share
    what is left.
    """
    return min(USABLE_FRACTION, (1 - USABLE_FRACTION) * processes / max(1, replacing))


@dataclass(frozen=True, slots=True)
class UsableShare:
    """Describe which part of its share of the bound a process may use now."""

    fraction: float = USABLE_FRACTION
    # Part of the extra repeats that the process has been running for.
    accrued: float = 1.0


WHOLE_SHARE: Final = UsableShare()


def find_usable_share(
    age_s: float, window_s: float, replacing: int, processes: int
) -> UsableShare:
    """Return what a process may use that replaced another one `age_s` ago.

    Its extra repeats grow with its age until the window is full: in a series of short
    lives, all of them together have no more than one process that lives on.
    """
    if age_s >= window_s:
        return WHOLE_SHARE
    fraction = find_usable_fraction(replacing, processes)
    return UsableShare(fraction, accrued=max(0.0, age_s) / window_s)


class RepeatBudget:
    """Track the repeats for one service within this process's share of the bound."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def change_bounds(self, ratio: float, extra: float, window_s: float) -> None:
        """Apply other bounds to the requests and repeats that are known."""
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s

    def record_request(self, now_s: float) -> None:
        """Record a request of a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(
        self, now_s: float, processes: int | None, usable: UsableShare = WHOLE_SHARE
    ) -> bool:
        """Record a repeat if the usable part of this process's share allows it."""
        self._expire(now_s)
        if len(self._repeats) + 1 > self.allow(processes, usable):
            return False
        self._repeats.append(now_s)
        return True

    def give_back(self, taken_s: float) -> None:
        """Remove a repeat that was recorded but not made."""
        if taken_s in self._repeats:
            self._repeats.remove(taken_s)

    def postpone(self, taken_s: float, now_s: float) -> None:
        """Record that a repeat is made later than it was taken."""
        self.give_back(taken_s)
        self._repeats.append(now_s)

    def allow(self, processes: int | None, usable: UsableShare = WHOLE_SHARE) -> float:
        """Return how many repeats the window allows.

        Until it is known how many processes share the extra repeats, none of them may.
        """
        share = self._extra / processes if processes else 0.0
        extra = usable.accrued * share
        return usable.fraction * (self._ratio * len(self._requests) + extra)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
