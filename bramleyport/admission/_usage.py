"""Recent accepted cost by account, for fairness at the entry."""

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bramleyport.core import AccountId

WINDOW_S: Final = 10.0
# An account outside the table counts as unused, which only ever favours it; the heavy
# accounts are the recently used ones and stay.
MAX_ACCOUNTS: Final = 4096


@dataclass(slots=True, kw_only=True)
class DecayedSum:
    """Hold a sum whose parts fade with their age."""

    value: float = 0.0
    last_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Return the sum as it is now."""
        elapsed_s = max(0.0, now_s - self.last_s)
        return self.value * math.exp(-elapsed_s / WINDOW_S)

    def add(self, value: float, now_s: float) -> None:
        """Add a part."""
        self.value = self.read(now_s) + value
        self.last_s = max(now_s, self.last_s)


class AccountUsage:
    """Keep the recent cost of the accounts of one rank."""

    def __init__(self) -> None:
        self._total = DecayedSum()
        self._accounts: OrderedDict[AccountId, DecayedSum] = OrderedDict()

    def add(self, account: AccountId, cost_s: float, now_s: float) -> None:
        """Count accepted work of an account."""
        self._forget_idle(now_s)
        own = self._accounts.get(account)
        if own is None:
            own = self._accounts[account] = DecayedSum(last_s=now_s)
            if len(self._accounts) > MAX_ACCOUNTS:
                self._accounts.popitem(last=False)
        self._accounts.move_to_end(account)
        own.add(cost_s, now_s)
        self._total.add(cost_s, now_s)

    def measure_load(self, account: AccountId, cost_s: float, now_s: float) -> float:
        """Return an account's use, with new work, relative to an equal share."""
        self._forget_idle(now_s)
        own = self._accounts.get(account)
        own_s = cost_s + (0.0 if own is None else own.read(now_s))
        total_s = cost_s + self._total.read(now_s)
        accounts = len(self._accounts) + (1 if own is None else 0)
        return own_s * accounts / total_s if total_s > 0 else 1.0

    def __len__(self) -> int:
        return len(self._accounts)

    def _forget_idle(self, now_s: float) -> None:
        while self._accounts:
            account, oldest = next(iter(self._accounts.items()))
            if now_s - oldest.last_s <= 3 * WINDOW_S:
                return
            del self._accounts[account]
