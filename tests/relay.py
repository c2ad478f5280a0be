"""TCP relay that can drop the bytes of a connection without closing it."""

import asyncio

from tests.ports import find_port


class Relay:
    """Forward TCP connections to a server; those in `frozen` drop their bytes."""

    def __init__(self, port: int) -> None:
        self.frozen: set[int] = set()
        self.accepted = 0
        self.listener: asyncio.Server | None = None
        self._port = port

    async def start(self) -> str:
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", find_port()
        )
        return f"ws://127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        index = self.accepted
        self.accepted += 1
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:  # the server is down
            writer.close()
            return
        await asyncio.gather(
            self._pipe(index, reader, server_writer),
            self._pipe(index, server_reader, writer),
        )

    async def _pipe(
        self, index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if index not in self.frozen:
                    writer.write(data)
        except ConnectionError:
            pass
        writer.close()
