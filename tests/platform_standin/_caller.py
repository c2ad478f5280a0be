"""Define a caller that talks to a gateway over one raw connection."""

import asyncio
import itertools
from dataclasses import dataclass, field

from tests.platform_standin._http import LOOPBACK


@dataclass(slots=True)
class CallerAnswer:
    """Describe an answer as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    # Whether the body was received to the end that its HTTP framing marks.
    complete: bool


@dataclass(slots=True)
class RawCaller:
    """Represent a caller that sends its requests to a gateway over one connection."""

    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    request_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    # What arrived of the chunked body that is read, or was read last.
    received: bytearray = field(default_factory=bytearray)

    async def open(self) -> None:
        streams = await asyncio.open_connection(LOOPBACK, self.port)
        self.reader, self.writer = streams

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        host: str = "calls.example",
        **headers: str,
    ) -> CallerAnswer:
        await self.send(path, method=method, body=body, host=host, **headers)
        return await self.receive()

    async def send(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        host: str = "calls.example",
        **headers: str,
    ) -> None:
        if self.writer is None:
            await self.open()
        assert self.writer is not None
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        headers.setdefault("Request_Id", f"q{next(self.request_numbers)}")
        headers.setdefault("Deadline_Ms", "3000")
        lines += [f"{name.replace('_', '-')}: {v}" for name, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def receive(self) -> CallerAnswer:
        assert self.reader is not None
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.lower()] = value.strip()
        body, complete = await self._read_body(headers)
        return CallerAnswer(status, headers, body, complete)

    async def _read_body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        assert self.reader is not None
        if "content-length" in headers:
            length = int(headers["content-length"])
            body = await self.reader.readexactly(length)
            return body, True
        self.received.clear()
        try:
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    return bytes(self.received), True
                self.received += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return bytes(self.received), False
