"""Ways in which a stand-in of an upstream misbehaves."""

import asyncio

from tests.platform_standin._http import RawRequest, render
from tests.platform_standin._upstream import (
    EVENT_COUNT,
    Script,
    UpstreamStandin,
    answer_whole,
    render_event,
    sign,
    start_stream,
    write_chunk,
)


def script_first(upstreams: "list[UpstreamStandin]", script: Script) -> None:
    """Give the script to whichever upstream gets the first request."""

    async def once(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        for other in upstreams:
            other.scripts.clear()
        await script(upstream, request, writer)

    for upstream in upstreams:
        upstream.scripts = [once]


def make_break_off(after: int, *, within_event: bool = False) -> Script:
    """Return a script that resets a stream after some events."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.begin(request)
        first = start_stream(upstream, request, writer)
        for number in range(first, min(first + after, EVENT_COUNT + 1)):
            write_chunk(writer, render_event(number))
        if within_event and first + after <= EVENT_COUNT:
            write_chunk(writer, render_event(first + after)[:9])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    return script


async def hang(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Take the request and answer nothing."""
    upstream.begin(request)
    await asyncio.sleep(60)


async def lose_answer(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and close the connection in place of the answer."""
    upstream.begin(request).ended = True
    writer.transport.abort()


async def decline(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse the request without running it."""
    writer.write(render(503, Not_Run="1", Request_Id=request.headers["request-id"]))


async def fail(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer with a failure of the upstream's own."""
    upstream.begin(request).ended = True
    writer.write(render(500, b"failed", **sign(upstream, request)))


async def truncate(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer with fewer bytes than announced."""
    upstream.begin(request).ended = True
    whole = render(200, b"answer to nobody", **sign(upstream, request))
    writer.write(whole[:-5])
    await writer.drain()
    writer.close()


async def answer_without_length(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer with a body that ends with its connection."""
    upstream.begin(request).ended = True
    signed = sign(upstream, request)
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in signed.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + b"no length")
    await writer.drain()
    writer.close()


def make_extra(extra_id: str) -> Script:
    """Return a script that puts an answer of another request before the right one."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        foreign = {"Request_Id": extra_id, "Server_Stamp": "stamp.other"}
        writer.write(render(200, b"somebody else's", **foreign))
        await answer_whole(upstream, request, writer)

    return script


def make_endless(head: bytes, piece: bytes, *, pause_s: float = 0.0) -> Script:
    """Return a script that sends bytes without end until the caller closes."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.begin(request).ended = True
        writer.write(head)
        try:
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            return

    return script


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Ways in which the bytes of an upstream never end.
ENDLESS: list[Script] = [
    make_endless(_CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    make_endless(_CHUNKED, b"1\r\nx\r\n" * 4_000),
    make_endless(_CHUNKED, b"1\r\nx\r\n", pause_s=0.1),
    make_endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    make_endless(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 500),
    make_endless(b"", b"no answer at all "),
]
