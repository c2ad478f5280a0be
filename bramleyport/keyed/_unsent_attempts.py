"""Attempts that this process knows it never sent."""

from collections import OrderedDict
from typing import Final

from bramleyport.core import AttemptId

# This many attempts take about 1 MB. Removing one can't cause a second run: a late copy
# of its claim then becomes `unknown`, and a repeated call does not run.
MAX_ATTEMPTS: Final = 4_000
MAX_ATTEMPTS_PER_KEY: Final = 16


class UnsentAttempts:
    """Track the newest attempts by key whose calls were never sent and never will be.

    A copy of such an attempt's claim may still reach the log, in a forwarded message or
    by a write whose answer was lost. A repeated call through this process may then
    replace the claim and run.
    """

    def __init__(self, max_attempts: int = MAX_ATTEMPTS) -> None:
        self._max_kept = max_attempts
        self._keys: OrderedDict[AttemptId, str] = OrderedDict()
        self._attempts: dict[str, list[AttemptId]] = {}

    def add(self, key: str, attempt: AttemptId) -> None:
        """Add an attempt that ended unsent."""
        if attempt in self._keys:
            return
        self._keys[attempt] = key
        attempts = self._attempts.setdefault(key, [])
        attempts.append(attempt)
        if len(attempts) > MAX_ATTEMPTS_PER_KEY:
            self._remove(attempts[0])
        if len(self._keys) > self._max_kept:
            self._remove(next(iter(self._keys)))

    def list_for(self, key: str) -> tuple[AttemptId, ...]:
        """Return the attempts of a key."""
        return tuple(self._attempts.get(key, ()))

    def _remove(self, attempt: AttemptId) -> None:
        key = self._keys.pop(attempt)
        attempts = self._attempts[key]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts[key]
