"""Pool of connections to one upstream."""

import asyncio
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Final

from bramleyport.fleet import Address
from bramleyport.http1._client import HttpClient, UpstreamConnection
from bramleyport.http1._messages import ExchangeError, ExchangeFailure

# Idle time after which a connection is not reused if the peer announced no limit.
DEFAULT_MAX_IDLE_S: Final = 2.0
# Fraction of the peer's announced idle limit for which a connection is reused. The
# peer's idle timer starts earlier than the one here.
IDLE_FRACTION: Final = 0.7
# The peer may be closing a connection that was idle for longer than this. A request
# that must not run twice is not sent on such a connection, since a reset would leave
# open whether the request ran.
MAX_FRESH_IDLE_S: Final = 0.25
# Time for which it holds for new connections, too, which process the peer is.
SHOWN_KEEP_S: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLimits:
    """Describe the limits of the connections to one upstream."""

    max_connections: int
    connect_timeout_s: float


class ConnectionPool:
    """Track the idle and open connections to one upstream.

    A place is taken by a connection, not by a number beside it, so that it is free when
    the connection has ended, whatever its call awaits at that time.
    """

    def __init__(
        self,
        client: HttpClient,
        peer: Address,
        limits: PoolLimits,
        on_idle_lost: Callable[[], None] | None = None,
    ) -> None:
        """Track connections; `on_idle_lost` is called if the peer ends an idle one."""
        self.peer = peer
        self._on_idle_lost = on_idle_lost
        self.limits = limits
        self._client = client
        # All connections that take a place, from before they open until they end.
        self._open: set[UpstreamConnection] = set()
        self._idle: list[UpstreamConnection] = []
        self._closed = False

    async def acquire(
        self,
        *,
        fresh: bool = False,
        timeout_s: float | None = None,
        excluded: Container[UpstreamConnection] = (),
    ) -> UpstreamConnection:
        """Return an idle connection or a new one.

        With `fresh`, only a connection that was used a short time ago is reused.
        Excluded connections stay in the pool, unless it is full.
        """
        connection = self._take_idle(fresh, excluded)
        if connection is not None:
            return connection
        if self._is_full and self._idle:
            self._discard(self._idle.pop(0))
        if self._is_full:
            raise ExchangeError(
                ExchangeFailure.NOT_SENT, "connect", str(self.peer), "pool is full"
            )
        return await self._connect(timeout_s)

    def _take_idle(
        self, fresh: bool, excluded: Container[UpstreamConnection]
    ) -> UpstreamConnection | None:
        now_s = asyncio.get_running_loop().time()
        kept = [item for item in self._idle if item in excluded]
        candidates = [item for item in self._idle if item not in excluded]
        taken = None
        while candidates and taken is None:
            connection = candidates.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.reusable and idle_s <= self._get_max_idle(connection, fresh):
                taken = connection
            else:
                connection.close()
        self._idle = kept + candidates
        return taken

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after an exchange."""
        # A request that was answered before it was read whole must not hold up others.
        unread = connection.reusable and connection.has_unsent_bytes
        if self._closed or unread or not connection.reusable:
            connection.abort()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def close(self) -> None:
        """Close all connections as soon as they are idle."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    @property
    def _is_full(self) -> bool:
        return len(self._open) >= self.limits.max_connections

    async def _connect(self, timeout_s: float | None) -> UpstreamConnection:
        limit_s = self.limits.connect_timeout_s
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s)
        # The peer may close it before the call below returns.
        connection = self._client.make_connection(self.peer, self._remove)
        self._open.add(connection)
        try:
            await self._client.open(connection, limit_s)
        except BaseException:
            self._discard(connection)
            raise
        connection.process_shown_s = self._find_shown()
        return connection

    def _find_shown(self) -> float | None:
        """Return when an open connection has shown lately which process the peer is.

        While that connection is open, no other process is at its address. A connection
        that was cut off may seem to be open for longer.
        """
        times_s = (item.process_shown_s for item in self._open)
        shown_s = max(
            (time_s for time_s in times_s if time_s is not None), default=None
        )
        now_s = asyncio.get_running_loop().time()
        if shown_s is None or now_s - shown_s > SHOWN_KEEP_S:
            return None
        return shown_s

    def _discard(self, connection: UpstreamConnection) -> None:
        """Close a connection at once and free its place."""
        connection.abort()
        self._open.discard(connection)

    def _remove(self, connection: UpstreamConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
            if self._on_idle_lost is not None:
                self._on_idle_lost()

    def _get_max_idle(self, connection: UpstreamConnection, fresh: bool) -> float:
        if fresh:
            return MAX_FRESH_IDLE_S
        if connection.idle_timeout_s is None:
            return DEFAULT_MAX_IDLE_S
        return connection.idle_timeout_s * IDLE_FRACTION
