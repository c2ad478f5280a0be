"""Decide which gateways watch the store, and how long their state stays valid."""

from collections.abc import Collection
from typing import Final

from bramleyport.core import ProcessId
from bramleyport.membership import choose

# Gateways that watch the store for all others. If three fail at once, the others still
# needn't call the store.
STORE_WATCHERS: Final = 4
# With fewer gateways each one watches for itself: sharing would save hardly a call.
MIN_SHARING_GATEWAYS: Final = 8


def is_watch_shared(gateways: int) -> bool:
    """Return whether a few of this number of gateways watch the store for all."""
    return gateways >= MIN_SHARING_GATEWAYS


def choose_store_watchers(gateways: Collection[ProcessId]) -> Collection[ProcessId]:
    """Return which gateways watch the store."""
    if not is_watch_shared(len(gateways)):
        return gateways
    return choose("store", gateways, STORE_WATCHERS)


class Freshness:
    """Track until when the local copy of the store's state is valid.

    It is valid for a limited time after a process last compared it with the store, so
    that it doesn't go stale unnoticed when all watchers are cut off or killed.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._confirmed_s: dict[ProcessId, float] = {}

    def confirm(self, source: ProcessId, moment_s: float) -> None:
        """Record that a source found the state current at a moment."""
        known_s = self._confirmed_s.get(source, moment_s)
        self._confirmed_s[source] = max(known_s, moment_s)

    def revoke(self, source: ProcessId) -> None:
        """Record that a source gets no answers from the store."""
        self._confirmed_s.pop(source, None)

    def measure_remaining(self, now_s: float) -> float:
        """Return the seconds for which the state stays valid; 0 if it is not valid."""
        newest_s = max(self._confirmed_s.values(), default=now_s - self._limit_s)
        return max(0.0, newest_s + self._limit_s - now_s)
