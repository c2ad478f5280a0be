"""Guard a gateway's memory and its other callers against answers without end."""

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

import pytest
import yaml

from tests.child_processes import end_with_parent
from tests.gateway_fleet import LANGUAGE, PLAIN, make_config, make_settings
from tests.platform_standin import (
    RawCaller,
    RawRequest,
    StoreStandin,
    UpstreamStandin,
    make_stamp_headers,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# Of the host, in its settings; the smallest hosts have a little less.
MEMORY_MB: Final = 256
HOSTILE_CALLERS: Final = 60
SOUND_CALLS: Final = 20
START_LIMIT_S: Final = 30.0
BLOCK: Final = b"x" * 65_536
CHUNK: Final = b"10000\r\n" + BLOCK + b"\r\n"
# What an upstream sends after the head of its answer, again and again.
KINDS: Final = {
    "chunks": ("/read/x", "Transfer-Encoding: chunked", CHUNK),
    "no length": ("/read/x", "Connection: close", BLOCK),
    "huge length": ("/read/x", f"Content-Length: {10**12}", BLOCK),
    "event": (
        "/stream/x",
        "Transfer-Encoding: chunked",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "tiny chunks": ("/read/x", "Transfer-Encoding: chunked", b"1\r\nx\r\n" * 8_192),
}


def make_endless(framing: str, block: bytes) -> Any:
    """Return the script of an upstream whose answers don't end."""

    async def send(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = make_stamp_headers(upstream, request)
        lines = ["HTTP/1.1 200 OK", framing]
        lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        while not writer.transport.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0)

    return send


def read_peak_mb(process: "subprocess.Popen[bytes]") -> float:
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@asynccontextmanager
async def run_gateway(
    folder: Path, store: StoreStandin
) -> AsyncIterator[tuple["subprocess.Popen[bytes]", int]]:
    """Run a gateway process, and yield it with its port for callers."""
    settings = make_settings(store.port) | {"limits": {"memory_mb": MEMORY_MB}}
    path = folder / "node.yaml"
    path.write_text(yaml.safe_dump(settings))
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "bramleyport", "gateway", str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": os.getcwd()},
            preexec_fn=end_with_parent,
        )
    port = int(settings["listen"]["front"].rpartition(":")[2])
    try:
        yield process, port
    finally:
        process.kill()
        process.wait()


async def call_until(port: int, path: str, end: asyncio.Event, number: int) -> None:
    count = 0
    while not end.is_set():
        count += 1
        caller = RawCaller(port)
        try:
            await caller.call(path, body=b"b", Request_Id=f"h{number}-{count}")
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)
        finally:
            caller.close()


async def call_soundly(port: int, path: str, number: int) -> int:
    caller = RawCaller(port)
    try:
        answer = await caller.call(path, body=b"b", Request_Id=f"s{number}")
        return answer.status
    finally:
        caller.close()


async def wait_until_serving(port: int, path: str) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            try:
                if await call_soundly(port, path, 0) == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)


# Guards against a gateway that runs out of memory, with the calls of all its callers,
# since upstreams send bytes without end.
@pytest.mark.parametrize("kind", KINDS)
def test_endless_answers_leave_memory_and_service_to_others(
    run: Run, tmp_path: Path, kind: str
) -> None:
    path, framing, block = KINDS[kind]
    hostile, sound = (PLAIN, LANGUAGE) if path == "/read/x" else (LANGUAGE, PLAIN)
    sound_path = "/stream/x" if sound == LANGUAGE else "/read/x"

    async def check() -> None:
        store = StoreStandin()
        await store.start()
        store.put("config", "main", make_config())
        upstreams = []
        for number in range(6):
            service = hostile if number < 4 else sound
            stage = "decode" if service == LANGUAGE else ""
            upstream = UpstreamStandin(f"u{number}", service=service, stage=stage)
            if service == hostile:
                upstream.script = make_endless(framing, block)
            await upstream.start()
            upstream.register(store)
            upstreams.append(upstream)
        end = asyncio.Event()
        async with run_gateway(tmp_path, store) as (process, port):
            await wait_until_serving(port, sound_path)
            callers = [
                asyncio.ensure_future(call_until(port, path, end, number))
                for number in range(HOSTILE_CALLERS)
            ]
            statuses = []
            for number in range(SOUND_CALLS):
                statuses.append(await call_soundly(port, sound_path, number + 1))
                await asyncio.sleep(0.1)
            end.set()
            peak_mb = read_peak_mb(process)
            assert process.poll() is None
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        for server in (*upstreams, store):
            await server.stop()
        print(f"{kind}: peak {peak_mb:.0f} MB, {statuses.count(200)} answered")
        assert peak_mb < MEMORY_MB
        assert statuses.count(200) == SOUND_CALLS

    run(check())
