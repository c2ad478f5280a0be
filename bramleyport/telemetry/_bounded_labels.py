"""Metric labels for any number of accounts, bounded in number."""

import hashlib
from typing import Final

from bramleyport.core import AccountId

MAX_OWN_LABELS: Final = 50
SHARED_LABEL_COUNT: Final = 16


class BoundedLabels:
    """Decide metric labels: own ones for the first accounts, shared ones for others.

    With 41,000 accounts, a label for each would make every histogram too large.
    """

    def __init__(self, max_own_labels: int = MAX_OWN_LABELS) -> None:
        self._max_own_labels = max_own_labels
        self._own_labels: set[AccountId] = set()

    def choose(self, account: AccountId) -> str:
        """Return the label of an account, which is stable within a process."""
        if account in self._own_labels:
            return account
        if len(self._own_labels) < self._max_own_labels:
            self._own_labels.add(account)
            return account
        digest = hashlib.blake2b(account.encode(), digest_size=2).digest()
        return f"shared-{int.from_bytes(digest, 'big') % SHARED_LABEL_COUNT:02d}"
