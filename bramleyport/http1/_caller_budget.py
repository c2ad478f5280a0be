"""Bound what all connections to callers together hold."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final, Protocol

DEFAULT_MAX_BYTES: Final = 33_554_432
DEFAULT_MAX_CONNECTIONS: Final = 512
# Of the connections, those that only readiness checks and metrics may use.
RESERVED_CONNECTIONS: Final = 16
# A holding up to this size is bounded by the number of connections alone.
SMALL_HOLDING_BYTES: Final = 8_192


class ClosingCost(IntEnum):
    """Order connections by what their callers lose if they are closed."""

    # Only what was written is still sent.
    CLOSING = 0
    IDLE = 1
    # The caller does not read its answers.
    UNREAD = 2
    # A part of a request was read.
    READING = 3


class Shortage(str, Enum):
    """Name what is used up when a connection gives way."""

    BYTES = "bytes"
    CONNECTIONS = "connections"


@dataclass(frozen=True, slots=True)
class Release:
    """Describe a connection that gave way to others."""

    shortage: Shortage
    state: str
    held_bytes: int


class Holder(Protocol):
    """Represent a connection to a caller."""

    @property
    def since_s(self) -> float:
        """Return since when it is in its state."""

    @property
    def held_bytes(self) -> int:
        """Return how many bytes it holds now."""

    @property
    def state_name(self) -> str:
        """Return its state, for logs."""

    @property
    def releasable_bytes(self) -> int:
        """Return how many bytes it would release by giving way."""

    @property
    def closing_cost(self) -> ClosingCost | None:
        """Return what closing it costs; None while its request may run."""

    def give_way(self) -> None:
        """Release bytes, since the memory for callers is used up."""

    def close_now(self) -> bool:
        """Close at once, since the connections for callers are used up.

        Return whether it is closed: one that gets a request meanwhile stays open.
        """


class CallerBudget:
    """Bound the bytes and the number of all connections to callers.

    The connection that would release most pays for bytes. A running request does not
    pay, but the bytes behind it and its unread answer do.
    """

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        on_release: Callable[[Release], None] | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.on_release = on_release
        self._connections: set[Holder] = set()
        self._sizes: dict[Holder, int] = {}
        self._used = 0

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are held, without small holdings."""
        return self._used

    @property
    def connection_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def add(self, holder: Holder, *, privileged: bool) -> bool:
        """Add a new connection; return whether there is room for it.

        Only privileged connections use the reserved ones.
        """
        limit = self.max_connections
        if not privileged:
            limit -= min(RESERVED_CONNECTIONS, limit // 2)
        while len(self._connections) >= limit:
            oldest = self._find_cheapest()
            if oldest is None:
                self._report(self._describe(Shortage.CONNECTIONS, holder))
                return False
            release = self._describe(Shortage.CONNECTIONS, oldest)
            if oldest.close_now():
                self.remove(oldest)
                self._report(release)
        self._connections.add(holder)
        return True

    def remove(self, holder: Holder) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(holder)
        self._used -= self._sizes.pop(holder, 0)

    def hold(self, holder: Holder, size: int) -> None:
        """Set how many bytes a connection holds; this may make some give way."""
        if size <= SMALL_HOLDING_BYTES:
            if self._sizes:
                self._used -= self._sizes.pop(holder, 0)
            return
        self._used += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
        if self._used <= self.max_bytes:
            return
        self._refresh()
        while self._used > self.max_bytes and self._release_largest():
            continue

    def _refresh(self) -> None:
        """Read what all hold, since sent bytes are not reported one by one."""
        self._sizes = {holder: holder.held_bytes for holder in self._sizes}
        self._used = sum(self._sizes.values())

    def _release_largest(self) -> bool:
        """Make the largest holder give way; return whether this released anything."""
        largest = max(self._sizes, key=lambda holder: holder.releasable_bytes)
        if not largest.releasable_bytes:
            return False
        before = self._used
        self._report(self._describe(Shortage.BYTES, largest))
        largest.give_way()
        return self._used < before

    def _find_cheapest(self) -> Holder | None:
        closable = [
            (cost, holder.since_s, holder)
            for holder in self._connections
            if (cost := holder.closing_cost) is not None
        ]
        return min(closable, key=lambda entry: entry[:2])[2] if closable else None

    def _describe(self, shortage: Shortage, holder: Holder) -> Release:
        return Release(shortage, holder.state_name, self._sizes.get(holder, 0))

    def _report(self, release: Release) -> None:
        if self.on_release is not None:
            self.on_release(release)
