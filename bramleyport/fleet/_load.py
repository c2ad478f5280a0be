"""Track the work that all gateways have sent to each upstream."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet._types import PromptPart

# Work whose end was never heard of stops counting after this time.
WORK_EXPIRY_S: Final = 10.0
# Reading work that should be over by far is taken to be decoding.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_MIN_S: Final = 1.0
# Effort after which a busy engine's speed is sampled without waiting for it to idle.
SAMPLE_COST: Final = 20_000
# Part of the forecast that is still expected of reading that is behind its forecast.
MIN_REST: Final = 0.1


@dataclass(slots=True, kw_only=True)
class Work:
    """Hold one request at one upstream."""

    request: RequestId
    upstream: UpstreamId
    priority: int
    # Time that the engine needs to read the prompt, without waiting.
    prefill_s: float
    # The work of reading, which the speed of an engine is learnt from.
    prefill_cost: float = 0.0
    started_s: float
    parts: tuple[PromptPart, ...] = ()
    # Time for which the upstream's link carries a KV cache for it.
    transfer_s: float = 0.0
    # The gateway that sent it; empty for this one.
    origin: str = ""
    # Set once the first event or the prefill's answer has come.
    reading: bool = True


@dataclass(frozen=True, slots=True)
class PrefillSample:
    """Hold how much an engine read in a time for which it always had prompts to read.

    Engines read several prompts by turns and by priority, so the time of one prompt
    says little of their speed.
    """

    prefill_cost: float
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class PrefilledWork:
    """Hold work whose prompt has been read, and a sample of the speed if one is due."""

    work: Work
    sample: PrefillSample | None


class UpstreamLoad:
    """Hold the work at one upstream, in the order in which it was sent."""

    def __init__(self) -> None:
        self._works: dict[RequestId, Work] = {}
        # Those whose prompts are not read yet.
        self._reading: dict[RequestId, Work] = {}
        # Since when the engine always had prompts to read, and what it has read since.
        self._busy_since_s = 0.0
        self._busy_effort = 0.0
        # When the engine last finished reading a prompt.
        self._advanced_s = 0.0
        # When the transfers over its link will have ended, and their time so far.
        self._link_free_s = 0.0
        self.transfer_s = 0.0

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._works.values())

    def add(self, work: Work) -> None:
        """Note work that is sent."""
        if not self._reading:
            self._restart_sample(work.started_s)
        self._works[work.request] = work
        self._reading[work.request] = work
        if work.transfer_s > 0:
            begin_s = max(self._link_free_s, work.started_s)
            self._link_free_s = begin_s + work.transfer_s
            self.transfer_s += work.transfer_s

    def finish_prefill(self, request: RequestId, now_s: float) -> PrefilledWork | None:
        """Note that a prompt has been read; return its work if that is news."""
        work = self._works.get(request)
        if work is None or not work.reading:
            return None
        work.reading = False
        del self._reading[request]
        self._advanced_s = now_s
        self._busy_effort += work.prefill_cost
        return PrefilledWork(work, self._take_sample(now_s))

    def remove(self, request: RequestId, now_s: float) -> Work | None:
        """Note that work has ended, and return it."""
        work = self._works.pop(request, None)
        if work is None:
            return None
        self._advanced_s = max(self._advanced_s, now_s)
        if self._reading.pop(request, None) is not None:
            # How much of it was read is not known.
            self._restart_sample(now_s)
        return work

    def forecast_wait(self, priority: int, now_s: float) -> float:
        """Return the seconds until the engine has read what goes before new work."""
        total_s = 0.0
        began_s = math.inf
        for work in self._reading.values():
            if work.priority > priority or self._is_overdue(work, now_s):
                continue
            total_s += work.prefill_s
            began_s = min(began_s, work.started_s)
        if not total_s:
            return 0.0
        began_s = max(self._advanced_s, began_s)
        return max(MIN_REST * total_s, total_s - max(0.0, now_s - began_s))

    def forecast_link(self, now_s: float) -> float:
        """Return the seconds until the transfers over its link have ended."""
        return max(0.0, self._link_free_s - now_s)

    def count_prefilling(self, now_s: float) -> int:
        """Return how many prompts the engine is expected to be reading still."""
        return sum(not self._is_overdue(work, now_s) for work in self._reading.values())

    def count_ahead(self, priority: int) -> int:
        """Return how many calls take a slot before new work of a priority."""
        return sum(work.priority <= priority for work in self._works.values())

    def count_decoding(self) -> int:
        """Return how many calls the engine runs, their prompts being read."""
        return len(self._works) - len(self._reading)

    def drop_expired(self, now_s: float) -> list[Work]:
        """Drop and return work whose end was never heard of."""
        lost = [
            work
            for work in self._works.values()
            if now_s - work.started_s > WORK_EXPIRY_S
        ]
        for work in lost:
            del self._works[work.request]
            self._reading.pop(work.request, None)
        return lost

    def _take_sample(self, now_s: float) -> PrefillSample | None:
        if self._reading and self._busy_effort < SAMPLE_COST:
            return None
        sample = PrefillSample(self._busy_effort, now_s - self._busy_since_s)
        self._restart_sample(now_s)
        return sample

    def _restart_sample(self, now_s: float) -> None:
        self._busy_since_s = now_s
        self._busy_effort = 0.0

    def _is_overdue(self, work: Work, now_s: float) -> bool:
        allowed_s = OVERDUE_FACTOR * work.prefill_s + OVERDUE_MIN_S
        return now_s - work.started_s > allowed_s


class LoadTracker:
    """Hold the load of all upstreams."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def remove(self, upstream: UpstreamId) -> None:
        """Drop the load of an upstream that is gone or has started again."""
        self._loads.pop(upstream, None)

    def drop_origin(self, origin: str, now_s: float) -> list[Work]:
        """Drop and return the work of a gateway that will not report its end."""
        dropped = [work for load in self._loads.values() for work in load]
        dropped = [work for work in dropped if work.origin == origin]
        for work in dropped:
            self.of(work.upstream).remove(work.request, now_s)
        return dropped

    def drop_expired(self, now_s: float) -> list[Work]:
        """Drop and return work whose end was never heard of."""
        return [
            work for load in self._loads.values() for work in load.drop_expired(now_s)
        ]
