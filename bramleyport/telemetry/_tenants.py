"""Bounded metric labels for any number of accounts."""

import hashlib
from typing import Final

from bramleyport.core import AccountId

MAX_NAMED: Final = 50
SHARED_LABELS: Final = 16


class TenantLabels:
    """Give the first accounts labels of their own and let the rest share a few.

    A label per account would grow each histogram with 41,000 accounts.
    """

    def __init__(self, max_named: int = MAX_NAMED) -> None:
        self._max_named = max_named
        self._named: set[AccountId] = set()

    def choose(self, account: AccountId) -> str:
        """Return the label of an account; it never changes within a process."""
        if account in self._named:
            return account
        if len(self._named) < self._max_named:
            self._named.add(account)
            return account
        digest = hashlib.blake2b(account.encode(), digest_size=2).digest()
        return f"shared-{int.from_bytes(digest, 'big') % SHARED_LABELS:02d}"
