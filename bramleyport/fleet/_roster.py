"""Track which gateways may be running."""

import math
from collections.abc import Collection
from typing import Final

from bramleyport.core import ProcessId
from bramleyport.membership import rank

# Time for which a gateway counts without a sign of life. It is long, because a share
# that is computed for too few gateways exceeds bounds that all of them share.
SILENT_KEEP_S: Final = 60.0
# Time without a sign of life after which a gateway may be dark. Each announces itself
# every two or three seconds.
SILENT_AFTER_S: Final = 3.5
# All gateways that know this one have sent something within this time of its start.
LISTEN_S: Final = 5.0
# A store is restored from a copy that is some seconds old, so a gateway that has left
# before this time is in no copy.
LEFT_KEEP_S: Final = 60.0


class GatewayRoster:
    """Track the gateways that may be running, including this one.

    Gateways share bounds by their number. One that is counted though it is gone only
    leaves a share unused, but one that is missed makes the others exceed the bound, so
    gateways count from their entry in the store or their first message, whichever is
    first, and for some time after their last sign of life.
    """

    def __init__(self, own: ProcessId) -> None:
        self._seen_s: dict[ProcessId, float] = {}
        # Listed gateways that have left or were silent for too long.
        self._absent: set[ProcessId] = set()
        # When gateways that left lately did so, whether or not they are listed.
        self._left_s: dict[ProcessId, float] = {}
        # Since when each gateway's process is known to run.
        self._started_s: dict[ProcessId, float] = {}
        self._gateways = frozenset((own,))
        self._own = own
        # Set once the list of gateways was read, or they had time to send something.
        # Before, others may be running that are not known yet.
        self._is_complete = False
        self._listening_since_s: float | None = None
        self._unsent_s = -math.inf

    @property
    def gateways(self) -> frozenset[ProcessId]:
        """Return the gateways that may be running."""
        return self._gateways

    @property
    def count(self) -> int | None:
        """Return how many gateways share bounds; None until that is known."""
        return len(self._gateways) if self._is_complete else None

    def rank_writers(self, key: str, now_s: float) -> list[ProcessId]:
        """Return the gateways in the order in which they do what one does for all.

        Silent ones are last: nobody should wait for one that may be dark.
        """
        since_s = now_s - SILENT_AFTER_S
        silent = {name for name, seen_s in self._seen_s.items() if seen_s < since_s}
        ranked = rank(key, self._gateways - silent)
        return ranked + rank(key, self._gateways & silent)

    def record_listed(
        self, listed: Collection[ProcessId], now_s: float, *, restored: bool = False
    ) -> None:
        """Record the list of gateways in the store.

        The list of a restored store may name gateways that have left since its copy.
        """
        self._is_complete = True
        if restored:
            self._absent |= {item for item in listed if self.has_left(item, now_s)}
        self._absent &= set(listed)
        for process in listed:
            if process not in self._absent:
                self._seen_s.setdefault(process, now_s)
        self._update()

    def record_heard(self, process: ProcessId, now_s: float) -> None:
        """Record a message of a gateway."""
        self._absent.discard(process)
        self._left_s.pop(process, None)
        is_new = process not in self._seen_s
        self._seen_s[process] = now_s
        if is_new:
            self._update()

    def record_started(self, process: ProcessId, started_s: float) -> None:
        """Record when the process of a gateway started."""
        self._started_s[process] = started_s

    def count_new(self, since_s: float) -> int:
        """Return how many others may have started since then."""
        others = self._gateways - {self._own}
        return sum(self._started_s.get(name, math.inf) > since_s for name in others)

    def record_unsent(self, now_s: float) -> None:
        """Record that a message to another gateway could not be sent."""
        self._unsent_s = now_s

    def may_miss_messages(self, since_s: float) -> bool:
        """Return whether another gateway may not get what this one sends.

        One of which nothing was heard since then may not hear this one either.
        """
        is_silent = any(seen_s < since_s for seen_s in self._seen_s.values())
        return is_silent or self._unsent_s >= since_s

    def record_left(self, process: ProcessId, now_s: float) -> None:
        """Record that a gateway has announced its end."""
        self._absent.add(process)
        self._left_s[process] = now_s
        for name in [name for name in self._left_s if not self.has_left(name, now_s)]:
            del self._left_s[name]
        if self._seen_s.pop(process, None) is not None:
            self._update()

    def has_left(self, process: ProcessId, now_s: float) -> bool:
        """Return whether a gateway has announced its end lately."""
        left_s = self._left_s.get(process)
        return left_s is not None and now_s - left_s <= LEFT_KEEP_S

    def drop_silent(self, now_s: float) -> None:
        """Stop counting gateways without a sign of life for SILENT_KEEP_S."""
        if self._listening_since_s is None:
            self._listening_since_s = now_s
        if self._seen_s and now_s - self._listening_since_s >= LISTEN_S:
            self._is_complete = True
        silent = [
            process
            for process, seen_s in self._seen_s.items()
            if now_s - seen_s > SILENT_KEEP_S
        ]
        for process in silent:
            del self._seen_s[process]
        if silent:
            self._absent.update(silent)
            self._update()

    def _update(self) -> None:
        self._gateways = frozenset((self._own, *self._seen_s))
