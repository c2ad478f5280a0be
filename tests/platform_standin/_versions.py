"""Define an engine whose events name its software version, and that breaks off."""

import asyncio
from collections.abc import Callable

from tests.platform_standin._http import RawRequest
from tests.platform_standin._upstream import (
    EVENT_COUNT,
    UpstreamStandin,
    start_stream,
    write_chunk,
)

EVENTS_BEFORE_BREAK = 2


class VersionedEngine(UpstreamStandin):
    """Represent an engine that names its version in each event."""

    def __init__(self, name: str, *, service: str, stage: str = "") -> None:
        super().__init__(name, service=service, stage=stage)
        self.script = stream_versions
        # Whether streams from the first event on break off after some events.
        self.breaks = False
        # Returns whether any other stream breaks off.
        self.draw_break: Callable[[], bool] = lambda: False
        # Between two events.
        self.pause_s = 0.0


def render_versioned(number: int, version: str) -> bytes:
    return f"id: {number}\ndata: {version}\n\n".encode()


def read_versions(body: bytes) -> list[str]:
    """Return the version that wrote each event in a body."""
    lines = body.decode().split("\n")
    return [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]


async def stream_versions(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Stream all events, or some before the connection ends."""
    assert isinstance(upstream, VersionedEngine)
    run = upstream.record_run(request)
    first = start_stream(upstream, request, writer)
    breaks = (upstream.breaks and first == 1) or upstream.draw_break()
    for number in range(first, EVENT_COUNT + 1):
        if breaks and number > EVENTS_BEFORE_BREAK:
            await writer.drain()
            writer.transport.abort()
            return
        write_chunk(writer, render_versioned(number, upstream.version))
        await writer.drain()
        await asyncio.sleep(upstream.pause_s)
    writer.write(b"0\r\n\r\n")
    run.ended = True
