"""Share the scarce capacity of a service fairly among client accounts.

Answers the pattern of one account that sends far more calls than a service can run, at
any number of gateways, while other accounts send few: first come, first served gives
nearly all capacity to whoever asks most often.

Each rank gets what more urgent ranks leave, and divides it by max-min fairness. What no
account claims goes to whoever asks.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import AccountId
from bramleyport.fleet._load import AccountRank
from bramleyport.queueing import bound_cost_ahead

# Calls that wait in a gateway, of all services together.
MAX_WAITING: Final = 4_096
# Fraction of the capacity that a rank may share however many urgent calls there are, so
# that none is refused altogether.
MIN_RANK_FRACTION: Final = 0.1
# Time after its last call for which an account still counts as asking: one that calls
# now and then should not find the queues of the upstreams full each time.
ASKING_S: Final = 30.0
# Accounts whose last calls are remembered: any two show that capacity is shared.
MAX_ASKING: Final = 2
# Gateways from which on a shortage is shared by quotas: so many would otherwise send
# their calls to the same free slots.
MIN_QUOTA_GATEWAYS: Final = 5
# Time after its last sign for which a shortage is assumed.
SHORTAGE_S: Final = 2.0
# Part of the free capacity that the quotas of all gateways take up before they know of
# the effect.
QUOTA_GAIN: Final = 0.5
# Part of its share that an account may have at other gateways and still be admitted
# here without a quota, as if they sent no more of its calls at the same time.
ELSEWHERE_FRACTION: Final = 0.25
# Allowance for forecasts of waits that are too short.
FORECAST_FACTOR: Final = 1.25
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityUse:
    """Describe the capacity of a service, and who occupies it at all gateways.

    The unit is a slot of a plain service, or a second of prefill of an engine.
    """

    capacity: float
    # By all work, also by work that belongs to no account.
    used: float
    # What nobody uses. Work that queues at one upstream leaves the others' part free.
    free: float
    occupied: Mapping[AccountRank, float]
    # What a call occupies on average.
    call_size: float
    # What of its account's share must be free for a call. The size of a prompt is not
    # known before its engine is, so that engines need none.
    entry_size: float
    # How many of the calls that wait here are forecast to be admitted each second.
    calls_per_s: float
    # By work of this gateway, of which it knows at once.
    own: float
    own_occupied: Mapping[AccountRank, float]
    gateways: int
    # Time after which a gateway knows of the work of others.
    delay_s: float
    # What may be used here beyond the capacity while only one account asks.
    extension: float


@dataclass(frozen=True, slots=True, eq=False)
class SharingCall:
    """Represent one call that asks for capacity."""

    key: AccountRank
    objective_s: float


@dataclass(frozen=True, slots=True)
class Admit:
    """Say that a call may be sent now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Say that a call waits for capacity, and how long it may."""

    max_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Say that a call would wait too long, and when to send it again."""

    retry_after_s: float


SharingDecision = Admit | Wait | Refuse


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountUse:
    """Describe what one account has of the capacity of a service, in one rank."""

    key: AccountRank
    occupied: float
    # Infinite if there is enough for all.
    share: float
    waiting: int


@dataclass(slots=True)
class _WaitingRank:
    """Represent the waiting calls of one rank, by account and oldest first."""

    count: int = 0
    accounts: dict[AccountId, dict[SharingCall, int]] = field(default_factory=dict)


def find_fair_share(capacity: float, demands: Iterable[float]) -> float:
    """Return the max-min fair share: what each account gets that asks for more.

    It is infinite if the capacity suffices for all.
    """
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = capacity / (len(ordered) - index)
        if demand > share:
            return share
        capacity -= demand
    return math.inf


class FairSharing:
    """Decide which calls of a service are sent now, and which ones wait."""

    def __init__(self) -> None:
        self._waiting: dict[int, _WaitingRank] = {}
        self._next_number = 0
        # Calls that were released and are not counted as work yet.
        self._released: dict[SharingCall, None] = {}
        self._released_counts: Counter[AccountRank] = Counter()
        # When the accounts that asked last did so.
        self._asked_s: OrderedDict[AccountId, float] = OrderedDict()
        # How much this gateway may use beyond the shares of accounts in a shortage.
        self._quota = 0.0
        self._quota_s = -math.inf
        self._short_s = -math.inf

    def __len__(self) -> int:
        return sum(rank.count for rank in self._waiting.values())

    def record_asking(self, accounts: Iterable[AccountId], now_s: float) -> None:
        """Record that accounts have calls at any gateway."""
        for account in accounts:
            self._asked_s[account] = now_s
            self._asked_s.move_to_end(account)
            if len(self._asked_s) > MAX_ASKING:
                self._asked_s.popitem(last=False)

    def is_shared(self, now_s: float) -> bool:
        """Return whether more than one account asks for the capacity."""
        recent = (now_s - asked_s <= ASKING_S for asked_s in self._asked_s.values())
        return sum(recent) > 1

    def is_short(self, now_s: float) -> bool:
        """Return whether calls wait, or could not be sent a moment ago."""
        return now_s - self._short_s <= SHORTAGE_S

    def has_free(self, use: CapacityUse, now_s: float) -> bool:
        """Return whether capacity is free here, or nothing is known to have any.

        In a shortage many gateways see the same free capacity, late. Each then uses
        what its own work leaves of a quota, which follows the free capacity.
        """
        if use.capacity <= 0:
            return True
        released = use.call_size * len(self._released)
        is_free = released < use.free
        if use.gateways < MIN_QUOTA_GATEWAYS:
            return is_free
        if is_free and not self.is_short(now_s):
            return True
        self._update_quota(use, now_s)
        return use.own + released + use.call_size <= self._quota

    def _update_quota(self, use: CapacityUse, now_s: float) -> None:
        """Let the quota take up, or give back, a part of what is free or lacking."""
        if now_s - self._quota_s > SHORTAGE_S:
            self._quota = use.own
            self._quota_s = now_s
        periods = (now_s - self._quota_s) / use.delay_s
        self._quota_s = now_s
        free = (use.capacity - use.used) / use.gateways
        part = use.capacity / use.gateways
        self._quota += QUOTA_GAIN * free * periods
        self._quota = max(0.0, min(self._quota, use.own + part + use.call_size))

    def decide(
        self,
        call: SharingCall,
        use: CapacityUse,
        *,
        max_wait_s: float,
        places: int,
        now_s: float,
    ) -> SharingDecision:
        """Decide on a call, by how long it can wait and the places that are left."""
        if self.has_free(use, now_s) or self._is_under_share(call.key, use, asking=1):
            return Admit()
        self._short_s = now_s
        wait_s = self.forecast_wait(call.key, use)
        # No account takes all places: it may hold as many as are left for others.
        is_full = self._count_waiting(call.key) >= places
        if FORECAST_FACTOR * wait_s > max_wait_s or is_full:
            return Refuse(self.forecast_retry(call.key, use))
        return Wait(max_wait_s)

    def add(self, call: SharingCall) -> None:
        """Record that a call waits."""
        rank = self._waiting.setdefault(call.key.priority, _WaitingRank())
        rank.accounts.setdefault(call.key.account, {})[call] = self._next_number
        rank.count += 1
        self._next_number += 1

    def remove(self, call: SharingCall) -> None:
        """Record that a call goes on, as it was released, or has left."""
        if call not in self._released:
            self._remove_waiting(call)
            return
        del self._released[call]
        self._released_counts[call.key] -= 1
        if not self._released_counts[call.key]:
            del self._released_counts[call.key]

    def release_next(
        self, measure: Callable[[SharingCall], CapacityUse], now_s: float
    ) -> SharingCall | None:
        """Release and return the next call that may be sent now, if any may.

        The most urgent rank goes first, then the account that occupies least, then the
        call that has waited longest.
        """
        if self._waiting:
            self._short_s = now_s
        for _, rank in sorted(self._waiting.items()):
            use = measure(next(iter(next(iter(rank.accounts.values())))))
            call = self._find_first(rank, use)
            if self.has_free(use, now_s) or self._is_under_share(call.key, use):
                self.release(call)
                return call
        return None

    def release(self, call: SharingCall) -> None:
        """Record that a waiting call may be sent."""
        self._remove_waiting(call)
        self._released[call] = None
        self._released_counts[call.key] += 1

    def forecast_wait(self, key: AccountRank, use: CapacityUse) -> float:
        """Return the seconds until a new call of an account would be released."""
        ahead = 0.0
        for priority, rank in self._waiting.items():
            if priority < key.priority:
                ahead += rank.count
            elif priority == key.priority:
                own = len(rank.accounts.get(key.account, ()))
                ahead += bound_cost_ahead(rank.count, own, len(rank.accounts), 1.0)
        return (ahead + 1.0) / use.calls_per_s if use.calls_per_s else math.inf

    def forecast_retry(self, key: AccountRank, use: CapacityUse) -> float:
        """Return after how many seconds a refused call should be sent again."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, self.forecast_wait(key, use)))

    def find_share(
        self, key: AccountRank, use: CapacityUse, *, asking: int = 0
    ) -> float:
        """Return the fair share in a rank, if an account asks for further calls."""
        demands = {key.account: asking * use.call_size}
        urgent = 0.0
        for other in self._list_keys(use):
            demand = self._occupied(other, use)
            demand += use.call_size * self._count_waiting(other)
            if other.priority == key.priority:
                demand += demands.get(other.account, 0.0)
                demands[other.account] = demand
            elif other.priority < key.priority:
                urgent += demand
        left = max(MIN_RANK_FRACTION * use.capacity, use.capacity - urgent)
        return find_fair_share(left, demands.values())

    def list_waiting(self) -> list[SharingCall]:
        """Return the calls that wait, the most urgent first."""
        return [
            call
            for _, rank in sorted(self._waiting.items())
            for calls in rank.accounts.values()
            for call in calls
        ]

    def describe(self, use: CapacityUse) -> list[AccountUse]:
        """Return what each account has of the capacity."""
        return [
            AccountUse(
                key=key,
                occupied=self._occupied(key, use),
                share=self.find_share(key, use),
                waiting=self._count_waiting(key),
            )
            for key in self._list_keys(use)
        ]

    def _is_under_share(
        self, key: AccountRank, use: CapacityUse, *, asking: int = 0
    ) -> bool:
        share = self.find_share(key, use, asking=asking)
        if use.gateways >= MIN_QUOTA_GATEWAYS:
            # Other gateways may be sending calls of the account at this moment.
            elsewhere = use.occupied.get(key, 0.0) - use.own_occupied.get(key, 0.0)
            if elsewhere > ELSEWHERE_FRACTION * min(share, use.capacity):
                return False
        return self._occupied(key, use) + use.entry_size <= share

    def _occupied(self, key: AccountRank, use: CapacityUse) -> float:
        released = use.call_size * self._released_counts.get(key, 0)
        return use.occupied.get(key, 0.0) + released

    def _count_waiting(self, key: AccountRank) -> int:
        rank = self._waiting.get(key.priority)
        return len(rank.accounts.get(key.account, ())) if rank else 0

    def _list_keys(self, use: CapacityUse) -> set[AccountRank]:
        waiting = {
            AccountRank(account, priority)
            for priority, rank in self._waiting.items()
            for account in rank.accounts
        }
        return waiting | use.occupied.keys() | self._released_counts.keys()

    def _find_first(self, rank: _WaitingRank, use: CapacityUse) -> SharingCall:
        """Return the oldest call of the account that occupies least."""
        oldest = [next(iter(calls.items())) for calls in rank.accounts.values()]
        call, _ = min(
            oldest, key=lambda item: (self._occupied(item[0].key, use), item[1])
        )
        return call

    def _remove_waiting(self, call: SharingCall) -> None:
        rank = self._waiting[call.key.priority]
        calls = rank.accounts[call.key.account]
        del calls[call]
        rank.count -= 1
        if not calls:
            del rank.accounts[call.key.account]
        if not rank.count:
            del self._waiting[call.key.priority]
