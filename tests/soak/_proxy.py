"""Define a loopback proxy that injects faults into connections."""

import asyncio
from enum import Enum

from tests.platform_standin import LOOPBACK

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

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Represent a proxy to a loopback port, with faults that tests switch on."""

    def __init__(self, server_port: int) -> None:
        self.server_port = server_port
        self.port = 0
        self.delay_s = 0.0
        self.held_directions: set[Direction] = set()
        self._server: asyncio.Server | None = None
        self._connections: set[_ProxiedConnection] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
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
                LOOPBACK, self.server_port
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
            if not connection.is_silent:
                writer.write(data)
                await writer.drain()
        if not connection.is_silent:
            writer.close()
