"""Define a loopback proxy that injects faults into connections."""

import asyncio
from enum import Enum

from tests.platform_standin import LOOPBACK, reset_connection
from tests.ports import find_port

CHUNK_BYTES = 65_536
HELD_POLL_INTERVAL_S = 0.02


class Direction(Enum):
    """Represent a direction of the bytes of a connection."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class _ProxiedConnection:
    """Track both ends of one proxied connection."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, server)
        # A silent connection drops all bytes until it is closed.
        self.is_silent = False
        self.answered_bytes = 0

    def reset(self) -> None:
        for writer in self.writers:
            reset_connection(writer)


class FaultProxy:
    """Represent a proxy to a loopback port, with faults that tests switch on."""

    def __init__(self, server_port: int, *, server_host: str = LOOPBACK) -> None:
        self.server_port = server_port
        self._server_host = server_host
        self.port = 0
        self.delay_s = 0.0
        self.held_directions: set[Direction] = set()
        self.dropped_directions: set[Direction] = set()
        # A connection that has carried this many bytes to its client is reset; the
        # bytes after them are lost.
        self.answer_limit_bytes: int | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[_ProxiedConnection] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, find_port())
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.reset()

    def silence_connections(self) -> None:
        """Drop all further bytes of the open connections; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._server_host, self.server_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _ProxiedConnection(writer, server_writer)
        self._connections.add(connection)
        copies = (
            self._copy(connection, reader, server_writer, Direction.TO_SERVER),
            self._copy(connection, server_reader, writer, Direction.TO_CLIENT),
        )
        try:
            await asyncio.gather(*copies)
        except (OSError, asyncio.CancelledError):
            connection.reset()
        finally:
            self._connections.discard(connection)
            for item in connection.writers:
                item.close()

    async def _copy(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while direction in self.held_directions:
                await asyncio.sleep(HELD_POLL_INTERVAL_S)
            if writer.is_closing():
                raise ConnectionResetError
            if connection.is_silent or direction in self.dropped_directions:
                continue
            if direction is Direction.TO_CLIENT:
                await self._limit_answer(connection, data, writer)
            writer.write(data)
            await writer.drain()
        if not connection.is_silent:
            writer.close()

    async def _limit_answer(
        self,
        connection: _ProxiedConnection,
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Reset a connection that has carried as many bytes as it may."""
        limit = self.answer_limit_bytes
        begun = connection.answered_bytes
        connection.answered_bytes += len(data)
        if limit is None or connection.answered_bytes <= limit:
            return
        writer.write(data[: max(0, limit - begun)])
        await asyncio.sleep(0)
        raise ConnectionResetError
