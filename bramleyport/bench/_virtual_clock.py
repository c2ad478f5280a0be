"""Clock of the simulated benchmarks."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualClock:
    """Represent a clock that jumps from one scheduled callback to the next."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; those of the same time run in the order of the calls."""
        heapq.heappush(self._heap, (at_s, next(self._numbers), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, end_s: float) -> None:
        """Run all callbacks up to the end and set the time to it."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = end_s
