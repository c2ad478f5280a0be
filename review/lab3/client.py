"""Stand-in of a client: one request on one channel."""

import asyncio
import itertools
import os
import time
from dataclasses import dataclass, field

from lab3.wire import LOOPBACK, read_head

_numbers = itertools.count(1)
_start = os.urandom(4).hex()


def make_id() -> str:
    """Return the id of a new client attempt."""
    return f"{_start}{next(_numbers):08x}"


@dataclass
class Outcome:
    """Describe what a client attempt got."""

    id: str
    sent_s: float = field(default_factory=time.monotonic)
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # The answer was complete by its framing.
    complete: bool = False
    end: str = ""
    ended_s: float = 0.0
    first_byte_s: float | None = None


async def send(
    port: int,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 1000,
    headers: dict[str, str] | None = None,
    host: str = "calls.example",
    request_id: str = "",
) -> Outcome:
    """Send one request on a new channel and wait for the answer for its time budget."""
    outcome = Outcome(request_id or make_id())
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines += [f"Request-Id: {outcome.id}", f"Deadline-Ms: {deadline_ms}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await read_answer(reader, outcome)
    except TimeoutError:
        outcome.end = "deadline"
    except OSError as error:
        outcome.end = outcome.end or f"no channel: {type(error).__name__}"
    finally:
        outcome.ended_s = time.monotonic()
        if writer is not None:
            writer.close()
    return outcome


async def read_answer(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    """Read one answer by its framing."""
    found = await read_head(reader)
    if found is None:
        outcome.end = "cut, no answer"
        return
    outcome.status, outcome.headers = int(found[0].split(" ")[1]), found[1]
    try:
        if "chunked" in found[1].get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                outcome.first_byte_s = outcome.first_byte_s or time.monotonic()
                outcome.body += data[:-2]
        else:
            size = int(found[1].get("content-length", "0"))
            outcome.body = await reader.readexactly(size)
        outcome.complete, outcome.end = True, "complete"
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        outcome.end = "cut in the answer"
