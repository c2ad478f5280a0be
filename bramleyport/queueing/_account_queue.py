"""Fair queue among the accounts of one rank, by cost.

This is start-time fair queueing: each account has a tag that grows by the cost of the
work taken from it, and the account with the lowest tag is next. Within an account the
earliest deadline is first.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any, Final

from sortedcontainers import SortedList

from bramleyport.core import AccountId, AttemptId
from bramleyport.queueing._base import QueuedWork

# The tag of an idle account is stored only while it is ahead of the rank's virtual
# time. The limit bounds memory use when very many accounts send one request each.
MAX_IDLE_TAGS: Final = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueEntry:
    """Describe one queued attempt with its cost and its latest start."""

    item: QueuedWork
    number: int
    cost_s: float
    latest_start_s: float


@dataclass(slots=True, kw_only=True)
class AccountBacklog:
    """Track the queued attempts of one account."""

    tag: float
    cost_s: float = 0.0
    order: Any = field(default_factory=SortedList)


class FairAccountQueue:
    """Queue the attempts of one rank, fair among its accounts."""

    def __init__(self) -> None:
        self.cost_s = 0.0
        self.count = 0
        self._virtual_time_s = 0.0
        self._active: dict[AccountId, AccountBacklog] = {}
        self._by_tag: Any = SortedList()
        self._idle_tags: OrderedDict[AccountId, float] = OrderedDict()
        self._entries: dict[AttemptId, QueueEntry] = {}

    def __len__(self) -> int:
        return self.count

    def count_account(self, account: AccountId) -> int:
        """Return how many attempts of an account are queued."""
        backlog = self._active.get(account)
        return 0 if backlog is None else len(backlog.order)

    def add(self, entry: QueueEntry) -> None:
        """Queue an attempt."""
        account = entry.item.work.account
        backlog = self._active.get(account)
        if backlog is None:
            tag = max(self._virtual_time_s, self._idle_tags.pop(account, 0.0))
            backlog = self._active[account] = AccountBacklog(tag=tag)
            self._by_tag.add((tag, account))
        backlog.order.add(_make_deadline_key(entry))
        backlog.cost_s += entry.cost_s
        self.cost_s += entry.cost_s
        self.count += 1
        self._entries[entry.item.attempt] = entry

    def peek(self) -> QueueEntry | None:
        """Return the attempt that is next without removing it."""
        if not self._by_tag:
            return None
        _, account = self._by_tag[0]
        return self._entries[self._active[account].order[0][2]]

    def take(self) -> QueueEntry:
        """Remove and return the next attempt and charge its account."""
        tag, account = self._by_tag[0]
        backlog = self._active[account]
        entry = self._entries[backlog.order[0][2]]
        self._virtual_time_s = max(self._virtual_time_s, tag)
        self._by_tag.discard((tag, account))
        backlog.tag = tag + entry.cost_s
        self._by_tag.add((backlog.tag, account))
        self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove an attempt without charging its account."""
        account = entry.item.work.account
        backlog = self._active[account]
        del self._entries[entry.item.attempt]
        backlog.order.remove(_make_deadline_key(entry))
        backlog.cost_s -= entry.cost_s
        self.cost_s = max(0.0, self.cost_s - entry.cost_s)
        self.count -= 1
        if not backlog.order:
            del self._active[account]
            self._by_tag.discard((backlog.tag, account))
            self._store_idle_tag(account, backlog.tag)
        if not self.count:
            # Clears the rounding error of many additions and subtractions.
            self.cost_s = 0.0

    def forecast_cost_ahead(self, account: AccountId, cost_s: float) -> float:
        """Return the cost that would be taken before new work of the account."""
        backlog = self._active.get(account)
        if backlog is None:
            own_s = max(0.0, self._idle_tags.get(account, 0.0) - self._virtual_time_s)
        else:
            own_s = max(0.0, backlog.tag - self._virtual_time_s) + backlog.cost_s
        return bound_cost_ahead(self.cost_s, own_s, len(self._active), cost_s)

    def _store_idle_tag(self, account: AccountId, tag: float) -> None:
        if tag <= self._virtual_time_s:
            return
        self._idle_tags[account] = tag
        if len(self._idle_tags) > MAX_IDLE_TAGS:
            self._idle_tags.popitem(last=False)


def bound_cost_ahead(queued: float, own: float, accounts: int, cost: float) -> float:
    """Return the most that a fair queue takes before new work of an account.

    Before it has its turn, each queued account is charged at most as much as its own.
    """
    return min(queued, own + accounts * (own + cost))


def _make_deadline_key(entry: QueueEntry) -> tuple[float, int, AttemptId]:
    return (entry.item.deadline_s, entry.number, entry.item.attempt)
