"""Follow the median of the gateways' wall clocks, some of which may jump."""

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from bramleyport.core import ProcessId

# Samples of one clock at most. One that jumps, and jumps back before half of these were
# taken, changes nothing.
MAX_SAMPLES: Final = 31
SAMPLE_INTERVAL_S: Final = 1.0
# A clock of which nothing was told for this long does not count.
CLOCK_TIMEOUT_S: Final = 10.0
# Clocks that are followed; the median of more would not be better.
MAX_CLOCKS: Final = 64


class _ClockSamples:
    def __init__(self) -> None:
        self.offsets_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.sampled_s = -math.inf


class GroupClock:
    """Convert the steady time of this process to the wall time of all gateways.

    The steady clock has to go on while the host is suspended.
    """

    def __init__(self, own: ProcessId) -> None:
        self._own = own
        self._clocks: dict[ProcessId, _ClockSamples] = {}
        self._offset_s: float | None = None

    @property
    def offset_s(self) -> float | None:
        """Return what has to be added to steady time; None before the first sample."""
        return self._offset_s

    @property
    def own_deviation_s(self) -> float:
        """Return by how much the clock of this host was ahead when last sampled."""
        own = self._clocks.get(self._own)
        if own is None or self._offset_s is None:
            return 0.0
        return own.offsets_s[-1] - self._offset_s

    def record(self, process: ProcessId, wall_s: float, steady_s: float) -> None:
        """Record the wall time that a gateway told at a steady time here."""
        clock = self._clocks.get(process)
        if clock is None:
            if process != self._own and len(self._clocks) >= MAX_CLOCKS:
                return
            clock = self._clocks[process] = _ClockSamples()
        if steady_s - clock.sampled_s < SAMPLE_INTERVAL_S:
            return
        clock.sampled_s = steady_s
        clock.offsets_s.append(wall_s - steady_s)
        self._drop_silent(steady_s)
        self._offset_s = _find_median(
            _find_median(item.offsets_s) for item in self._clocks.values()
        )

    def convert(self, steady_s: float) -> float:
        """Return the wall time at a steady time, in Unix seconds."""
        assert self._offset_s is not None
        return steady_s + self._offset_s

    def _drop_silent(self, steady_s: float) -> None:
        self._clocks = {
            process: clock
            for process, clock in self._clocks.items()
            if steady_s - clock.sampled_s < CLOCK_TIMEOUT_S
        }


def _find_median(values: Iterable[float]) -> float:
    """Return the median; the module `statistics` takes too much memory."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
