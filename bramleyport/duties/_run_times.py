"""Estimate when upstreams began to run calls that are answered as a whole."""

from collections.abc import Hashable
from typing import Final, Generic, TypeVar

# Weight of a call that took longer than usual: its time at the upstream has a part in
# which it waited.
LONGER_WEIGHT: Final = 0.02
SHORTER_WEIGHT: Final = 0.5

K = TypeVar("K", bound=Hashable)


class RunTimes(Generic[K]):
    """Learn the usual run time of calls of one kind, without their waits."""

    def __init__(self) -> None:
        self._usual_s: dict[K, float] = {}

    def record(self, key: K, elapsed_s: float) -> None:
        """Record the time from the sending of a call to its answer."""
        usual_s = self._usual_s.get(key, elapsed_s)
        weight = LONGER_WEIGHT if elapsed_s > usual_s else SHORTER_WEIGHT
        self._usual_s[key] = usual_s + weight * (elapsed_s - usual_s)

    def estimate_begin(self, key: K, sent_s: float, ended_s: float) -> float:
        """Return when an upstream began to run a call, not before it was sent."""
        usual_s = self._usual_s.get(key, ended_s - sent_s)
        return max(sent_s, ended_s - usual_s)
