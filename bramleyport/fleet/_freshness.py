"""Decide which gateways watch the store, and how long what they tell counts."""

from collections.abc import Collection
from typing import Final

from bramleyport.core import ProcessId
from bramleyport.membership import choose

# Gateways that watch the store for all; the loss of three at once is borne without a
# call of the others.
WATCHERS: Final = 4
# Fewer gateways watch by themselves, since news would save hardly a call.
SHARING_GATEWAYS: Final = 8


def is_watch_shared(gateways: int) -> bool:
    """Return whether so many gateways share what a few of them watch."""
    return gateways >= SHARING_GATEWAYS


def choose_store_watchers(gateways: Collection[ProcessId]) -> Collection[ProcessId]:
    """Return which gateways watch the store."""
    if not is_watch_shared(len(gateways)):
        return gateways
    return choose("store", gateways, WATCHERS)


class Freshness:
    """Know until when state counts as current, by whoever last compared it.

    The state of a process whose watchers are all cut off or killed must not grow older
    than the limit.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._confirmed_s: dict[ProcessId, float] = {}

    def confirm(self, source: ProcessId, moment_s: float) -> None:
        """Note that a source found the state current at a moment."""
        known_s = self._confirmed_s.get(source, moment_s)
        self._confirmed_s[source] = max(known_s, moment_s)

    def revoke(self, source: ProcessId) -> None:
        """Note that a source gets no answers from the store."""
        self._confirmed_s.pop(source, None)

    def measure_remaining(self, now_s: float) -> float:
        """Return the seconds for which the state still counts; 0 if it does not."""
        newest_s = max(self._confirmed_s.values(), default=now_s - self._limit_s)
        return max(0.0, newest_s + self._limit_s - now_s)
