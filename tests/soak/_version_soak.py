"""Replace engines by other versions while streams break off and are taken up again."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Final

from tests.gateway_fleet import LANGUAGE, PLAIN, make_config
from tests.platform_standin import (
    EVENT_COUNT,
    CallerAnswer,
    RawCaller,
    StoreStandin,
    UpstreamStandin,
    VersionedEngine,
    read_versions,
)
from tests.soak._findings import Findings
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import Direction, FaultProxy

START_LIMIT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.02
ENGINES: Final = 6
VERSIONS: Final = ("v1", "v2", "v3")
BREAK_FRACTION: Final = 0.3
MAX_TAKE_UPS: Final = 4
MAX_FAULT_INTERVAL_S: Final = 1.5
# Engines that drain serve for a while.
DRAIN_S: Final = 3.0
SETTLE_S: Final = 4.0
CALLERS_PER_GATEWAY: Final = 3
ANSWER_TIMEOUT_S: Final = 6.0
# From so many streams that are taken up, the fraction that goes on is checked.
MIN_TAKE_UPS: Final = 12
MIN_GONE_ON_FRACTION: Final = 0.5
# All gateways were killed, or lost the store, so lately that some streams are unknown.
UNKNOWN_S: Final = 12.0

Fault = Callable[["VersionSoak"], Coroutine[Any, Any, None]]
VERSION_FAULTS: Final[dict[str, Fault]] = {}


def register_version_fault(fault: Fault) -> Fault:
    """Register what happens beside streams of several versions."""
    VERSION_FAULTS[fault.__name__] = fault
    return fault


@dataclass(slots=True)
class TakenStream:
    """Describe a stream over all its answers."""

    request: str
    versions: list[str] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        return len(self.versions) >= EVENT_COUNT


class VersionSoak:
    """Represent one soak test of streams at engines of several versions."""

    def __init__(self, seed: int, folder: Path, *, gateways: int) -> None:
        self.random = Random(seed)
        self.findings = Findings()
        self.store = StoreStandin()
        self.gateways: list[GatewayProcess] = []
        self.engines: list[VersionedEngine] = []
        self.unknown_until_s = 0.0
        self._folder = folder
        self._gateway_count = gateways
        self._left: list[VersionedEngine] = []
        self._plain = UpstreamStandin("p0", service=PLAIN)
        self._number = 0
        self._taken_up = 0
        self._gone_on = 0
        self._stopping = False

    async def run(self, seconds: float) -> Findings:
        """Inject faults for some seconds and return the findings."""
        try:
            await self._start()
            await self._run(seconds)
        finally:
            await self._stop()
        if (
            self._taken_up >= MIN_TAKE_UPS
            and self._gone_on < MIN_GONE_ON_FRACTION * self._taken_up
        ):
            self.findings.violations.append(
                f"{self._gone_on} of {self._taken_up} taken-up streams went on"
            )
        return self.findings

    async def start_engine(self, version: str) -> VersionedEngine:
        """Start an engine of a version and register it."""
        self._number += 1
        name = f"d{self._number}"
        engine = VersionedEngine(name, service=LANGUAGE, stage="decode")
        engine.version = version
        engine.pause_s = 0.01
        engine.draw_break = lambda: self.random.random() < BREAK_FRACTION
        await engine.start()
        engine.register(self.store)
        self.engines.append(engine)
        return engine

    async def end_engine(self, engine: VersionedEngine) -> None:
        """End an engine at once, and remove its registration."""
        self.engines.remove(engine)
        self._left.append(engine)
        await engine.stop()
        if ("servers", engine.name) in self.store.objects:
            self.store.delete("servers", engine.name)

    async def _start(self) -> None:
        await self.store.start()
        self.store.put("config", "main", make_config())
        await self._plain.start()
        self._plain.register(self.store)
        for number in range(ENGINES):
            await self.start_engine(VERSIONS[number % 2])
        for number in range(self._gateway_count):
            store_proxy, caller_proxy = FaultProxy(self.store.port), FaultProxy(0)
            await store_proxy.start()
            await caller_proxy.start()
            name = f"g{number}"
            gateway = GatewayProcess(name, self._folder, store_proxy, caller_proxy)
            gateway.prepare()
            gateway.start()
            self.gateways.append(gateway)
        async with asyncio.timeout(START_LIMIT_S):
            while not all(item.has_logged_start() for item in self.gateways):
                await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)

    async def _run(self, seconds: float) -> None:
        count = CALLERS_PER_GATEWAY * len(self.gateways)
        callers = [asyncio.ensure_future(self._send_streams()) for _ in range(count)]
        faults = asyncio.ensure_future(self._inject_faults())
        await asyncio.sleep(seconds)
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        self._stopping = True
        await asyncio.gather(*callers)

    async def _inject_faults(self) -> None:
        running: set[asyncio.Future[None]] = set()
        try:
            while True:
                name = self.random.choice(list(VERSION_FAULTS))
                self.findings.faults[name] += 1
                running.add(asyncio.ensure_future(VERSION_FAULTS[name](self)))
                await asyncio.sleep(self.random.random() * MAX_FAULT_INTERVAL_S)
        finally:
            await asyncio.gather(*running, return_exceptions=True)

    async def _send_streams(self) -> None:
        while not self._stopping:
            self._number += 1
            await self._follow(TakenStream(f"s{self._number}"))
            await asyncio.sleep(self.random.random() * 0.1)

    async def _follow(self, stream: TakenStream) -> None:
        """Send a request, and take its stream up again until it is complete."""
        wait_s = 0.0
        for attempt in range(1 + MAX_TAKE_UPS):
            await asyncio.sleep(wait_s)
            resumes = bool(stream.versions)
            is_known = time.monotonic() > self.unknown_until_s
            serving = sum(e.version in stream.versions for e in self.engines)
            answer = await self._call(stream, attempt)
            status = "closed" if answer is None else str(answer.status)
            self.findings.calls[f"{'resumed' if resumes else 'new'} {status}"] += 1
            if answer is not None and answer.status == 200:
                stream.versions += read_versions(answer.body)
            if resumes and is_known and answer is not None and serving >= 2:
                self._taken_up += 1
                self._gone_on += answer.status == 200
            if len(set(stream.versions)) > 1:
                self.findings.violations.append(
                    f"stream {stream.request} has events of {stream.versions}"
                )
            if stream.is_complete or len(set(stream.versions)) > 1:
                return
            retry_after = answer.headers.get("retry-after", "0.1") if answer else "0.1"
            wait_s = min(1.5, float(retry_after))

    async def _call(self, stream: TakenStream, attempt: int) -> CallerAnswer | None:
        gateway = self.random.choice(self.gateways)
        caller = RawCaller(gateway.caller_proxy.port)
        headers = {
            "Model": "m",
            "Token_Counts": "1200,10",
            "Prompt_Prefix": f"a{self.random.randrange(3)}:400,b0:400,c:9",
            "Request_Id": f"{stream.request}.{attempt}",
        }
        if not stream.versions:
            stream.request = headers["Request_Id"]
        else:
            headers["Resumes"] = stream.request
            headers["Last_Event_Id"] = str(len(stream.versions))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await caller.call("/stream/x", body=b"b", **headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        finally:
            caller.close()

    async def _stop(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
            gateway.store_proxy.stop()
            gateway.caller_proxy.stop()
        for server in (*self.engines, *self._left, self._plain, self.store):
            await server.stop()


async def _restart(gateway: GatewayProcess, number: signal.Signals) -> None:
    process = gateway.process
    if process is None or process.poll() is not None:
        return
    gateway.send_if_running(number)
    while process.poll() is None:
        await asyncio.sleep(POLL_INTERVAL_S)
    if gateway.process is process:
        gateway.start()


@register_version_fault
async def release_version(soak: VersionSoak) -> None:
    """Replace an engine by one of another version; the old one drains."""
    old = soak.random.choice(soak.engines)
    await soak.start_engine(soak.random.choice(VERSIONS))
    old.register(soak.store, state="draining")
    await asyncio.sleep(DRAIN_S)
    if old in soak.engines:
        await soak.end_engine(old)


@register_version_fault
async def crash_engine(soak: VersionSoak) -> None:
    """End an engine at once, and start another one of its version soon."""
    if len(soak.engines) < ENGINES - 1:
        return
    engine = soak.random.choice(soak.engines)
    await soak.end_engine(engine)
    await asyncio.sleep(soak.random.random())
    await soak.start_engine(engine.version)


@register_version_fault
async def crash_version(soak: VersionSoak) -> None:
    """End all engines of a version at once, and start as many others soon."""
    version = soak.random.choice(VERSIONS)
    ended = [item for item in soak.engines if item.version == version]
    if len(ended) == len(soak.engines):
        return
    for engine in ended:
        await soak.end_engine(engine)
    await asyncio.sleep(soak.random.random() * 2)
    for engine in ended:
        await soak.start_engine(engine.version)


@register_version_fault
async def replace_process(soak: VersionSoak) -> None:
    """Start another version under the identifier and at the port of an engine."""
    engine = soak.random.choice(soak.engines)
    engine.version = soak.random.choice(VERSIONS)
    engine.born_ms += 1000
    engine.register(soak.store)
    engine.reset_connections()


@register_version_fault
async def reset_store_connections(soak: VersionSoak) -> None:
    """Reset the connections of one gateway to the store, again and again."""
    gateway = soak.random.choice(soak.gateways)
    end_s = time.monotonic() + 2 * soak.random.random()
    while time.monotonic() < end_s:
        gateway.store_proxy.reset_connections()
        await asyncio.sleep(soak.random.random() * 0.01)


@register_version_fault
async def silence_store(soak: VersionSoak) -> None:
    """Let the store be silent to one gateway for a while."""
    gateway = soak.random.choice(soak.gateways)
    gateway.store_proxy.held_directions = set(Direction)
    await asyncio.sleep(3 * soak.random.random())
    gateway.store_proxy.held_directions = set()


@register_version_fault
async def stop_gateway(soak: VersionSoak) -> None:
    """Stop a gateway with SIGTERM and start it again."""
    await _restart(soak.random.choice(soak.gateways), signal.SIGTERM)


@register_version_fault
async def kill_gateway(soak: VersionSoak) -> None:
    """Kill a gateway and start it again."""
    await _restart(soak.random.choice(soak.gateways), signal.SIGKILL)


@register_version_fault
async def kill_all_gateways(soak: VersionSoak) -> None:
    """Kill all gateways at once and start them again."""
    soak.unknown_until_s = time.monotonic() + UNKNOWN_S
    await asyncio.gather(*(_restart(item, signal.SIGKILL) for item in soak.gateways))


@register_version_fault
async def refuse_store_calls(soak: VersionSoak) -> None:
    """Make the store refuse every call for a while."""
    soak.unknown_until_s = time.monotonic() + UNKNOWN_S
    soak.store.refusal_status = soak.random.choice((503, 429))
    await asyncio.sleep(soak.random.random() * 2)
    soak.store.refusal_status = None
