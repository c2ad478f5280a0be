"""Read and write HTTP/1.1 over asyncio streams."""

import asyncio
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

LOOPBACK = "127.0.0.1"


@dataclass
class Request:
    """Represent a request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> list[str]:
        """Return the decoded segments of the path."""
        return [unquote(part) for part in urlsplit(self.target).path.split("/")[1:]]

    @property
    def query(self) -> dict[str, str]:
        """Return the first value of each field of the query."""
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request; None at the end of the channel."""
    found = await read_head(reader)
    if found is None:
        return None
    method, target, _ = found[0].split(" ")
    length = int(found[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, found[1], body)


def render(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def render_json(status: int, document: object, headers: dict[str, str]) -> bytes:
    """Return a whole answer with a JSON body."""
    body = json.dumps(document).encode()
    return render(status, body, {"Content-Type": "application/json", **headers})


class Server:
    """Represent a server on loopback that serves each channel in a task."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int = 0) -> None:
        """Take channels at a port, a free one by default."""
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, port, backlog=512, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Take no more channels, and abort all."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel until it ends."""
        raise NotImplementedError
