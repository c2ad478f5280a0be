"""A stand-in of the platform's upstreams, and how it answers when all is well."""

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
    render,
)
from tests.platform_standin._store import StoreStandin

Script = Callable[
    ["UpstreamStandin", RawRequest, asyncio.StreamWriter], Awaitable[None]
]


@dataclass(slots=True)
class Run:
    request: RawRequest
    ended: bool = False
    started_s: float = field(default_factory=time.monotonic)


class UpstreamStandin(RawServer):
    """Answer as a worker of the platform does; each request follows a script."""

    def __init__(self, name: str, *, service: str, stage: str = "") -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.stage = stage
        self.zone = "a"
        self.runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        self.freed: list[str] = []
        self.accepted_orders = 0
        self.prefill_hangs = False
        self.prefills = 0
        self.script: Script = answer_whole
        self.scripts: list[Script] = []
        self._handles = itertools.count(1)

    def register(self, store: StoreStandin, **changes: Any) -> None:
        """Write this upstream's registration."""
        entry = {
            "service": self.service,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if self.stage else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": self.stage,
            "models": [],
            "seq": 1,
            "born": 1000,
        }
        store.put("servers", self.name, entry | changes)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await self._serve_one(request, writer)
            await writer.drain()

    async def _serve_one(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(render(421, Instance_Id=self.name))
        elif request.path == "/-/report":
            report = {"stage": self.stage, "busy": False, "seq": self.accepted_orders}
            writer.write(render(200, json.dumps(report).encode()))
        elif request.path == "/-/order":
            self._take_order(json.loads(request.body))
            writer.write(render(202))
        elif request.path.startswith("/-/kv-handle/"):
            self.freed.append(request.path.rpartition("/")[2])
            writer.write(render(200))
        elif request.path == "/-/kv-list":
            writer.write(render(200, json.dumps({"held": []}).encode()))
        elif headers.get("stage") == "prefill" and self.prefill_hangs:
            await asyncio.sleep(60)
        elif headers.get("stage") == "prefill":
            self.prefills += 1
            handle = f"{self.name}-h{next(self._handles)}"
            body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1})
            writer.write(render(200, body.encode(), Request_Id=headers["request-id"]))
        else:
            script = self.scripts.pop(0) if self.scripts else self.script
            await script(self, request, writer)

    def _take_order(self, order: dict[str, Any]) -> None:
        self.orders.append(order)
        self.accepted_orders += 1

    def begin(self, request: RawRequest) -> Run:
        run = Run(request)
        self.runs.append(run)
        return run


async def answer_whole(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer at once."""
    if upstream.stage:
        await answer_events(upstream, request, writer)
        return
    upstream.begin(request).ended = True
    body = b"answer to " + request.headers["request-id"].encode()
    writer.write(render(200, body, **sign(upstream, request)))


def sign(upstream: UpstreamStandin, request: RawRequest) -> dict[str, str]:
    return {
        "Request_Id": request.headers["request-id"],
        "Server_Stamp": f"stamp.{upstream.name}",
    }


EVENT_COUNT = 5


def render_event(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()


def start_stream(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> int:
    """Write the head of a stream and return the number of its first event."""
    headers = sign(upstream, request)
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += ["Content-Type: text/event-stream"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return int(request.headers.get("last-event-id", "0")) + 1


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def answer_events(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request and stream all of its events."""
    run = upstream.begin(request)
    first = start_stream(upstream, request, writer)
    for number in range(first, EVENT_COUNT + 1):
        write_chunk(writer, render_event(number))
    writer.write(b"0\r\n\r\n")
    run.ended = True
