"""Queue policy that serves ranks by urgency and share, and accounts fairly."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Final

from sortedcontainers import SortedList

from bramleyport.core import AttemptId, Explanation, Rank, ServiceKind
from bramleyport.queueing._account_queue import FairAccountQueue, QueueEntry
from bramleyport.queueing._base import QUEUE_POLICIES, Queued, QueuedWork, Refused
from bramleyport.queueing._pacing import TokenPacer
from bramleyport.queueing._rank_usage import RankUsage
from bramleyport.queueing._shares import RankShares
from bramleyport.queueing._short_streams import ShortStreamTracker

# Bodies of queued requests are held in memory, so the queue is bounded. Each rank has
# its own limit, so that a flood of one rank can't fill the queue of another.
MAX_QUEUED_PER_RANK: Final = 1000
MIN_RETRY_S: Final = 1.0
MAX_RETRY_S: Final = 600.0
# Work without a cost estimate must still be charged; otherwise it could starve other
# work.
MIN_COST_S: Final = 0.001
MAX_COST_S: Final = 3600.0
# Fraction of the slots (1 / divisor) that is reserved for the urgent rank while urgent
# work arrives. An urgent request can't preempt a running one, and it may take seconds
# until a slot becomes free.
RESERVE_DIVISOR: Final = 8
RESERVE_WINDOW_S: Final = 60.0
# Smaller reserve of an upstream that got urgent work earlier, so that the first urgent
# request after an idle period does not find all slots taken by other ranks.
IDLE_RESERVE_DIVISOR: Final = 16


@QUEUE_POLICIES.register("ranked")
class RankedQueue:
    """Start the most urgent rank first, within the guaranteed shares of all ranks."""

    def __init__(self, max_streams: int) -> None:
        self._max_streams = max(1, max_streams)
        self._shares = RankShares()
        self._usage = RankUsage()
        self._ranks = {rank: FairAccountQueue() for rank in Rank}
        self._entries: dict[AttemptId, QueueEntry] = {}
        self._by_latest_start: Any = SortedList()
        self._dropped: list[QueuedWork] = []
        self._running: dict[AttemptId, Rank] = {}
        self._running_by_rank = dict.fromkeys(Rank, 0)
        self._pacing = TokenPacer()
        self._short_streams = ShortStreamTracker()
        self._held_back: list[Rank] = []
        self._prefill_until_s = dict.fromkeys(Rank, 0.0)
        self._last_urgent_s: float | None = None
        self._next_number = 0

    def offer(self, item: QueuedWork, now_s: float) -> Queued | Refused:
        """Queue or refuse an attempt."""
        self._advance(now_s)
        rank = item.work.rank
        self._shares.set_share(rank, item.work.targets.guaranteed_share)
        self._shares.record_demand(rank, now_s)
        self._pacing.set_target(rank, item.work.targets.between_tokens_s)
        if rank is Rank.URGENT:
            self._last_urgent_s = now_s
        entry = self._make_entry(item)
        wait_s = self._forecast(rank, item, entry.cost_s, now_s)
        numbers = {
            "wait_s": wait_s,
            "slack_s": entry.latest_start_s - now_s,
            "cost_s": entry.cost_s,
            "queued": float(len(self._ranks[rank])),
        }
        reason = self._find_refusal(entry, wait_s, now_s)
        if reason is not None:
            retry_s = wait_s - max(0.0, entry.latest_start_s - now_s)
            return Refused(
                Explanation(reason=reason, numbers=numbers), _clamp_retry_after(retry_s)
            )
        self._entries[item.attempt] = entry
        self._ranks[rank].add(entry)
        self._by_latest_start.add(_make_latest_start_key(entry))
        return Queued(Explanation(reason="in_time", numbers=numbers))

    def take(self, now_s: float, free_slots: int) -> list[QueuedWork]:
        """Remove and return the attempts to start now."""
        self._advance(now_s)
        self._drop_late(now_s)
        taken: list[QueuedWork] = []
        while len(taken) < free_slots:
            reserved = free_slots - len(taken) <= self._count_reserved_slots(now_s)
            allowed = [
                rank
                for rank in self._list_waiting()
                if self._may_start(rank, now_s, reserved=reserved)
            ]
            if not allowed:
                break
            taken.append(self._take_next(allowed, now_s))
        self._held_back = self._list_waiting() if len(taken) < free_slots else []
        return taken

    def expire(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the attempts that can no longer meet their deadline."""
        self._advance(now_s)
        self._drop_late(now_s)
        dropped, self._dropped = self._dropped, []
        return dropped

    def finish(self, attempt: AttemptId, now_s: float) -> None:
        """Remove a running attempt that has ended."""
        self._advance(now_s)
        self._short_streams.finish(attempt)
        rank = self._running.pop(attempt, None)
        if rank is not None:
            self._running_by_rank[rank] -= 1

    def cancel(self, attempt: AttemptId) -> bool:
        """Remove a queued attempt and return whether it was queued."""
        entry = self._entries.get(attempt)
        if entry is None:
            return False
        self._ranks[entry.item.work.rank].remove(entry)
        self._discard(entry)
        return True

    def observe_interval(self, interval_s: float, now_s: float) -> None:
        """Record the time between two tokens of one running attempt."""
        self._pacing.observe(interval_s, len(self._running), now_s)

    def forecast_wait(self, now_s: float) -> Mapping[Rank, float]:
        """Return the seconds that new work of each rank would wait."""
        self._advance(now_s)
        return {rank: self._forecast(rank, None, 0.0, now_s) for rank in Rank}

    def __len__(self) -> int:
        return len(self._entries)

    def _make_entry(self, item: QueuedWork) -> QueueEntry:
        cost_s = item.prefill_s + item.decode_s / self._max_streams
        if not cost_s >= MIN_COST_S:
            cost_s = MIN_COST_S
        work = item.work
        # Only work that would be late even with a short answer is dropped.
        min_run_s = item.prefill_s + max(0.0, item.decode_s - item.spread_s)
        latest_s = item.deadline_s - min_run_s
        if work.kind is ServiceKind.LANGUAGE:
            latest_s = min(latest_s, work.first_token_deadline_s - item.prefill_s)
        self._next_number += 1
        return QueueEntry(
            item=item,
            number=self._next_number,
            cost_s=min(cost_s, MAX_COST_S),
            latest_start_s=latest_s,
        )

    def _find_refusal(
        self, entry: QueueEntry, wait_s: float, now_s: float
    ) -> str | None:
        work = entry.item.work
        queue = self._ranks[work.rank]
        if entry.latest_start_s < now_s:
            return "too_late"
        if now_s + wait_s > entry.latest_start_s:
            return "wait_too_long"
        # An account may use at most as many places as are still free, so a flood of
        # one account always leaves room for the others.
        free = MAX_QUEUED_PER_RANK - len(queue)
        if free <= 0:
            return "queue_full"
        if queue.count_account(work.account) >= free:
            return "account_queue_full"
        return None

    def _may_start(self, rank: Rank, now_s: float, *, reserved: bool) -> bool:
        # A rank that is owed service starts in any case. Otherwise it would not get its
        # share while urgent work takes every slot that becomes free.
        if self._shares.is_owed(rank):
            return True
        if reserved and rank is not Rank.URGENT:
            return False
        next_entry = self._ranks[rank].peek()
        if next_entry is not None and self._short_streams.would_make_late(
            rank, next_entry.item.prefill_s
        ):
            return False
        prefill_s = self._prefill_until_s[rank] - now_s
        return not self._pacing.must_wait(rank, self._running_by_rank, prefill_s, now_s)

    def _take_next(self, allowed: list[Rank], now_s: float) -> QueuedWork:
        rank = self._shares.choose(allowed)
        waiting = self._list_waiting()
        owed_s = self._shares.owed_s[rank]
        entry = self._ranks[rank].take()
        self._usage.add(rank, entry.cost_s)
        self._discard(entry)
        self._shares.charge(rank, entry.cost_s, waiting, now_s)
        self._running[entry.item.attempt] = rank
        self._running_by_rank[rank] += 1
        pending_s = max(0.0, max(self._prefill_until_s.values()) - now_s)
        self._short_streams.start(entry.item, pending_s)
        self._add_prefill(rank, entry.item.prefill_s, now_s)
        numbers = {
            "owed_s": owed_s,
            "cost_s": entry.cost_s,
            "slack_s": entry.latest_start_s - now_s,
            "waiting": float(len(self)),
        }
        reason = "owed_share" if owed_s > 0 else "most_urgent"
        explanation = Explanation(reason=reason, numbers=numbers)
        return replace(entry.item, explanation=explanation)

    def _add_prefill(self, rank: Rank, prefill_s: float, now_s: float) -> None:
        # Engines prefill in order of priority, so a prefill delays its own rank and the
        # less urgent ones.
        for other in Rank:
            if other.priority >= rank.priority:
                start_s = max(now_s, self._prefill_until_s[other])
                self._prefill_until_s[other] = start_s + prefill_s

    def _forecast(
        self, rank: Rank, item: QueuedWork | None, cost_s: float, now_s: float
    ) -> float:
        prefill_s = max(0.0, self._prefill_until_s[rank] - now_s)
        if len(self._running) < self._max_streams and not self._list_waiting():
            return prefill_s
        share = self._shares.get_share(rank)
        share_below = self._shares.sum_demand_below(rank, now_s)
        rate = self._usage.forecast_rate(rank, share, share_below)
        queue = self._ranks[rank]
        own_s = queue.cost_s
        if item is not None:
            own_s = queue.forecast_cost_ahead(item.work.account, cost_s)
        above_s = sum(
            other.cost_s
            for other_rank, other in self._ranks.items()
            if other_rank.priority < rank.priority
        )
        wait_s = (own_s + above_s) / rate
        if share > 0:
            remaining_s = max(0.0, own_s - self._shares.owed_s[rank])
            wait_s = min(wait_s, remaining_s / (share * self._usage.speed))
        if len(self._running) >= self._max_streams:
            # The next slot becomes free after about the mean cost of an attempt.
            wait_s += self._usage.mean_cost_s / self._usage.speed
        return max(wait_s, prefill_s)

    def _drop_late(self, now_s: float) -> None:
        while self._by_latest_start and self._by_latest_start[0][0] < now_s:
            entry = self._entries[self._by_latest_start[0][2]]
            self._ranks[entry.item.work.rank].remove(entry)
            self._discard(entry)
            self._dropped.append(entry.item)

    def _discard(self, entry: QueueEntry) -> None:
        del self._entries[entry.item.attempt]
        self._by_latest_start.remove(_make_latest_start_key(entry))

    def _list_waiting(self) -> list[Rank]:
        return [rank for rank, queue in self._ranks.items() if len(queue)]

    def _count_reserved_slots(self, now_s: float) -> int:
        last_s = self._last_urgent_s
        if last_s is None:
            return 0
        if now_s - last_s > RESERVE_WINDOW_S:
            return self._max_streams // IDLE_RESERVE_DIVISOR
        return self._max_streams // RESERVE_DIVISOR

    def _advance(self, now_s: float) -> None:
        elapsed_s = self._usage.advance(now_s, saturated=self._is_saturated())
        self._shares.credit_held_back(self._held_back, elapsed_s * self._usage.speed)

    def _is_saturated(self) -> bool:
        usable = self._max_streams - self._max_streams // RESERVE_DIVISOR
        return len(self) > 0 and len(self._running) >= usable


def _make_latest_start_key(entry: QueueEntry) -> tuple[float, int, AttemptId]:
    return (entry.latest_start_s, entry.number, entry.item.attempt)


def _clamp_retry_after(retry_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
