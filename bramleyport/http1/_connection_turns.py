"""Divide the event loop among connections that have work left and all others."""

import asyncio
from collections.abc import Callable


class ConnectionTurns:
    """Let connections go on in turn, some of them in each turn of the event loop.

    Otherwise many of them would keep the loop from all others: upstreams that send tiny
    pieces, or callers that have sent any number of requests ahead.
    """

    def __init__(self, per_turn: int) -> None:
        self._per_turn = per_turn
        # Ordered by when they were added.
        self._waiting: dict[object, Callable[[], None]] = {}
        self._next: asyncio.Handle | None = None

    def add(self, connection: object, process: Callable[[], None]) -> None:
        """Process some work of a connection when its turn comes."""
        self._waiting[connection] = process
        self._schedule()

    def discard(self, connection: object) -> None:
        """Forget a connection."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._next is None and self._waiting:
            self._next = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._next = None
        for connection in list(self._waiting)[: self._per_turn]:
            process = self._waiting.pop(connection, None)
            if process is not None:
                process()
        self._schedule()
