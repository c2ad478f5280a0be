"""Guard that the stop of a gateway process cuts no call, whatever disturbs it."""

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.gateway_fleet import LANGUAGE, PLAIN, make_config
from tests.platform_standin import (
    LOOPBACK,
    RawCaller,
    RawRequest,
    StoreStandin,
    UpstreamStandin,
    answer_normally,
    make_stamp_headers,
    render_response,
)
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import FaultProxy

Run = Callable[[Coroutine[Any, Any, Any]], Any]

START_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.02
ROUTE_TIMEOUT_MS = 6000
# The gateway closes idle connections this long after the signal.
UNREADY_S = 3.0
BODY = b"b" * 40
LONG_BODY = b"x" * 90_000


class ProcessFleet:
    """Represent a gateway process with its store and upstreams on loopback."""

    def __init__(self, gateway: GatewayProcess, upstreams: list[UpstreamStandin]):
        self.gateway = gateway
        self.upstreams = upstreams

    @property
    def port(self) -> int:
        return self.gateway.caller_proxy.server_port

    def list_arrivals(self) -> list[Any]:
        return [item for upstream in self.upstreams for item in upstream.arrivals]

    def stop(self) -> None:
        self.gateway.send_if_running(signal.SIGTERM)

    async def wait_exited(self) -> int | None:
        await wait_until(lambda: not self.gateway.is_running)
        assert self.gateway.process is not None
        return self.gateway.process.returncode


async def wait_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[ProcessFleet]:
    store = StoreStandin()
    await store.start()
    config = make_config()
    for route in config["routes"]:
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
    store.put("config", "main", config)
    upstreams = [
        UpstreamStandin("p0", service=PLAIN),
        UpstreamStandin("d0", service=LANGUAGE, stage="decode"),
    ]
    for upstream in upstreams:
        await upstream.start()
        upstream.register(store)
    proxies = FaultProxy(store.port), FaultProxy(0)
    for proxy in proxies:
        await proxy.start()
    gateway = GatewayProcess("g0", folder, *proxies)
    gateway.prepare()
    gateway.start()
    try:
        await gateway.wait_started()
        fleet = ProcessFleet(gateway, upstreams)
        await wait_until_served(fleet)
        yield fleet
    finally:
        gateway.send_if_running(signal.SIGCONT)
        gateway.kill()
        for proxy in proxies:
            proxy.stop()
        for server in (store, *upstreams):
            await server.stop()


async def wait_until_served(fleet: ProcessFleet) -> None:
    """Wait until the gateway knows its configuration and upstreams."""
    for path in ("/post/x", "/stream/x"):
        async with asyncio.timeout(START_LIMIT_S):
            while await call(fleet, path) != "200":
                await asyncio.sleep(POLL_INTERVAL_S)


async def call(fleet: ProcessFleet, path: str) -> str:
    """Send a call on a new connection; return its status or how it ended."""
    caller = RawCaller(fleet.port)
    try:
        await caller.open()
    except ConnectionError:
        return "not accepted"
    try:
        return await send(caller, path)
    finally:
        caller.close()


async def send(caller: RawCaller, path: str) -> str:
    try:
        answer = await caller.call(path, body=BODY, Deadline_Ms="6000")
    except (ConnectionError, asyncio.IncompleteReadError):
        return "cut"
    return str(answer.status) if answer.complete else "incomplete"


def answer_after(delay_s: float) -> Any:
    """Return a script that answers after a while."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(delay_s)
        await answer_normally(upstream, request, writer)

    return script


def test_signals_within_a_stop_cut_no_call(run: Run, tmp_path: Path) -> None:
    """Guards against a stop that a second signal ends, or begins anew."""

    async def stop() -> tuple[str, int | None]:
        async with run_fleet(tmp_path) as fleet:
            for upstream in fleet.upstreams:
                upstream.script = answer_after(4.5)
            before = len(fleet.list_arrivals())
            running = asyncio.ensure_future(call(fleet, "/once/x"))
            await wait_until(lambda: len(fleet.list_arrivals()) > before)
            for _ in range(8):
                fleet.stop()
                await asyncio.sleep(0.2)
                fleet.gateway.reload()
                await asyncio.sleep(0.2)
            return await running, await fleet.wait_exited()

    assert run(stop()) == ("200", 0)


def test_requests_that_arrive_at_a_frozen_process_are_answered_in_a_stop(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a stop that counts the time for which its process stood still."""

    async def stop() -> list[str]:
        async with run_fleet(tmp_path) as fleet:
            kept = RawCaller(fleet.port)
            assert await send(kept, "/post/x") == "200"
            fleet.stop()
            await asyncio.sleep(UNREADY_S - 0.1)
            fleet.gateway.send_if_running(signal.SIGSTOP)
            calls = [asyncio.ensure_future(send(kept, "/post/x"))]
            calls += [
                asyncio.ensure_future(call(fleet, path))
                for path in ("/post/x", "/once/x", "/stream/x")
            ]
            await asyncio.sleep(1.5)
            fleet.gateway.send_if_running(signal.SIGCONT)
            ends = await asyncio.gather(*calls)
            assert await fleet.wait_exited() == 0
            return ends

    # Late in a stop only calls that end before it are accepted.
    assert set(run(stop())) <= {"200", "503"}


def test_answer_that_is_read_after_the_process_has_ended_is_whole(
    run: Run, tmp_path: Path
) -> None:
    """Guards against an exit that destroys an answer which its caller has not read."""

    async def answer_at_length(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
        headers = make_stamp_headers(upstream, request)
        writer.write(render_response(200, LONG_BODY, **headers))

    async def stop() -> int:
        async with run_fleet(tmp_path) as fleet:
            fleet.upstreams[0].script = answer_at_length
            fleet.stop()
            await asyncio.sleep(UNREADY_S - 1.0)
            connection = socket.create_connection((LOOPBACK, fleet.port))
            lines = ["POST /post/x HTTP/1.1", "Host: calls.example"]
            lines += ["Content-Length: 0", "Request-Id: w1", "Deadline-Ms: 2000"]
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
            await fleet.wait_exited()
            connection.settimeout(START_LIMIT_S)
            data = b""
            while chunk := connection.recv(65_536):
                data += chunk
            connection.close()
            return len(data.partition(b"\r\n\r\n")[2])

    assert run(stop()) == len(LONG_BODY)


def test_request_in_two_parts_is_answered_around_the_close_of_idle_connections(
    run: Run, tmp_path: Path
) -> None:
    """Guards against closing a connection while the body of its request arrives."""

    async def stop() -> list[str]:
        async with run_fleet(tmp_path) as fleet:
            signalled_s = time.monotonic()
            fleet.stop()
            callers = [
                asyncio.ensure_future(send_in_parts(fleet, signalled_s, at_s))
                for at_s in (2.6, 2.8, 2.9, 2.95, 3.0, 3.05)
            ]
            ends = await asyncio.gather(*callers)
            assert await fleet.wait_exited() == 0
            return ends

    assert set(run(stop())) <= {"200", "not accepted"}


async def send_in_parts(fleet: ProcessFleet, signalled_s: float, at_s: float) -> str:
    """Send the head and half of a body at one time of a stop, and the rest later."""
    await asyncio.sleep(signalled_s + at_s - time.monotonic())
    caller = RawCaller(fleet.port)
    try:
        await caller.open()
    except ConnectionError:
        return "not accepted"
    assert caller.writer is not None
    head = "POST /post/x HTTP/1.1\r\nHost: calls.example\r\nDeadline-Ms: 2000\r\n"
    head += f"Request-Id: p{at_s}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    try:
        caller.writer.write(head.encode() + BODY[:7])
        await asyncio.sleep(0.6)
        caller.writer.write(BODY[7:])
        return str((await caller.receive()).status)
    except (ConnectionError, asyncio.IncompleteReadError):
        return "cut"
    finally:
        caller.close()
