"""Remember attempts that this process knows it never sent."""

from collections import OrderedDict
from typing import Final

from bramleyport.core import AttemptId

# About 1 MB. A forgotten attempt costs no second run: a late copy of its claim then
# lapses into `unknown` instead of being taken over.
MAX_KEPT: Final = 4_000
MAX_FOR_KEY: Final = 16


class UnsentAttempts:
    """Hold the newest attempts by key whose calls were never sent and never will be.

    A copy of their claim may still reach the log, in a forwarded message or in a write
    whose answer was lost; a repeat through this process may then take it over.
    """

    def __init__(self, max_kept: int = MAX_KEPT) -> None:
        self._max_kept = max_kept
        self._keys: OrderedDict[AttemptId, str] = OrderedDict()
        self._attempts: dict[str, list[AttemptId]] = {}

    def add(self, key: str, attempt: AttemptId) -> None:
        """Remember an attempt that ended unsent."""
        if attempt in self._keys:
            return
        self._keys[attempt] = key
        attempts = self._attempts.setdefault(key, [])
        attempts.append(attempt)
        if len(attempts) > MAX_FOR_KEY:
            self._forget(attempts[0])
        if len(self._keys) > self._max_kept:
            self._forget(next(iter(self._keys)))

    def list_for(self, key: str) -> tuple[AttemptId, ...]:
        """Return the attempts of a key."""
        return tuple(self._attempts.get(key, ()))

    def _forget(self, attempt: AttemptId) -> None:
        key = self._keys.pop(attempt)
        attempts = self._attempts[key]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts[key]
