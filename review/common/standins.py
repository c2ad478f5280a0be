"""Stand-ins of the platform, its workers and its clients for the review cases.

All of them run in the process of a case and listen on loopback. The gateways are real
processes, started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import random
import select
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# PROTOCOL.md: a list has "about 500 or 1 MB at most".
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
PORTS = (10_000, 30_000)
# Between the opening of a channel and its reset, by turns: as on links within a zone.
RESET_DELAYS_S = (0.00015, 0.0002, 0.00025, 0.0003, 0.0004, 0.0005)
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_tries": 52,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 9,
    "fence_checked": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
}


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {rest}\n")
        self._file.flush()


@dataclass
class Request:
    """One request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the identifier that its client gave it."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def render(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """A listening stand-in whose connections can be reset."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before after a stop."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(0)

    def count_channels(self) -> int:
        """Return how many channels are open."""
        return len(self._writers)

    async def adopt(self, accepted: socket.socket) -> None:
        """Serve a connection that a door has accepted."""
        reader = asyncio.StreamReader()

        def make_protocol() -> asyncio.StreamReaderProtocol:
            return asyncio.StreamReaderProtocol(reader, self._accept)

        await asyncio.get_running_loop().connect_accepted_socket(
            make_protocol, accepted
        )

    def reset_port(self, port: int) -> None:
        """Reset the channels that were opened to a port."""
        for writer in list(self._writers):
            if writer.get_extra_info("sockname")[1] == port:
                reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


@dataclass(frozen=True)
class RawBytes:
    """The spec of an entry of another writer, sent as it was written."""

    text: bytes


def render_json(document: Any) -> bytes:
    """Return a document as JSON, with the raw bytes that it holds."""
    raw: dict[bytes, bytes] = {}

    def stand_in(value: RawBytes) -> str:
        mark = f"raw bytes {len(raw)}"
        raw[json.dumps(mark).encode()] = value.text
        return mark

    body = json.dumps(document, default=stand_in).encode()
    for mark, text in raw.items():
        body = body.replace(mark, text)
    return body


class Store(Server):
    """The platform's store: objects, conditions, pages, watches and its era."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 1
        self.era = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        # PROTOCOL.md: the store normally answers within some milliseconds.
        self.answer_s = 0.004
        # Called after each page of a list was made, with the kind and if more follow.
        self.on_page: Callable[[str, bool], Awaitable[None]] | None = None
        # While set, calls get no answer.
        self.silent = False
        self._changed = asyncio.Event()

    def open_door(self) -> "Door":
        """Listen on another port, so that one machine can be turned away."""
        return Door(self)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a worker does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._tell(kind, item, deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self._tell(kind, item, deleted=True)

    def _tell(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self._changed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if self.silent:
                await asyncio.sleep(600)
            status, document = await self._answer(request)
            body = render_json(document)
            await asyncio.sleep(self.answer_s)
            writer.write(render(status, body, Store_Era=str(self.era)))
            await writer.drain()
            query = parse_qs(urlsplit(request.target).query)
            if (
                self.on_page is not None
                and "items" in document
                and "watch" not in query
            ):
                kind = request.target.split("/")[3].partition("?")[0]
                await self.on_page(kind, document["has_more"])

    async def _answer(self, request: Request) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        segments = [unquote(item) for item in url.path.split("/")[3:]]
        kind, name = segments[0], segments[1] if len(segments) > 1 else ""
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if request.method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if request.method == "GET":
            return 200, self._list(kind, query.get("after", ""))
        return self._change(request, kind, name)

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        found = sorted(n for k, n in self.objects if k == kind and n > after)
        items: list[Any] = []
        size = 0
        for name in found:
            item = self.objects[kind, name]
            size += len(render_json(item))
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(item)
        return {
            "items": items,
            "has_more": len(items) < len(found),
            "current_rev": self.revision,
        }

    def _change(self, request: Request, kind: str, name: str) -> tuple[int, Any]:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        expected = metadata.get("revision")
        if known and expected not in (None, known["metadata"]["revision"]):
            return 409, known
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Door:
    """A port of a server that can reset each new channel as soon as it is open."""

    def __init__(self, server: Server) -> None:
        self._server = server
        # Channels beyond this are reset.
        self.max_channels = 10_000
        self._loop = asyncio.get_running_loop()
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self.port = int(self._listener.getsockname()[1])
        self.resets = False
        self.reset_count = 0
        self.served_count = 0
        threading.Thread(target=self._run, daemon=True).start()

    def turn_away(self) -> None:
        """Reset the open channels and, until it is allowed again, each new one."""
        self.resets = True
        self._server.reset_port(self.port)

    def allow(self) -> None:
        """Serve new channels again."""
        self.resets = False

    def _run(self) -> None:
        self._listener.setblocking(False)
        # Channels that are reset soon, each with the time of its reset.
        doomed: list[tuple[float, socket.socket]] = []
        while True:
            if not doomed:
                select.select([self._listener], [], [])
            with contextlib.suppress(BlockingIOError):
                while True:
                    accepted, _ = self._listener.accept()
                    if self.resets or self._is_full():
                        accepted.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                        )
                        doomed.append((self._choose_reset_time(), accepted))
                    else:
                        self._serve(accepted)
            now_s = time.perf_counter()
            for due_s, accepted in doomed:
                if due_s <= now_s:
                    accepted.close()
            doomed = [item for item in doomed if item[0] > now_s]

    def _is_full(self) -> bool:
        return self._server.count_channels() >= self.max_channels

    def _choose_reset_time(self) -> float:
        self.reset_count += 1
        delay_s = RESET_DELAYS_S[self.reset_count % len(RESET_DELAYS_S)]
        return time.perf_counter() + delay_s

    def _serve(self, accepted: socket.socket) -> None:
        self.served_count += 1
        accepted.setblocking(False)
        asyncio.run_coroutine_threadsafe(self._server.adopt(accepted), self._loop)


@dataclass
class Run:
    """One run of a request at a worker."""

    worker: str
    request: str
    at_s: float
    born: int
    version: str
    ended: bool = False


Script = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[None]]


class Worker(Server):
    """A worker of a service that answers each request by its script."""

    def __init__(
        self, name: str, service: str, store: Store, script: Script, stage: str = ""
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.record = store.record
        self.script = script
        self.stage = stage
        self.version = "1.0"
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.state = "ready"
        # PROTOCOL.md: channels beyond this, of all callers combined, are reset.
        self.max_channels = 10_000
        self.reset_count = 0
        # PROTOCOL.md: idle channels are closed after a timeout, which Keep-Alive names.
        self.idle_s = 3

    def register(self, **changes: Any) -> None:
        """Write this worker's entry to the store."""
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "addr": f"{HOST}:{self.port}",
                "zone": "a",
                "version": self.version,
                "slots": 64 if self.stage else 6,
                "state": self.state,
                "cold_left_ms": 0,
                "stage": self.stage,
                "models": [],
                "seq": 1,
                "born": self.born,
            }
            | changes,
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) > self.max_channels:
            self.reset_count += 1
            reset(writer)
            return
        while True:
            try:
                async with asyncio.timeout(self.idle_s):
                    request = await read_request(reader)
            except TimeoutError:
                return
            if request is None:
                return
            await self._serve_one(request, writer)
            await writer.drain()

    async def _serve_one(self, request: Request, writer: asyncio.StreamWriter) -> None:
        path = urlsplit(request.target).path
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(render(421, Instance_Id=self.name, Not_Run="1"))
        elif path == "/-/report":
            report = {"stage": self.stage, "models": [], "busy": False, "seq": 0}
            report |= {"waiting": 0, "running": 0, "born": self.born}
            writer.write(render(200, json.dumps(report).encode()))
        elif path == "/-/kv-list":
            writer.write(render(200, json.dumps({"held": []}).encode()))
        elif path.startswith("/-/"):
            writer.write(render(200))
        else:
            await self.script(self, request, writer)

    def begin_run(self, request: Request) -> Run:
        """Record that a request begins to run."""
        run = Run(self.name, request.id, self.record.now(), self.born, self.version)
        self.runs.append(run)
        self.record.write(
            "run", worker=self.name, version=self.version, request=request.id
        )
        return run

    def stamp(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        return {
            "Request_Id": request.id,
            "Server_Stamp": f"{self.name}.{self.born}",
            "Keep_Alive": f"timeout={self.idle_s}",
        }


def make_plain(work_s: float) -> Script:
    """Return a script that runs a request for some time and answers it."""

    async def script(
        worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        run = worker.begin_run(request)
        await asyncio.sleep(work_s)
        run.ended = True
        body = f"answer of {worker.name} to {request.id}".encode()
        writer.write(render(200, body, **worker.stamp(request)))

    return script


def make_stream(events: int, gap_s: float) -> Script:
    """Return a script that streams events, each with the version of the worker."""

    async def script(
        worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        run = worker.begin_run(request)
        version = worker.version
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += ["Content-Type: text/event-stream"]
        lines += [
            f"{name.replace('_', '-')}: {value}"
            for name, value in worker.stamp(request).items()
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            data = f"id: {number}\ndata: {worker.name} {version}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        run.ended = True

    return script


@dataclass
class Answer:
    """What a client got for one request; status 0 if the channel just closed."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    def list_events(self) -> list[tuple[int, str]]:
        """Return the number and the data of each complete event."""
        found = []
        for block in self.body.split(b"\n\n")[:-1]:
            fields = dict(
                line.split(": ", 1)
                for line in block.decode().split("\n")
                if ": " in line
            )
            found.append((int(fields["id"]), fields["data"]))
        return found


class Channel:
    """A client's channel to a gateway."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Answer:
        """Send a request and read its answer."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(HOST, self.port)
        lines = [f"{method} {path} HTTP/1.1", "Host: calls.example"]
        lines += [
            f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            return await self._read()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return Answer(0)

    async def _read(self) -> Answer:
        assert self._reader is not None
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        answer = Answer(int(lines[0].split(" ")[1]), headers)
        try:
            if headers.get("transfer-encoding") == "chunked":
                await self._read_chunks(answer)
            else:
                length = int(headers.get("content-length", "0"))
                answer.body = await self._reader.readexactly(length)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
        if headers.get("connection") == "close":
            self.close()
        return answer

    async def _read_chunks(self, answer: Answer) -> None:
        assert self._reader is not None
        while True:
            line = await self._reader.readuntil(b"\r\n")
            size = int(line, 16)
            data = await self._reader.readexactly(size + 2)
            if size == 0:
                return
            answer.body += data[:-2]

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call_once(
    port: int, method: str, path: str, body: bytes = b"", **headers: str
) -> Answer:
    """Send a request on a channel of its own."""
    channel = Channel(port)
    try:
        return await channel.call(method, path, body, **headers)
    except OSError:
        return Answer(0)
    finally:
        channel.close()


def find_port() -> int:
    """Return a free port below those that the kernel gives to connections."""
    while True:
        port = random.randrange(*PORTS)
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind((HOST, port))
                datagram.bind((HOST, port))
            except OSError:
                continue
            return port


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration under /NAME/."""
    return {
        "name": name,
        "host": "calls.example",
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 1500,
        "slo_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
    } | fields


def make_config(version: int, routes: list[Any], services: list[Any]) -> dict[str, Any]:
    """Return a configuration of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 15000,
        },
    }


class Gateway:
    """A process of the project, started with the command of its deploy file."""

    def __init__(
        self, name: str, store_port: int, folder: Path, record: Record
    ) -> None:
        self.name = name
        self.port, self.ready_port = find_port(), find_port()
        self.peer_port = find_port()
        self.settings: dict[str, Any] = {
            "node": name,
            "role": "gateway",
            "class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"{HOST}:{self.port}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": [],
            "first_start": True,
            "heartbeat_ms": 1200,
            "bounds": dict(BOUNDS),
            "platform_store": {
                "addr": f"{HOST}:{store_port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self._record = record
        self._path = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        # JSON is YAML.
        self._path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        words[words.index("--metrics-port") + 1] = str(find_port())
        words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BRAMLEYPORT_NODE_FILE": str(self._path),
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("gateway started", name=self.name)
        self.settings["first_start"] = False

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.write("signal", name=self.name, signal=number.name)
        self._process.send_signal(number)

    async def wait_ended(self) -> int:
        """Wait until the process has ended."""
        assert self._process is not None
        return await self._process.wait()

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        async with asyncio.timeout(limit_s):
            while True:
                answer = await call_once(self.ready_port, "GET", "/-/ready")
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def kill(self) -> None:
        """End the process if it runs."""
        if self.running:
            assert self._process is not None
            self._process.kill()
            await self._process.wait()


def run_case(
    folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]
) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it broke, 2 on an error."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write("case", trouble=trouble)

    async def limited() -> bool:
        async with asyncio.timeout(110):
            with tempfile.TemporaryDirectory() as name:
                return await case(record, Path(name), trouble)

    try:
        held = asyncio.run(limited())
    except BaseException as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("rule held" if held else "rule broken")
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)


SWITCH_S = 3.0
KV_HOLD_S = 5.0
ENGINE = {
    "slots": 64,
    "kv_capacity": 536565,
    "kv_token_bytes": 163840,
    "link_mbps": 1900000.0,
    "kv_hold_s": KV_HOLD_S,
    "switch_s": SWITCH_S,
}


class Engine(Worker):
    """A model worker with a stage: it prefills prompts, or streams answers."""

    def __init__(
        self, name: str, service: str, store: Store, script: Script, stage: str
    ) -> None:
        super().__init__(name, service, store, script, stage)
        self.order_count = 0
        self._handles: dict[str, float] = {}
        self._busy = False
        self._changes: set[asyncio.Task[None]] = set()

    async def _serve_one(self, request: Request, writer: asyncio.StreamWriter) -> None:
        path = urlsplit(request.target).path
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(render(421, Instance_Id=self.name, Not_Run="1"))
        elif path == "/-/report":
            report = {"stage": self.stage, "models": [], "busy": self._busy}
            report |= {"seq": self.order_count, "waiting": 0, "running": 0}
            report |= {"kv_used": 0, "kv_total": ENGINE["kv_capacity"]}
            report |= {"kv_handles": len(self._handles), "born": self.born}
            writer.write(render(200, json.dumps(report).encode()))
        elif path == "/-/order":
            self._accept_order(json.loads(request.body), writer)
        elif path.startswith("/-/kv-handle/"):
            found = self._handles.pop(path.rpartition("/")[2], None)
            writer.write(render(404 if found is None else 200))
        elif path == "/-/kv-list":
            writer.write(render(200, json.dumps({"held": []}).encode()))
        elif path.startswith("/-/"):
            writer.write(render(404))
        elif self._busy:
            writer.write(render(503, Not_Run="1", Request_Id=request.id))
        elif request.headers.get("stage") == "prefill":
            self._prefill(request, writer)
        elif self.stage == "prefill":
            writer.write(render(421, Not_Run="1", Request_Id=request.id))
        else:
            await self.script(self, request, writer)

    async def listen_under_supervisor(self) -> None:
        """Listen on a port that a supervisor keeps open across restarts."""
        self._port_socket = socket.create_server((HOST, 0), backlog=512)
        self.port = int(self._port_socket.getsockname()[1])
        await self._listen_again()

    async def _listen_again(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, sock=self._port_socket.dup()
        )

    async def restart(self, version: str, down_s: float) -> None:
        """Crash, and start again under the same id with a software version.

        Channels that are opened meanwhile wait at the port for the new process.
        """
        self.record.write("crash", worker=self.name, version=self.version)
        await self.stop()
        await asyncio.sleep(down_s)
        self.version, self.born = version, int(time.time() * 1000)
        self.order_count, self._busy = 0, False
        self._handles.clear()
        self.register()
        await self._listen_again()
        self.record.write("started again", worker=self.name, version=version)

    def _prefill(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.stage != "prefill":
            writer.write(render(421, Not_Run="1", Request_Id=request.id))
            return
        handle = os.urandom(6).hex()
        self._handles[handle] = time.monotonic() + KV_HOLD_S
        body = json.dumps({"kv_handle": handle, "tokens": 1460, "version": 1}).encode()
        writer.write(
            render(
                200, body, Request_Id=request.id, Keep_Alive=f"timeout={self.idle_s}"
            )
        )

    def _accept_order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        expected = order.get("expected", self.order_count)
        if self._busy or expected != self.order_count:
            writer.write(render(409))
            return
        if order["stage"] == self.stage:
            writer.write(render(200))
            return
        self.order_count += 1
        self._busy = True
        change = asyncio.ensure_future(self._change_stage(order["stage"]))
        self._changes.add(change)
        change.add_done_callback(self._changes.discard)
        writer.write(render(202))

    async def _change_stage(self, stage: str) -> None:
        await asyncio.sleep(SWITCH_S)
        self.stage = stage
        self._busy = False
        if self._server is not None:
            self.register()
