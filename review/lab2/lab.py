"""Stand-ins for the cases of the second review: store, workers, callers, gateways.

They speak what the users' pages say, on loopback addresses, in one event loop. The
gateways are separate processes, started by the command of the deploy file.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent.parent
GATEWAY_MEMORY_MB = 300
# A case has 120 s.
LIMIT_S = 110.0
now = time.monotonic


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Write what was sent, answered and run, one JSON line each."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = now()
        self.rows = []

    def add(self, what, **fields):
        row = {"t": round(now() - self.began, 4), "what": what, **fields}
        self.rows.append(row)
        self.file.write(json.dumps(row) + "\n")
        return row

    def find(self, what):
        return [row for row in self.rows if row["what"] == what]


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    return Request(method, target, headers, await read_body(reader, headers))


def render(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Accept channels on one loopback address; `serve` handles one request."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port = host, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._run, self.host, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _run(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.serve(await read_request(reader), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.reset_all()
            self.server = None


class Store(Server):
    """The platform's store: objects, revisions, watches."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.watches = set()

    def put(self, kind, name, spec, status=None):
        known = self.objects.get((kind, name))
        if known is not None:
            old = dict(known["spec"]) if isinstance(known["spec"], dict) else known["spec"]
            new = dict(spec)
            if kind == "servers":
                old.pop("seq", None)
                new.pop("seq", None)
            if old == new:
                known["spec"] = spec
                return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name, "revision": self.revision, "created": created,
                "finalizers": [], "deleting": False,
            },
            "spec": spec, "status": status,
        }
        self.objects[kind, name] = item
        self._event(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._event(kind, item, True)
        return item

    def _event(self, kind, item, deleted):
        self.events.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request, reader, writer):
        await asyncio.sleep(0.004)
        status, document = await self.answer(request, writer)
        writer.write(render(status, [("Content-Type", "application/json")], json.dumps(document).encode()))

    async def answer(self, request, writer):
        parts = [unquote(item) for item in request.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query, writer)
        if request.method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if request.method == "GET":
            after = request.query.get("after", "")
            items = [v for (k, n), v in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = name or metadata.get("name")
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        wanted = metadata.get("revision", request.query.get("revision"))
        if wanted is not None and known and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, body["spec"])

    async def _watch(self, kind, query, writer):
        since, until = int(query["watch"]), now() + int(query.get("wait_ms", "0")) / 1000
        self.watches.add(writer)
        try:
            while True:
                found = [
                    {"object": item, "deleted": deleted}
                    for revision, k, item, deleted in self.events
                    if k == kind and revision > since
                ]
                left = until - now()
                if found or left <= 0:
                    return 200, {"events": found, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watches.discard(writer)


class Worker(Server):
    """A worker of a service. It registers itself while it lives."""

    heartbeat_s = 1.2

    def __init__(self, lab, name, service, *, stage="", slots=6, zone="a", version="1", host="127.0.0.1"):
        super().__init__(host)
        self.lab, self.service, self.stage, self.slots = lab, service, stage, slots
        self.zone, self.version = zone, version
        self.base, self.lifetime = name, 0
        self.id = name
        self.state = "ready"
        self.seq = 0
        self.born = 0
        self.up = False
        self.runs = 0
        self.beat = None
        self.beat_s = 0.0
        self.handles = 0
        self.orders = 0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.runs = self.orders = 0
        self.state = "ready"
        await super().start()
        self.up = True
        self.register()
        self.beat = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            self.register()

    def register(self):
        self.seq += 1
        self.beat_s = now()
        spec = {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        }
        if self.stage:
            spec |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        self.lab.store.put("servers", self.id, spec)

    def crash(self):
        """End at once: channels are reset, the port refuses, the entry lapses later."""
        if not self.up:
            return
        self.up = False
        self.beat.cancel()
        self.server.close()
        self.server = None
        self.reset_all()
        self.lab.later(self._lapse(self.id))

    async def _lapse(self, entry):
        """The store removes an entry after three intervals of silence."""
        await asyncio.sleep(max(0.0, self.beat_s + 3 * self.heartbeat_s - now()))
        self.lab.store.delete("servers", entry)

    async def come_back(self, after_s):
        """Start again at the same address, under a new id."""
        await asyncio.sleep(after_s)
        self.lifetime += 1
        self.id = f"{self.base}-{self.lifetime}"
        await self.start()

    async def serve(self, request, reader, writer):
        if request.get("expect-instance", self.id) != self.id:
            writer.write(render(421, [("Not-Run", "1"), ("Instance-Id", self.id)]))
            return
        if request.path.startswith("/-/"):
            self.serve_own(request, writer)
            return
        if request.get("stage") == "prefill":
            self.handles += 1
            body = json.dumps({"kv_handle": f"{self.id}h{self.handles}", "tokens": 1, "version": 1}).encode()
            writer.write(render(200, [("Request-Id", request.get("request-id"))], body))
            return
        await self.run(request, reader, writer)

    def serve_own(self, request, writer):
        if request.path == "/-/report":
            report = {
                "stage": self.stage, "models": [], "busy": False, "seq": self.orders,
                "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 500000,
                "kv_handles": 0, "born": self.born,
            }
            writer.write(render(200, [], json.dumps(report).encode()))
        elif request.path == "/-/order":
            self.orders += 1
            order = json.loads(request.body)
            self.lab.record.add("order", worker=self.id, **order)
            self.stage = order.get("stage", self.stage)
            self.register()
            writer.write(render(202))
        elif request.path == "/-/kv-list":
            writer.write(render(200, [], json.dumps({"epoch": 1, "next": 1, "held": []}).encode()))
        else:
            writer.write(render(200))

    def stamp(self, request):
        return [
            ("Request-Id", request.get("request-id")),
            ("Server-Stamp", f"{self.id}.{request.get('request-id')}"),
        ]

    async def run(self, request, reader, writer):
        raise NotImplementedError


def start_stream(writer, headers):
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join([*lines, "", ""]).encode())


def chunk(writer, data):
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def event(number, text="token"):
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = None, {}, b"", False, ""

    @property
    def events(self):
        return [int(line[3:]) for line in self.body.decode("latin-1").split("\n") if line.startswith("id:")]


class Channel:
    """One kept channel of a caller."""

    def __init__(self, gateway):
        self.gateway, self.reader, self.writer = gateway, None, None

    async def open(self):
        host, port = self.gateway.front
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)

    async def call(self, method, path, headers, body=b"", timeout_s=10.0):
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    await self.open()
                lines = [f"{method} {path} HTTP/1.1", "Host: calls.example"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body or method not in ("GET", "DELETE"):
                    lines.append(f"Content-Length: {len(body)}")
                self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await self.writer.drain()
                first, answer.headers = await read_head(self.reader)
                answer.status = int(first.split(" ")[1])
                if answer.headers.get("transfer-encoding") == "chunked":
                    while True:
                        size = int((await self.reader.readline()).split(b";")[0], 16)
                        answer.body += await self.reader.readexactly(size)
                        await self.reader.readline()
                        if not size:
                            break
                else:
                    answer.body = await read_body(self.reader, answer.headers)
                answer.whole = True
        except (asyncio.TimeoutError, TimeoutError):
            answer.error = "timeout"
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
            answer.error = type(error).__name__
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Gateway:
    """One gateway process, as the deploy file starts it."""

    def __init__(self, lab, index):
        self.lab, self.index = lab, index
        self.host = f"127.0.{lab.net}.{index + 1}"
        self.name = f"front-a-{index + 1}"
        self.first_start = True
        self.process = None
        self.log = None

    @property
    def front(self):
        return self.host, self.lab.ports["front"]

    def write_settings(self):
        lab, ports = self.lab, self.lab.ports
        settings = {
            "node": self.name, "role": "gateway", "class": "front", "serves": ["front"],
            "ip": self.host, "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {"front": f"{self.host}:{ports['front']}", "ready": f"{self.host}:{ports['ready']}"},
            "internal_ports": [ports["peer"], ports["peer"] + 1],
            "seeds": [], "first_start": self.first_start, "in_tolerance": False,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": GATEWAY_MEMORY_MB, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": lab.bounds,
            "platform_store": {"addr": lab.store.address, "form": "objects", "writes_per_s": 400,
                               "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        self.path = lab.folder / f"{self.name}.yaml"
        # JSON is YAML, too.
        self.path.write_text(json.dumps(settings))

    def start(self):
        self.write_settings()
        words = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"].split()
        words = [str(self.lab.ports["metrics"]) if word == "9464" else word for word in words]
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"BRAMLEYPORT_NODE_FILE": str(self.path), "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1"}
        self.log = open(self.lab.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.lab.record.add("gateway started", gateway=self.name, first_start=self.first_start)
        self.first_start = False

    def signal(self, number):
        self.lab.record.add("signal", gateway=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_end(self, limit_s=15.0):
        until = now() + limit_s
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.lab.ports["ready"]), 1.0)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
    "outer_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra_tries": 52,
    "recover_s": 12, "transit_ms": 120, "reuse_window_s": 9, "fence_checked": False,
    "lease_ms": 3000, "thaw_ms": 300,
}
ENGINE = {"slots": 64, "kv_capacity": 536565, "kv_token_bytes": 163840, "link_mbps": 1900000.0,
          "kv_hold_s": 5.0, "switch_s": 3.0}


def route(name, prefix, kind, service, **fields):
    return {"name": name, "host": "calls.example", "path_prefix": prefix, "route_kind": kind,
            "service": service, "timeout_ms": 5000, "slo_ms": 500, "priority": 0, "max_attempts": 2,
            "sticky": False, **fields}


def config(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 2000, "idle_timeout_ms": 15000}}


class Lab:
    """All parts of one small deployment."""

    def __init__(self, record_path, gateways=4, bounds=None):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.net = os.getpid() % 200 + 20
        base = f"127.0.{self.net}.1"
        self.ports = {name: free_port(base) for name in ("front", "ready", "metrics")}
        self.ports["peer"] = free_port(base)
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.workers = []
        self.helpers = []
        self.tasks = set()

    def later(self, coroutine):
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, configuration, workers):
        await self.store.start()
        self.store.put("config", "main", configuration)
        self.workers = workers
        for worker in workers:
            await worker.start()
        for gateway in self.gateways:
            gateway.start()
        until = now() + 20
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if now() > until:
                raise RuntimeError("the gateways are not ready")
            await asyncio.sleep(0.1)
        self.record.add("all ready")

    async def stop(self):
        for helper in self.helpers:
            if helper.poll() is None:
                helper.kill()
                helper.wait()
        for gateway in self.gateways:
            gateway.end()
        for task in list(self.tasks):
            task.cancel()
        for worker in self.workers:
            if worker.beat is not None:
                worker.beat.cancel()
            await worker.stop()
        await self.store.stop()


def main(play, check, gateways=4):
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `play(lab, trouble)` plays it; `check(lab)` returns whether the rule was broken.
    """
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(folder / "record.txt", gateways)
        lab.trouble = trouble
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                await play(lab, trouble)
            return check(lab)
        finally:
            await lab.stop()
            shutil.rmtree(lab.folder, ignore_errors=True)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
