"""Track the work that all gateways have sent to each upstream."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from bramleyport.core import AccountId, RequestId, UpstreamId
from bramleyport.fleet._types import PromptPart

# Of work that belongs to no client account, or whose gateway names none.
NO_ACCOUNT: Final = AccountId("")
# Work is dropped if its end has not been reported after this time.
WORK_EXPIRY_S: Final = 10.0
# Prefill counts as finished after OVERDUE_FACTOR times its forecast plus OVERDUE_MIN_S.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_MIN_S: Final = 1.0
# Prefill cost after which the speed of a busy engine is sampled, without waiting until
# it is idle.
MIN_BUSY_SAMPLE_COST: Final = 20_000
# Fraction of the forecast that the remaining prefill is assumed to take at least, for
# prompts that take longer than forecast.
MIN_REMAINING_FRACTION: Final = 0.1


@dataclass(slots=True, kw_only=True)
class Work:
    """Describe the work of one request at one upstream."""

    request: RequestId
    upstream: UpstreamId
    priority: int
    # Time that the engine needs to prefill the prompt, without waiting.
    prefill_s: float
    # Prefill work in tokens of equal cost, from which the engine's speed is estimated.
    prefill_cost: float = 0.0
    started_s: float
    parts: tuple[PromptPart, ...] = ()
    # Time for which the upstream's link carries a KV cache for the request.
    transfer_s: float = 0.0
    account: AccountId = NO_ACCOUNT
    # The gateway that sent the request; empty for this one.
    origin: str = ""
    # True until the first event or the answer to the prefill arrives.
    prefilling: bool = True


@dataclass(frozen=True, slots=True)
class AccountRank:
    """Represent the work of one account in one rank."""

    account: AccountId
    priority: int


@dataclass(frozen=True, slots=True)
class PrefillSample:
    """Describe how much an engine prefilled while it always had prompts queued.

    Engines interleave the prefill of several prompts and order it by priority, so the
    time for a single prompt is a poor measure of their speed.
    """

    prefill_cost: float
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """Describe the place of new work among the prompts that an engine has."""

    # Until those ahead are prefilled.
    wait_s: float
    # Of that, for those of its rank and more urgent ones.
    ranked_s: float
    # How many less urgent ones would wait longer.
    behind: int


EMPTY_QUEUE: Final = QueueForecast(0.0, 0.0, 0)


@dataclass(frozen=True, slots=True)
class PrefilledWork:
    """Describe work whose prompt is prefilled, with a speed sample if one is due."""

    work: Work
    sample: PrefillSample | None


class UpstreamLoad:
    """Track the work at one upstream, in the order in which it was sent."""

    def __init__(self) -> None:
        self._works: dict[RequestId, Work] = {}
        # How many works each account has here.
        self.counts: Counter[AccountRank] = Counter()
        # The same for those that this gateway has sent itself.
        self.own_counts: Counter[AccountRank] = Counter()
        # Work whose prompts are not prefilled yet.
        self._prefilling: dict[RequestId, Work] = {}
        # Since when the engine always had prompts queued, and the cost of those that it
        # has prefilled since.
        self._busy_since_s = 0.0
        self._busy_cost = 0.0
        # When the engine last finished the prefill of a prompt.
        self._last_progress_s = 0.0
        # When the transfers over the engine's link end, and the sum of their times.
        self._link_free_at_s = 0.0
        self.transfer_s = 0.0

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._works.values())

    def add(self, work: Work) -> None:
        """Record work that is sent."""
        if not self._prefilling:
            self._restart_sample(work.started_s)
        self._forget(work.request)
        self._works[work.request] = work
        for counts in self._list_counts(work):
            counts[AccountRank(work.account, work.priority)] += 1
        self._prefilling[work.request] = work
        if work.transfer_s > 0:
            begin_s = max(self._link_free_at_s, work.started_s)
            self._link_free_at_s = begin_s + work.transfer_s
            self.transfer_s += work.transfer_s

    def finish_prefill(self, request: RequestId, now_s: float) -> PrefilledWork | None:
        """Record that a prompt is prefilled; return None if that was known."""
        work = self._works.get(request)
        if work is None or not work.prefilling:
            return None
        work.prefilling = False
        del self._prefilling[request]
        self._last_progress_s = now_s
        self._busy_cost += work.prefill_cost
        return PrefilledWork(work, self._take_sample(now_s))

    def remove(self, request: RequestId, now_s: float) -> Work | None:
        """Record that work has ended, and return it."""
        work = self._forget(request)
        if work is None:
            return None
        self._last_progress_s = max(self._last_progress_s, now_s)
        if self._prefilling.pop(request, None) is not None:
            # How much of the prompt was prefilled is unknown.
            self._restart_sample(now_s)
        return work

    def forecast_wait(
        self, priority: int, now_s: float, overhead_s: float = 0.0
    ) -> float:
        """Return the seconds until the prompts ahead of new work are prefilled."""
        return self.forecast_queue(priority, now_s, overhead_s).wait_s

    def forecast_queue(
        self, priority: int, now_s: float, overhead_s: float = 0.0
    ) -> QueueForecast:
        """Return the place of new work among the prompts that wait.

        An engine prefills one prompt to its end, even a less urgent one, and then the
        most urgent one that waits. The end of a prefill is known `overhead_s` later.
        """
        if not self._prefilling:
            return EMPTY_QUEUE
        waiting = self.list_prefilling(now_s)
        if not waiting:
            return EMPTY_QUEUE
        began_s = max(self._last_progress_s - overhead_s, min(map(_get_start, waiting)))
        running, end_s = _advance(waiting, began_s, now_s)
        rest_s = max(MIN_REMAINING_FRACTION * running.prefill_s, end_s - now_s)
        ahead_s, behind = 0.0, 0
        for work in waiting:
            if work.priority <= priority:
                ahead_s += work.prefill_s
            else:
                behind += 1
        ranked_s = ahead_s + (rest_s if running.priority <= priority else 0.0)
        return QueueForecast(rest_s + ahead_s, ranked_s, behind)

    def forecast_link(self, now_s: float) -> float:
        """Return the seconds until the transfers over the engine's link have ended."""
        return max(0.0, self._link_free_at_s - now_s)

    def count_prefilling(self, now_s: float) -> int:
        """Return how many prompts the engine presumably still has to prefill."""
        return len(self.list_prefilling(now_s))

    def list_prefilling(self, now_s: float) -> list[Work]:
        """Return the work whose prompts the engine presumably still prefills."""
        return [
            work
            for work in self._prefilling.values()
            if not self._is_overdue(work, now_s)
        ]

    def count_ahead(self, priority: int) -> int:
        """Return how many calls get a slot before new work of a priority."""
        return sum(work.priority <= priority for work in self._works.values())

    def count_decoding(self) -> int:
        """Return how many calls the engine decodes."""
        return len(self._works) - len(self._prefilling)

    def drop_expired(self, now_s: float) -> list[Work]:
        """Drop and return work whose end has not been reported in time."""
        expired = [
            work
            for work in self._works.values()
            if now_s - work.started_s > WORK_EXPIRY_S
        ]
        for work in expired:
            self._forget(work.request)
            if self._prefilling.pop(work.request, None) is not None:
                # How much of the prompt was prefilled is unknown.
                self._restart_sample(now_s)
        return expired

    def _forget(self, request: RequestId) -> Work | None:
        work = self._works.pop(request, None)
        if work is None:
            return None
        key = AccountRank(work.account, work.priority)
        for counts in self._list_counts(work):
            counts[key] -= 1
            if not counts[key]:
                del counts[key]
        return work

    def _list_counts(self, work: Work) -> list[Counter[AccountRank]]:
        return [self.counts] if work.origin else [self.counts, self.own_counts]

    def _take_sample(self, now_s: float) -> PrefillSample | None:
        if self._prefilling and self._busy_cost < MIN_BUSY_SAMPLE_COST:
            return None
        sample = PrefillSample(self._busy_cost, now_s - self._busy_since_s)
        self._restart_sample(now_s)
        return sample

    def _restart_sample(self, now_s: float) -> None:
        self._busy_since_s = now_s
        self._busy_cost = 0.0

    def _is_overdue(self, work: Work, now_s: float) -> bool:
        allowed_s = OVERDUE_FACTOR * work.prefill_s + OVERDUE_MIN_S
        return now_s - work.started_s > allowed_s


def _advance(waiting: list[Work], began_s: float, now_s: float) -> tuple[Work, float]:
    """Return the work that an engine runs now, and its end; remove what is finished.

    What it runs is removed from `waiting`, too.
    """
    at_s = began_s
    while len(waiting) > 1:
        known = [work for work in waiting if work.started_s <= at_s]
        running = min(known, key=_get_rank) if known else min(waiting, key=_get_start)
        waiting.remove(running)
        at_s = max(at_s, running.started_s) + running.prefill_s
        if at_s > now_s:
            return running, at_s
    running = waiting.pop()
    return running, max(at_s, running.started_s) + running.prefill_s


_get_rank: Final = attrgetter("priority", "started_s")
_get_start: Final = attrgetter("started_s")


class LoadTracker:
    """Track the load of all upstreams."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def discard(self, upstream: UpstreamId) -> None:
        """Drop the load of an upstream that is gone or has restarted."""
        self._loads.pop(upstream, None)

    def drop_origin(self, origin: str, now_s: float) -> list[Work]:
        """Drop and return the work of a gateway that will not report its end."""
        dropped = [work for load in self._loads.values() for work in load]
        dropped = [work for work in dropped if work.origin == origin]
        for work in dropped:
            self.of(work.upstream).remove(work.request, now_s)
        return dropped

    def drop_expired(self, now_s: float) -> list[Work]:
        """Drop and return work whose end has not been reported in time."""
        return [
            work for load in self._loads.values() for work in load.drop_expired(now_s)
        ]
