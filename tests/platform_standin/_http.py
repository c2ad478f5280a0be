"""Read and write HTTP over raw sockets for the stand-ins of the platform."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from tests.ports import find_port

LOOPBACK = "127.0.0.1"


@dataclass(slots=True)
class RawRequest:
    """Describe a request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        parsed = parse_qs(urlsplit(self.target).query)
        return {name: values[0] for name, values in parsed.items()}

    @property
    def raw_query(self) -> dict[str, str]:
        """Return the query with its values as they stand in it."""
        query = urlsplit(self.target).query
        fields = [field.partition("=") for field in query.split("&")]
        return {name: value for name, _, value in fields}


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Read one request; return None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return RawRequest(method, target, headers, body)


def render_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, where `abort` may end it in order."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.is_closing():
        # Zero seconds to linger make the kernel send a reset.
        option = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


class RawServer:
    """Represent a loopback server that aborts its open connections when it stops."""

    def __init__(self) -> None:
        self.port = 0
        self.connection_count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, port or find_port()
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset_connections()
        await asyncio.sleep(0)

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client has disconnected, or the test has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError
