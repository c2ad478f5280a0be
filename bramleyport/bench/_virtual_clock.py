"""Virtual clock of the benchmarks."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualClock:
    """Run callbacks in the order of their times, without waiting."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time, after those set earlier for the same time."""
        heapq.heappush(self._heap, (at_s, next(self._numbers), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, end_s: float) -> None:
        """Run all callbacks up to the end."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = end_s
