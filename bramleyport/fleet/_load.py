"""Track the work that all gateways have sent to each upstream."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet._types import PromptPart

# Work whose end was never heard of stops counting after this time.
LOST_WORK_S: Final = 10.0
# Reading work that should be over by far is taken to be decoding.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_MIN_S: Final = 1.0
# Part of the forecast that is still expected of reading that is behind its forecast.
MIN_REST: Final = 0.1


@dataclass(slots=True, kw_only=True)
class Work:
    """Hold one request at one upstream."""

    request: RequestId
    upstream: UpstreamId
    priority: int
    # Time that the engine needs to read the prompt, without waiting.
    read_s: float
    started_s: float
    parts: tuple[PromptPart, ...] = ()
    # Set once the first event or the prefill's answer has come.
    reading: bool = True


class UpstreamLoad:
    """Hold the work at one upstream, in the order in which it was sent."""

    def __init__(self) -> None:
        self._works: dict[RequestId, Work] = {}
        # When the engine last finished reading a prompt.
        self._advanced_s = 0.0

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._works.values())

    def add(self, work: Work) -> None:
        """Note work that is sent."""
        self._works[work.request] = work

    def finish_reading(self, request: RequestId, now_s: float) -> Work | None:
        """Note that a prompt has been read; return its work if it was not known."""
        work = self._works.get(request)
        if work is None or not work.reading:
            return None
        work.reading = False
        self._advanced_s = now_s
        return work

    def remove(self, request: RequestId, now_s: float) -> None:
        """Note that work has ended."""
        if self._works.pop(request, None) is not None:
            self._advanced_s = max(self._advanced_s, now_s)

    def forecast_wait(self, priority: int, now_s: float) -> float:
        """Return the seconds until the engine has read what goes before new work."""
        waiting = [
            work
            for work in self._works.values()
            if work.reading
            and work.priority <= priority
            and not self._is_overdue(work, now_s)
        ]
        if not waiting:
            return 0.0
        total_s = sum(work.read_s for work in waiting)
        began_s = max(self._advanced_s, min(work.started_s for work in waiting))
        return max(MIN_REST * total_s, total_s - max(0.0, now_s - began_s))

    def drop_lost(self, now_s: float) -> None:
        """Drop work whose end was never heard of."""
        lost = [
            work.request
            for work in self._works.values()
            if now_s - work.started_s > LOST_WORK_S
        ]
        for request in lost:
            del self._works[request]

    def _is_overdue(self, work: Work, now_s: float) -> bool:
        allowed_s = OVERDUE_FACTOR * work.read_s + OVERDUE_MIN_S
        return now_s - work.started_s > allowed_s


class LoadBook:
    """Hold the load of all upstreams."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the load of an upstream that is gone or has started again."""
        self._loads.pop(upstream, None)

    def drop_lost(self, now_s: float) -> None:
        """Drop work whose end was never heard of."""
        for load in self._loads.values():
            load.drop_lost(now_s)
