"""Guard a gateway's memory and service against callers that read no answers."""

import asyncio
import fcntl
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import pytest
import yaml

from tests.child_processes import end_with_parent
from tests.gateway_fleet import PLAIN, make_config, make_settings
from tests.platform_standin import (
    LOOPBACK,
    RawCaller,
    RawRequest,
    Script,
    StoreStandin,
    UpstreamStandin,
    make_stamp_headers,
    render_response,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

MEMORY_MB: Final = 160
MAX_FDS: Final = 256
CROWD: Final = 40
# What one connection of the crowd sends at most, and for how long.
MAX_SENT_BYTES: Final = 6_000_000
SENT_BLOCK_BYTES: Final = 65_536
CROWD_S: Final = 6.0
MAX_GROWTH_MB: Final = 60
START_LIMIT_S: Final = 30.0
CALL_LIMIT_S: Final = 30.0
RECEIVE_BUFFER_BYTES: Final = 4_096
KEY: Final = "k" * 32
BODY_BYTES: Final = 4_194_304
LIMITS: Final = {
    "max_header_bytes": 16_384,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ACCOUNTS: Final = [{"name": "acme", "api_keys": [KEY]}]


@dataclass(frozen=True)
class Crowd:
    """Describe what each connection of a crowd sends, again and again."""

    request: bytes
    listener: str = "front"
    # Sent once, before the requests.
    start: bytes = b""
    max_bytes: int = MAX_SENT_BYTES
    has_accounts: bool = False
    # Size of the answers of upstreams.
    answer_bytes: int = 0


def get(path: str, host: str = "calls.example", headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n{headers}\r\n".encode()


CROWDS: Final = {
    "ready": Crowd(get("/-/ready"), "ready"),
    "ready path for callers": Crowd(get("/-/ready")),
    "no route": Crowd(get("/nowhere/x")),
    "unknown host": Crowd(get("/read/x", "unknown.example")),
    "long paths": Crowd(get("/nowhere/" + "x" * 4_000)),
    "calls": Crowd(get("/read/x", headers="Request-Id: crowd\r\n")),
    "unknown keys": Crowd(
        get("/read/x", headers="Request-Id: crowd\r\nApi-Key: wrong\r\n"),
        has_accounts=True,
    ),
    "unfinished bodies": Crowd(
        b"x" * 9_000,
        start=b"POST /read/x HTTP/1.1\r\nHost: calls.example\r\n"
        b"Request-Id: crowd\r\nContent-Length: 4000000\r\n\r\n",
        max_bytes=3_800_000,
    ),
    "unfinished heads": Crowd(
        b"x" * 1_000,
        start=b"GET /read/x HTTP/1.1\r\nHost: calls.example\r\nA: ",
        max_bytes=14_000,
    ),
    "calls with long answers": Crowd(
        get("/read/x", headers="Request-Id: crowd\r\n"), answer_bytes=4_000_000
    ),
    "whole bodies": Crowd(
        b"POST /nowhere/x HTTP/1.1\r\nHost: calls.example\r\n"
        b"Content-Length: 1000000\r\n\r\n" + b"x" * 1_000_000
    ),
    "idle": Crowd(b""),
}


class GatewayProcess:
    """Represent a gateway process, and what it uses."""

    def __init__(self, folder: Path, store_port: int) -> None:
        self.settings = make_settings(store_port)
        self.settings["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        path = folder / "node.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        environment = {"PYTHONPATH": os.getcwd(), "BRAMLEYPORT_NODE_FILE": str(path)}
        with (folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bramleyport", "gateway"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **environment},
                preexec_fn=end_with_parent,
            )

    def find_port(self, listener: str) -> int:
        return int(self.settings["listen"][listener].rpartition(":")[2])

    def read_peak_mb(self) -> float:
        """Return the largest resident memory that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def answers(self) -> bool:
        """Return whether one call and one readiness check are answered with 200."""
        call = RawCaller(self.find_port("front"))
        check = RawCaller(self.find_port("ready"))
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                answer = await call.call(
                    "/read/x", body=b"b", Request_Id="sound", Api_Key=KEY
                )
                ready = await check.call("/-/ready", method="GET")
            return (answer.status, ready.status) == (200, 200)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            call.close()
            check.close()

    async def wait_until_serving(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.answers():
                assert self.process.poll() is None
                await asyncio.sleep(0.1)


@pytest.fixture
def alone() -> Iterator[None]:
    """Keep these tests from running beside each other in other processes."""
    path = Path(tempfile.gettempdir()) / "bramleyport-test-crowd"
    with path.open("wb") as lock:
        fcntl.lockf(lock, fcntl.LOCK_EX)
        yield


@asynccontextmanager
async def run_gateway(folder: Path, crowd: Crowd) -> AsyncIterator[GatewayProcess]:
    store = StoreStandin()
    upstreams = [UpstreamStandin(f"p{number}", service=PLAIN) for number in range(2)]
    await store.start()
    fields: dict[str, Any] = {"tenants": ACCOUNTS} if crowd.has_accounts else {}
    store.put("config", "main", make_config(limits=LIMITS, **fields))
    for upstream in upstreams:
        if crowd.answer_bytes:
            upstream.script = make_long_answer(crowd.answer_bytes)
        await upstream.start()
        upstream.register(store)
    gateway = GatewayProcess(folder, store.port)
    try:
        await gateway.wait_until_serving()
        yield gateway
    finally:
        gateway.process.kill()
        gateway.process.wait()
        for server in (*upstreams, store):
            await server.stop()


def make_long_answer(size: int) -> Script:
    async def answer(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
        headers = make_stamp_headers(upstream, request)
        is_sound = request.headers["request-id"] == "sound"
        body = b"b" if is_sound else b"x" * size
        writer.write(render_response(200, body, **headers))

    return answer


async def send_ahead(connection: socket.socket, crowd: Crowd) -> int:
    """Send requests without reading; return how many bytes were sent."""
    loop = asyncio.get_running_loop()
    size = min(SENT_BLOCK_BYTES, crowd.max_bytes)
    block = crowd.request * max(1, size // max(1, len(crowd.request)))
    sent = 0
    try:
        async with asyncio.timeout(CROWD_S):
            await loop.sock_sendall(connection, crowd.start)
            while block and sent < crowd.max_bytes:
                await loop.sock_sendall(connection, block)
                sent += len(block)
                await asyncio.sleep(0)
    except (OSError, TimeoutError):
        pass
    return sent


async def connect(port: int) -> socket.socket:
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (LOOPBACK, port))
    return connection


# Guards against callers that send requests and read no answers, and so take the memory
# and the descriptors of a gateway from all others.
@pytest.mark.usefixtures("alone")
@pytest.mark.parametrize("kind", CROWDS)
def test_callers_that_read_nothing_leave_memory_and_service_to_others(
    run: Run, tmp_path: Path, kind: str
) -> None:
    crowd = CROWDS[kind]

    async def check() -> None:
        async with run_gateway(tmp_path, crowd) as gateway:
            calm_mb = gateway.read_peak_mb()
            port = gateway.find_port(crowd.listener)
            connections = [await connect(port) for _ in range(CROWD)]
            try:
                senders = [
                    asyncio.create_task(send_ahead(connection, crowd))
                    for connection in connections
                ]
                answered = await gateway.answers()
                await asyncio.gather(*senders)
                answered_later = await gateway.answers()
                descriptors = gateway.count_descriptors()
            finally:
                for connection in connections:
                    connection.close()
            assert gateway.process.poll() is None
            answered_after = await gateway.answers()
            growth_mb = gateway.read_peak_mb() - calm_mb
            print(f"{kind}: calm {calm_mb:.0f} MB, growth {growth_mb:.0f} MB")
            assert (answered, answered_later, answered_after) == (True, True, True)
            assert growth_mb < MAX_GROWTH_MB
            assert descriptors < MAX_FDS

    run(check())


# Guards against limits that refuse a single request inside the limits of the
# configuration, and against memory that one such request takes.
@pytest.mark.usefixtures("alone")
def test_largest_body_is_served_in_calm(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_gateway(tmp_path, CROWDS["idle"]) as gateway:
            caller = RawCaller(gateway.find_port("front"))
            answer = await caller.call(
                "/read/x", body=b"x" * BODY_BYTES, Request_Id="largest"
            )
            caller.close()
            assert answer.status == 200

    run(check())


# Guards against a process that has no descriptors left for its upstreams and for new
# callers, since idle connections hold all of them.
@pytest.mark.usefixtures("alone")
def test_idle_connections_leave_descriptors_to_others(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_gateway(tmp_path, CROWDS["idle"]) as gateway:
            port = gateway.find_port("front")
            connections = [await connect(port) for _ in range(MAX_FDS + CROWD)]
            try:
                assert await gateway.answers()
                assert gateway.count_descriptors() < MAX_FDS
            finally:
                for connection in connections:
                    connection.close()
            assert await gateway.answers()
            assert gateway.process.poll() is None

    run(check())
