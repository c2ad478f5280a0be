"""Stand-in of a worker: a plain service or an engine that streams."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from lab3.store import Store
from lab3.wire import LOOPBACK, Request, Server, read_request, render, render_json

_numbers = itertools.count(1)


@dataclass
class Arrival:
    """Describe a request that reached a worker, and whether it ran."""

    worker: str
    request: Request
    at_s: float = field(default_factory=time.monotonic)
    ran: bool = False
    ended_s: float | None = None

    @property
    def name(self) -> str:
        """Return the Request-Id."""
        return self.request.headers.get("request-id", "")


Answer = Callable[["Worker", Arrival, asyncio.StreamWriter], Awaitable[None]]


class Worker(Server):
    """Represent one lifetime of a worker; its answers come from a script."""

    def __init__(self, service: str, store: Store, *, stage: str = "", zone: str = "a"):
        super().__init__()
        self.id = f"i-{next(_numbers):04x}{time.time_ns() % 65536:04x}"
        self.service, self.store, self.stage, self.zone = service, store, stage, zone
        self.version = "v1"
        self.slots = 64 if stage else 6
        self.work_s = 0.02
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.arrivals: list[Arrival] = []
        self.answer: Answer = answer_plain
        self.extra_headers: dict[str, str] = {}
        self.reports = 0
        self.orders: list[tuple[float, dict[str, Any]]] = []

    def register(self) -> None:
        """Write the status report to the store."""
        self.seq += 1
        self.store.put("servers", self.id, self.describe())

    def describe(self) -> dict[str, Any]:
        """Return the registration."""
        return {
            "service": self.service,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq,
            "born": self.born,
        }

    @property
    def runs(self) -> list[Arrival]:
        """Return the arrivals that ran."""
        return [item for item in self.arrivals if item.ran]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if request.headers.get("expect-instance", self.id) != self.id:
                writer.write(render(421, headers={"Instance-Id": self.id}))
            elif request.path[0] == "-":
                self._answer_own(request, writer)
            else:
                arrival = Arrival(self.id, request)
                self.arrivals.append(arrival)
                await self.answer(self, arrival, writer)
                arrival.ended_s = time.monotonic()
            await writer.drain()

    def _answer_own(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path[1] == "report":
            self.reports += 1
            report = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": len(self.orders),
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 500_000,
                "kv_handles": 0,
                "born": self.born,
            }
            writer.write(render_json(200, report, {}))
        elif request.path[1] == "order":
            self.orders.append((time.monotonic(), json.loads(request.body)))
            writer.write(render(202))
        elif request.path[1] == "kv-list":
            document = {"epoch": 1, "next": 1, "held": []}
            writer.write(render_json(200, document, {}))
        else:
            writer.write(render(200))

    def stamp(self, arrival: Arrival) -> dict[str, str]:
        """Return the headers of an answer to a call."""
        return {
            "Request-Id": arrival.name,
            "Server-Stamp": f"stamp.{self.id}.{arrival.name}",
            **self.extra_headers,
        }


async def answer_plain(
    worker: Worker, arrival: Arrival, writer: asyncio.StreamWriter
) -> None:
    """Run the call and answer it whole."""
    arrival.ran = True
    await asyncio.sleep(worker.work_s)
    body = f"{worker.id} ran {arrival.name}".encode()
    writer.write(render(200, body, worker.stamp(arrival)))


def event(number: int, worker: Worker) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {worker.id} {worker.version} {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(worker: Worker, arrival: Arrival) -> bytes:
    """Return the head of a stream in chunks."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += ["Transfer-Encoding: chunked", "Weight-Versions: 1"]
    lines += [f"{k}: {v}" for k, v in worker.stamp(arrival).items()]
    return "\r\n".join([*lines, "", ""]).encode()
