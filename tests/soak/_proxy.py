"""A loopback proxy that delays, holds back, silences and resets connections."""

import asyncio
from enum import Enum

from tests.platform_standin import LOOPBACK

CHUNK_BYTES = 65_536
HELD_POLL_S = 0.02


class Direction(Enum):
    """Name a direction of the bytes of a connection."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class _Link:
    """Hold both ends of one proxied connection."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, server)
        # A silent connection swallows all bytes until it is closed.
        self.silent = False

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Pass connections on to one port of this machine, with faults to switch on."""

    def __init__(self, server_port: int) -> None:
        self.server_port = server_port
        self.port = 0
        self.delay_s = 0.0
        self.held: set[Direction] = set()
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        for link in list(self._links):
            link.reset()

    def silence_all(self) -> None:
        """Let the open connections swallow their bytes; new ones work."""
        for link in self._links:
            link.silent = True

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
        link = _Link(writer, server_writer)
        self._links.add(link)
        pumps = (
            self._pump(link, reader, server_writer, Direction.TO_SERVER),
            self._pump(link, server_reader, writer, Direction.TO_CLIENT),
        )
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            link.reset()
        finally:
            self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while direction in self.held:
                await asyncio.sleep(HELD_POLL_S)
            if writer.is_closing():
                raise ConnectionResetError
            if not link.silent:
                writer.write(data)
                await writer.drain()
        if not link.silent:
            writer.close()
