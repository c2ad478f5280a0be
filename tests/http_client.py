"""HTTP client that returns answers as a caller receives them."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import treq
from twisted.web.http_headers import Headers

from bramleyport.transport import make_http_client


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


async def fetch(
    url: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    loop = asyncio.get_running_loop()
    raw = Headers({name: [value] for name, value in (headers or {}).items()})
    client, _ = make_http_client(persistent=False)
    response = await client.request(method, url, headers=raw, data=body).asFuture(loop)
    content = await treq.content(response).asFuture(loop)
    received = {
        name.decode().lower(): values[0].decode()
        for name, values in response.headers.getAllRawHeaders()
    }
    return Answer(response.code, received, content)


async def exchange_raw(port: int, data: bytes, *, half_close: bool = False) -> bytes:
    """Send raw bytes and return all bytes of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await writer.drain()
    if half_close:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer
