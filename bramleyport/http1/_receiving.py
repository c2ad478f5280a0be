"""Bound what all connections to upstreams together hold, and their work per turn."""

from typing import Final, Protocol

from bramleyport.http1._connection_turns import ConnectionTurns

DEFAULT_MAX_BYTES: Final = 67_108_864
# An answer that does not say how long it is may be one without end, so it counts as
# this many times as large when memory is used up.
UNKNOWN_LENGTH_FACTOR: Final = 4
# Connections with more events left that are processed in one turn of the event loop.
CONNECTIONS_PER_TURN: Final = 2


class Holder(Protocol):
    """Represent a connection that holds received bytes."""

    @property
    def length_is_known(self) -> bool:
        """Return whether the answer has said how long it is."""

    def give_way(self) -> None:
        """Drop the answer, since memory is used up."""


class ReceiveBudget:
    """Bound the received bytes that all connections hold.

    If more arrive, the largest answers are dropped, those of unknown length first. So
    answers of a usual size are read whole beside any number of endless ones.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self._sizes: dict[Holder, int] = {}
        self._used = 0

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are held."""
        return self._used

    def hold(self, holder: Holder, size: int) -> None:
        """Set how many bytes a connection holds; this may drop its answer."""
        self._used += size - self._sizes.pop(holder, 0)
        if size:
            self._sizes[holder] = size
        while self._used > self.max_bytes:
            largest = max(self._sizes, key=self._weigh)
            self.hold(largest, 0)
            largest.give_way()

    def _weigh(self, holder: Holder) -> int:
        factor = 1 if holder.length_is_known else UNKNOWN_LENGTH_FACTOR
        return factor * self._sizes[holder]


class ReceiveContext:
    """Represent what the connections of one process share."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.budget = ReceiveBudget(max_bytes)
        self.turns = ConnectionTurns(CONNECTIONS_PER_TURN)
