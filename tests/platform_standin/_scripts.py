"""Define scripts with which the stand-in of an upstream misbehaves."""

import asyncio

from tests.platform_standin._http import RawRequest, render_response
from tests.platform_standin._upstream import (
    EVENT_COUNT,
    Script,
    UpstreamStandin,
    answer_normally,
    make_stamp_headers,
    render_event,
    start_stream,
    write_chunk,
)


def script_first_request(upstreams: "list[UpstreamStandin]", script: Script) -> None:
    """Apply the script to the next request only, whichever upstream receives it."""

    async def once(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        for other in upstreams:
            other.next_scripts.clear()
        await script(upstream, request, writer)

    for upstream in upstreams:
        upstream.next_scripts = [once]


def make_stream_abort(after: int, *, within_event: bool = False) -> Script:
    """Return a script that resets the connection after some events of a stream."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request)
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
    """Accept the request and send no answer."""
    upstream.record_run(request)
    await asyncio.sleep(60)


async def lose_answer(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and reset the connection instead of answering."""
    upstream.record_run(request).ended = True
    writer.transport.abort()


async def decline(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse the request without running it."""
    headers = {"Not_Run": "1", "Request_Id": request.headers["request-id"]}
    if upstream.pause:
        headers["Retry_After"] = upstream.pause
    writer.write(render_response(503, **headers))


async def fail(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer with status 500."""
    upstream.record_run(request).ended = True
    writer.write(
        render_response(500, b"failed", **make_stamp_headers(upstream, request))
    )


async def truncate(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer with fewer bytes than Content-Length announces."""
    upstream.record_run(request).ended = True
    response = render_response(
        200, b"answer to nobody", **make_stamp_headers(upstream, request)
    )
    writer.write(response[:-5])
    await writer.drain()
    writer.close()


async def answer_without_length(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and mark the end of the body by closing the connection."""
    upstream.record_run(request).ended = True
    stamp_headers = make_stamp_headers(upstream, request)
    lines = ["HTTP/1.1 200 OK"]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in stamp_headers.items()
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode() + b"no length")
    await writer.drain()
    writer.close()


def make_misdirected_answer(other_request_id: str) -> Script:
    """Return a script that answers another request before the right one."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        other_headers = {"Request_Id": other_request_id, "Server_Stamp": "stamp.other"}
        writer.write(render_response(200, b"somebody else's", **other_headers))
        await answer_normally(upstream, request, writer)

    return script


def make_endless_answer(head: bytes, piece: bytes, *, pause_s: float = 0.0) -> Script:
    """Return a script that sends bytes until the gateway closes the connection."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
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
# Answers that never end: large chunks, many small chunks, slow small chunks, interim
# answers, header lines, and bytes that are not HTTP.
ENDLESS_ANSWERS: list[Script] = [
    make_endless_answer(_CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    make_endless_answer(_CHUNKED, b"1\r\nx\r\n" * 4_000),
    make_endless_answer(_CHUNKED, b"1\r\nx\r\n", pause_s=0.1),
    make_endless_answer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    make_endless_answer(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 500),
    make_endless_answer(b"", b"no answer at all "),
]
