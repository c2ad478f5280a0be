"""Recently accepted cost per account, for fairness among accounts at the entry."""

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bramleyport.core import AccountId

DECAY_TIME_S: Final = 10.0
# The least recently used account is evicted first and then counts as unused, which can
# only favor it. Accounts with heavy use are recently used and so are not evicted.
MAX_TRACKED_ACCOUNTS: Final = 4096


@dataclass(slots=True, kw_only=True)
class DecayedSum:
    """Track a sum whose terms decay exponentially with their age."""

    value: float = 0.0
    updated_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Return the sum at the given time."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.value * math.exp(-elapsed_s / DECAY_TIME_S)

    def add(self, value: float, now_s: float) -> None:
        """Add a term."""
        self.value = self.read(now_s) + value
        self.updated_s = max(now_s, self.updated_s)


class AccountUsage:
    """Track the recently accepted cost of the accounts of one rank."""

    def __init__(self) -> None:
        self._total = DecayedSum()
        self._accounts: OrderedDict[AccountId, DecayedSum] = OrderedDict()

    def add(self, account: AccountId, cost_s: float, now_s: float) -> None:
        """Add the cost of accepted work to its account."""
        self._remove_idle(now_s)
        usage = self._accounts.get(account)
        if usage is None:
            usage = self._accounts[account] = DecayedSum(updated_s=now_s)
            if len(self._accounts) > MAX_TRACKED_ACCOUNTS:
                self._accounts.popitem(last=False)
        self._accounts.move_to_end(account)
        usage.add(cost_s, now_s)
        self._total.add(cost_s, now_s)

    def measure_relative_usage(
        self, account: AccountId, cost_s: float, now_s: float
    ) -> float:
        """Return an account's usage, new work included, relative to an equal share."""
        self._remove_idle(now_s)
        usage = self._accounts.get(account)
        own_s = cost_s + (0.0 if usage is None else usage.read(now_s))
        total_s = cost_s + self._total.read(now_s)
        accounts = len(self._accounts) + (1 if usage is None else 0)
        return own_s * accounts / total_s if total_s > 0 else 1.0

    def __len__(self) -> int:
        return len(self._accounts)

    def _remove_idle(self, now_s: float) -> None:
        while self._accounts:
            account, oldest = next(iter(self._accounts.items()))
            if now_s - oldest.updated_s <= 3 * DECAY_TIME_S:
                return
            del self._accounts[account]
