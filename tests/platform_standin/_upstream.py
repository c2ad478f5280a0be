"""Define the stand-in of the platform's upstreams and its fault-free answers."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from tests.platform_standin._http import (
    LOOPBACK,
    RawRequest,
    RawServer,
    read_request,
    render_response,
)
from tests.platform_standin._store import StoreStandin

Script = Callable[
    ["UpstreamStandin", RawRequest, asyncio.StreamWriter], Awaitable[None]
]


@dataclass(slots=True)
class UpstreamRun:
    """Describe one run of a request at an upstream."""

    request: RawRequest
    ended: bool = False
    started_s: float = field(default_factory=time.monotonic)


@dataclass(slots=True)
class UpstreamArrival:
    """Describe one request that reached an upstream, whether it ran or not."""

    request: RawRequest
    arrived_s: float = field(default_factory=time.monotonic)


class UpstreamStandin(RawServer):
    """Represent a worker of the platform that answers each request by a script."""

    def __init__(self, name: str, *, service: str, stage: str = "") -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.stage = stage
        self.zone = "a"
        # The version of its software, which its events name.
        self.version = "v1"
        self.runs: list[UpstreamRun] = []
        self.arrivals: list[UpstreamArrival] = []
        # The rate limit that answers to calls name; empty for none.
        self.limit = ""
        # Whether answers to calls say that this upstream leaves.
        self.leaving = False
        # The time that refusals name in Retry-After; empty for none.
        self.pause = ""
        self.born_ms = 1000
        # Rises each time that the upstream writes its registration.
        self.sequence = 0
        self.orders: list[dict[str, Any]] = []
        self.freed_handles: list[str] = []
        self.frees_hang = False
        self.report_delay_s = 0.0
        self.accepted_orders = 0
        # Whether it carries out an order.
        self.busy = False
        self.prefill_hangs = False
        self.prefill_count = 0
        # How separate prefills are answered.
        self.prefill_script: Script = answer_prefill
        # How a gateway's own requests are answered.
        self.own_script: Script = answer_own_request
        self.script: Script = answer_normally
        # Scripts of the next requests; later requests follow `script`.
        self.next_scripts: list[Script] = []
        # How far the clock of this upstream is off.
        self.clock_offset_s = 0.0
        self._handles = itertools.count(1)

    def register(self, store: StoreStandin, **changes: Any) -> None:
        """Write this upstream's registration to the store."""
        self.sequence += 1
        registration = {
            "service": self.service,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 64 if self.stage else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": self.stage,
            "models": [],
            "seq": self.sequence,
            "born": self.born_ms,
        }
        store.put("servers", self.name, registration | changes)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.arrivals.append(UpstreamArrival(request))
            await self._serve_one(request, writer)
            await writer.drain()

    async def _serve_one(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(render_response(421, Instance_Id=self.name))
        elif request.path.startswith("/-/"):
            await self.own_script(self, request, writer)
        elif is_prefill(request) and self.prefill_hangs:
            await asyncio.sleep(60)
        elif is_prefill(request):
            await self.prefill_script(self, request, writer)
        else:
            script = self.next_scripts.pop(0) if self.next_scripts else self.script
            await script(self, request, writer)

    def make_handle(self) -> str:
        """Return the handle of a new KV cache."""
        self.prefill_count += 1
        return f"{self.name}-h{next(self._handles)}"

    def record_order(self, order: dict[str, Any]) -> None:
        """Record an order that this upstream accepts."""
        self.orders.append(order)
        self.accepted_orders += 1

    def read_clock_s(self) -> float:
        """Return the time of this upstream's own clock, which may be stepped."""
        return time.monotonic() + self.clock_offset_s

    def record_run(self, request: RawRequest) -> UpstreamRun:
        """Record that a request starts to run, and return the run."""
        run = UpstreamRun(request)
        self.runs.append(run)
        return run


def is_prefill(request: RawRequest) -> bool:
    """Return whether only the prompt of a call is to be read."""
    return request.headers.get("stage") == "prefill"


async def answer_own_request(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer a request of a gateway itself at once."""
    if request.path == "/-/report":
        report = {"stage": upstream.stage, "busy": upstream.busy}
        report |= {"seq": upstream.accepted_orders, "born": upstream.born_ms}
        await asyncio.sleep(upstream.report_delay_s)
        writer.write(render_response(200, json.dumps(report).encode()))
    elif request.path == "/-/order":
        upstream.record_order(json.loads(request.body))
        writer.write(render_response(202))
    elif request.path.startswith("/-/kv-handle/"):
        if upstream.frees_hang:
            await asyncio.sleep(60)
        upstream.freed_handles.append(request.path.rpartition("/")[2])
        writer.write(render_response(200))
    elif request.path == "/-/kv-list":
        writer.write(render_response(200, json.dumps({"held": []}).encode()))


async def answer_prefill(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Prefill a prompt and answer with the handle of its KV cache."""
    writer.write(render_prefill(upstream, request))


def render_prefill(upstream: UpstreamStandin, request: RawRequest) -> bytes:
    """Return the answer to a separate prefill, with a new handle."""
    document = {"kv_handle": upstream.make_handle(), "tokens": 1, "version": 1}
    headers = {"Request_Id": request.headers["request-id"]}
    headers |= make_state_headers(upstream)
    return render_response(200, json.dumps(document).encode(), **headers)


async def answer_normally(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer it completely at once."""
    if upstream.stage:
        await stream_events(upstream, request, writer)
        return
    upstream.record_run(request).ended = True
    body = b"answer to " + request.headers["request-id"].encode()
    writer.write(render_response(200, body, **make_stamp_headers(upstream, request)))


def make_stamp_headers(
    upstream: UpstreamStandin, request: RawRequest
) -> dict[str, str]:
    """Return the headers that show which upstream answers which request."""
    return {
        "Request_Id": request.headers["request-id"],
        "Server_Stamp": f"stamp.{upstream.name}",
        **make_state_headers(upstream),
    }


def make_state_headers(upstream: UpstreamStandin) -> dict[str, str]:
    """Return the headers in which an upstream tells of its limit and its end."""
    headers = {"Server_Limit": upstream.limit} if upstream.limit else {}
    return headers | ({"Server_Leaving": "1"} if upstream.leaving else {})


EVENT_COUNT = 5


def render_event(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()


def start_stream(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> int:
    """Write the head of a stream and return the number of its first event."""
    headers = make_stamp_headers(upstream, request)
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += ["Content-Type: text/event-stream"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return int(request.headers.get("last-event-id", "0")) + 1


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def stream_events(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and stream all its events."""
    run = upstream.record_run(request)
    first = start_stream(upstream, request, writer)
    for number in range(first, EVENT_COUNT + 1):
        write_chunk(writer, render_event(number))
    writer.write(b"0\r\n\r\n")
    run.ended = True
