"""Limit the time of the current step of a connection."""

import asyncio
from collections.abc import Callable
from functools import partial

from bramleyport.http1._caller_messages import ConnectionLimits

ReadLimit = Callable[[ConnectionLimits], float]


class ConnectionTimer:
    """Represent the one timer of a connection, under limits that may change."""

    def __init__(self, read_limits: Callable[[], ConnectionLimits]) -> None:
        self._read_limits = read_limits
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_set(self) -> bool:
        """Return whether the timer runs."""
        return self._handle is not None

    def limit(
        self,
        read_limit: ReadLimit,
        expire: Callable[[], None],
        started_s: float | None = None,
    ) -> None:
        """Set the timer for a limit, which may change until the timer is due."""
        now_s = asyncio.get_running_loop().time()
        if started_s is None:
            started_s = now_s
        remaining_s = started_s + read_limit(self._read_limits()) - now_s
        if remaining_s <= 0:
            expire()
            return
        self.start(remaining_s, partial(self.limit, read_limit, expire, started_s))

    def start(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a fixed time."""
        self.clear()
        self._handle = asyncio.get_running_loop().call_later(delay_s, callback)

    def clear(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


def read_idle_timeout(limits: ConnectionLimits) -> float:
    """Return the limit on connections on which nothing happens."""
    return limits.idle_timeout_s


def read_header_timeout(limits: ConnectionLimits) -> float:
    """Return the limit on the time in which a request's head arrives."""
    return limits.header_timeout_s
