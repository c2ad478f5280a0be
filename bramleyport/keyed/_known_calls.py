"""Keys whose calls may have run, for the time in which the claim log can't be read."""

from collections import OrderedDict
from typing import Final

# A key and its digest take about 250 bytes.
MAX_CALLS: Final = 4_000


class KnownCalls:
    """Track the newest keys that are claimed by calls which may have run.

    The claim log decides on each call. These keys only keep a repeated call from being
    reported as not run while the log is unreadable.
    """

    def __init__(self, max_calls: int = MAX_CALLS) -> None:
        self._max_calls = max_calls
        self._digests: OrderedDict[str, str] = OrderedDict()

    def add(self, key: str, body_digest: str) -> None:
        """Add the call that holds the claim of a key."""
        self._digests[key] = body_digest
        self._digests.move_to_end(key)
        if len(self._digests) > self._max_calls:
            self._digests.popitem(last=False)

    def remove(self, key: str) -> None:
        """Remove a key whose call was certainly not run."""
        self._digests.pop(key, None)

    def includes(self, key: str, body_digest: str) -> bool:
        """Return whether the same call may have run."""
        return self._digests.get(key) == body_digest
