"""Connections to peers that are reopened when they close or become silent."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bramleyport.core import ProcessId, Revision, StepError
from bramleyport.supervision import supervise
from bramleyport.telemetry import events, log_event, membership_events
from bramleyport.transport import Connection, Handler, Identity, open_connection

RECONNECT_MIN_S: Final = 0.2
RECONNECT_MAX_S: Final = 5.0
# The replaced connection stays open for this time, in which attempts resume on the
# new one.
REPLACED_CLOSE_DELAY_S: Final = 2.0


class PersistentConnection:
    """Represent a lasting connection to a peer, over successive sockets.

    A new connection is opened as soon as the current one is suspect, before it is
    known to have failed.
    """

    def __init__(
        self,
        uri: str,
        expected_peer: ProcessId | None,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_opened: Callable[[Connection], None],
        on_closed: Callable[[Connection], None],
        on_message: Handler,
    ) -> None:
        self.uri = uri
        self.current: Connection | None = None
        self._expected_peer = expected_peer
        self._identity = identity
        self._read_revision = read_revision
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._on_message = on_message
        self._state_changed = asyncio.Event()
        self._tasks: set[asyncio.Future[None]] = set()
        self._reconnect_task = asyncio.ensure_future(supervise(self._keep_connected))

    def retire(self) -> None:
        """Stop reconnecting; an open connection is used until it closes."""
        self._reconnect_task.cancel()

    async def close(self) -> None:
        """Close every connection to the peer."""
        self._reconnect_task.cancel()
        if self.current is not None:
            await self.current.close("stopping")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_connected(self) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            self._state_changed.clear()
            connection = await self._open()
            if connection is None:
                await asyncio.sleep(delay_s)
                delay_s = min(RECONNECT_MAX_S, delay_s * 2)
            else:
                delay_s = RECONNECT_MIN_S
                self._set_current(connection)
            while self.current is not None and not self.current.suspect:
                await self._state_changed.wait()
                self._state_changed.clear()

    async def _open(self) -> Connection | None:
        try:
            connection = await open_connection(
                self.uri, self._identity, self._read_revision
            )
        except StepError as error:
            log_event(
                events.CONNECT_FAILED,
                step=error.step,
                peer=self._expected_peer or self.uri,
                reason=error.reason,
            )
            return None
        if self._expected_peer is None or connection.peer == self._expected_peer:
            return connection
        log_event(
            membership_events.PEER_MISMATCH,
            peer=self._expected_peer,
            found=connection.peer,
            uri=self.uri,
        )
        await connection.close("another process was expected")
        return None

    def _set_current(self, connection: Connection) -> None:
        previous, self.current = self.current, connection
        connection.on_suspect = self._state_changed.set
        self._start(self._serve(connection))
        if previous is not None:
            log_event(membership_events.CONNECTION_REPLACED, peer=connection.peer)
            self._start(_close_later(previous))
        self._on_opened(connection)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.run(self._on_message)
        finally:
            if self.current is connection:
                self.current = None
            self._on_closed(connection)
            self._state_changed.set()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _close_later(connection: Connection) -> None:
    await asyncio.sleep(REPLACED_CLOSE_DELAY_S)
    await connection.close("replaced")
