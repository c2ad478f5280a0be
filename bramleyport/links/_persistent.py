"""Keep one peer connected and replace a connection before it is known dead."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bramleyport.core import ProcessId, Revision, StepError
from bramleyport.telemetry import events, log_event, membership_events
from bramleyport.transport import Connection, Handler, Identity, open_connection

RECONNECT_MIN_S: Final = 0.2
RECONNECT_MAX_S: Final = 5.0
# Attempts move to the replacement within this time; the old connection then closes.
RETIRE_S: Final = 2.0


class PersistentConnection:
    """Reconnect to a peer for as long as it is wanted."""

    def __init__(
        self,
        uri: str,
        expected: ProcessId | None,
        identity: Identity,
        read_revision: Callable[[], Revision],
        on_opened: Callable[[Connection], None],
        on_closed: Callable[[Connection], None],
        on_message: Handler,
    ) -> None:
        self.uri = uri
        self.current: Connection | None = None
        self._expected = expected
        self._identity = identity
        self._read_revision = read_revision
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._on_message = on_message
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Future[None]] = set()
        self._keeper = asyncio.ensure_future(self._keep())

    def retire(self) -> None:
        """Stop reconnecting; an open connection serves until it closes."""
        self._keeper.cancel()

    async def close(self) -> None:
        """Close every connection to the peer."""
        self._keeper.cancel()
        if self.current is not None:
            await self.current.close("stopping")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep(self) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            self._wake.clear()
            connection = await self._open()
            if connection is None:
                await asyncio.sleep(delay_s)
                delay_s = min(RECONNECT_MAX_S, delay_s * 2)
            else:
                delay_s = RECONNECT_MIN_S
                self._adopt(connection)
            while self.current is not None and not self.current.suspect:
                await self._wake.wait()
                self._wake.clear()

    async def _open(self) -> Connection | None:
        try:
            connection = await open_connection(
                self.uri, self._identity, self._read_revision
            )
        except StepError as error:
            log_event(
                events.CONNECT_FAILED,
                step=error.step,
                peer=self._expected or self.uri,
                reason=error.reason,
            )
            return None
        if self._expected is None or connection.peer == self._expected:
            return connection
        log_event(
            membership_events.PEER_MISMATCH,
            peer=self._expected,
            found=connection.peer,
            uri=self.uri,
        )
        await connection.close("another process was expected")
        return None

    def _adopt(self, connection: Connection) -> None:
        old, self.current = self.current, connection
        connection.on_suspect = self._wake.set
        self._start(self._serve(connection))
        if old is not None:
            log_event(membership_events.CONNECTION_REPLACED, peer=connection.peer)
            self._start(_close_later(old))
        self._on_opened(connection)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.run(self._on_message)
        finally:
            if self.current is connection:
                self.current = None
            self._on_closed(connection)
            self._wake.set()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _close_later(connection: Connection) -> None:
    await asyncio.sleep(RETIRE_S)
    await connection.close("replaced")
