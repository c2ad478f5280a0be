"""Baseline queue policy: first come, first served."""

from collections import deque
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from bramleyport.core import AttemptId, Explanation, Rank
from bramleyport.queueing._base import QUEUE_POLICIES, Queued, QueuedWork, Refused

MAX_QUEUED: Final = 1000
FULL_RETRY_S: Final = 2.0


@QUEUE_POLICIES.register("fifo")
class FifoQueue:
    """Start attempts in order of arrival, whatever their rank and account."""

    def __init__(self, max_streams: int) -> None:
        self._items: deque[QueuedWork] = deque()
        self._running: set[AttemptId] = set()
        self._max_streams = max_streams

    def offer(self, item: QueuedWork, now_s: float) -> Queued | Refused:
        """Queue or refuse an attempt."""
        if len(self._items) >= MAX_QUEUED:
            return Refused(Explanation(reason="queue_full"), FULL_RETRY_S)
        self._items.append(item)
        return Queued(Explanation(reason="fifo"))

    def take(self, now_s: float, free_slots: int) -> list[QueuedWork]:
        """Remove and return the attempts to start now."""
        count = min(free_slots, len(self._items))
        reason = Explanation(reason="fifo")
        taken = [
            replace(self._items.popleft(), explanation=reason) for _ in range(count)
        ]
        self._running.update(item.attempt for item in taken)
        return taken

    def expire(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the attempts that can no longer meet their deadline."""
        expired = [item for item in self._items if item.deadline_s <= now_s]
        if expired:
            attempts = {item.attempt for item in expired}
            self._items = deque(i for i in self._items if i.attempt not in attempts)
        return expired

    def finish(self, attempt: AttemptId, now_s: float) -> None:
        """Remove a running attempt that has ended."""
        self._running.discard(attempt)

    def cancel(self, attempt: AttemptId) -> bool:
        """Remove a queued attempt and return whether it was queued."""
        before = len(self._items)
        self._items = deque(i for i in self._items if i.attempt != attempt)
        return len(self._items) < before

    def observe_interval(self, interval_s: float, now_s: float) -> None:
        """Ignore the interval: this policy does not adapt to the upstream's speed."""

    def forecast_wait(self, now_s: float) -> Mapping[Rank, float]:
        """Return the seconds that new work of each rank would wait."""
        queued_s = sum(item.prefill_s + item.decode_s for item in self._items)
        wait_s = queued_s / max(1, self._max_streams)
        return dict.fromkeys(Rank, wait_s)

    def __len__(self) -> int:
        return len(self._items)
