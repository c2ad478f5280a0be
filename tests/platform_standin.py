"""Stand-ins of the users' platform: its store and its upstreams, over raw sockets."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

LOOPBACK = "127.0.0.1"


@dataclass(slots=True)
class RawRequest:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        parsed = parse_qs(urlsplit(self.target).query)
        return {name: values[0] for name, values in parsed.items()}


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return RawRequest(method, target, headers, body)


def render(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class RawServer:
    """Serve connections with a function, and close all of them at the end."""

    def __init__(self) -> None:
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset_all()
        await asyncio.sleep(0)

    def reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has gone, or the test is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError


class StoreStandin(RawServer):
    """Keep objects as the platform's store does, with faults to switch on."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.calls: list[str] = []
        self.oldest = 0
        # Statuses that the next calls get in place of an answer.
        self.refuse_with: int | None = None
        self.silent = False
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._announce(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        self.revision += 1
        item = self.objects.pop((kind, name))
        self._announce(kind, item, deleted=True)

    def drop_superseded(self) -> None:
        """Keep only the last event of each object."""
        last = {
            item["metadata"]["name"]: event
            for event in self.events
            for item in [event[2]]
        }
        self.events = [event for event in self.events if event in last.values()]

    def forget_history(self) -> None:
        """Drop the history; watches from before it are told so."""
        self.oldest = self.revision
        self._changed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.calls.append(f"{request.method} {request.target}")
            if self.silent:
                await asyncio.sleep(60)
            status, document = self.refuse_with, {}
            if status is None:
                status, document = await self._answer(request)
            writer.write(render(status, json.dumps(document).encode()))
            await writer.drain()

    async def _answer(self, request: RawRequest) -> tuple[int, Any]:
        steps = [unquote(step) for step in request.path.split("/")[3:]]
        kind, name = steps[0], steps[1] if len(steps) > 1 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if request.method == "GET":
            items = [item for (k, _), item in self.objects.items() if k == kind]
            listing = {"items": items, "has_more": False}
            return 200, listing | {"current_rev": self.revision}
        return self._change(request, kind, name)

    def _change(self, request: RawRequest, kind: str, name: str) -> tuple[int, Any]:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        expected = metadata.get("revision")
        if known and expected not in (None, known["metadata"]["revision"]):
            return 409, known
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        deadline_s = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if since < self.oldest:
                return 410, {}
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > since
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _announce(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self._changed.set()


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


@dataclass(slots=True)
class CallerAnswer:
    status: int
    headers: dict[str, str]
    body: bytes
    # Whether the framing says that the body is complete.
    complete: bool


@dataclass(slots=True)
class RawCaller:
    """Send requests to a gateway over one connection."""

    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def open(self) -> None:
        opened = await asyncio.open_connection(LOOPBACK, self.port)
        self.reader, self.writer = opened

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
        headers.setdefault("Request_Id", f"q{next(self.numbers)}")
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
        body = b""
        try:
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
