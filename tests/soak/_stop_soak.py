"""Stop gateways again and again, while their callers go on, and check the calls."""

import asyncio
import itertools
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from random import Random
from typing import Any, Final

import yaml

from tests.gateway_fleet import LANGUAGE, PLAIN, make_config
from tests.platform_standin import (
    RawRequest,
    Script,
    StoreStandin,
    UpstreamStandin,
    answer_normally,
)
from tests.soak._checks import Observations, check_runs
from tests.soak._findings import Findings, Impairments
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import FaultProxy
from tests.soak._stop_callers import (
    MIXED_CALLERS,
    RARE_CALLERS,
    SPARSE_CALLERS,
    StopCallers,
)
from tests.soak._stop_checks import (
    PlannedStop,
    StopObservations,
    UpstreamWork,
    check_stops,
)

EXIT_POLL_INTERVAL_S: Final = 0.02
GRACES_S: Final = (2.0, 4.0, 8.0)
MAX_RUN_S: Final = 1.5
# The time for an upstream's answer: mostly short, sometimes as long as a stop.
SHORT_ANSWER_S: Final = 0.05
SLOW_FRACTION: Final = 0.15
SLOW_ANSWERS_S: Final = (1.0, 7.0)
STORE_DELAYS_S: Final = (0.0, 0.15, 0.6, 3.0)
IDLE_LIMITS_MS: Final = (2000, 5000, 15000)
ROUTE_TIMEOUT_MS: Final = 9000
# After the last stop each call has reached its deadline.
SETTLE_S: Final = 10.0

Change = Callable[["StopSoak"], Coroutine[Any, Any, None]]
CHANGES: Final[dict[str, Change]] = {}


def register_change(change: Change) -> Change:
    """Register what changes beside the stops; none of it excuses a cut call."""
    CHANGES[change.__name__] = change
    return change


class StopSoak:
    """Represent one soak test of planned stops without any unplanned fault."""

    def __init__(self, seed: int, folder: Path, *, gateways: int) -> None:
        self.random = Random(seed)
        self.findings = Findings()
        self.store = StoreStandin()
        self.gateways: list[GatewayProcess] = []
        self._folder = folder
        self._gateway_count = gateways
        self._answers = Observations(self.findings, Impairments())
        self._stops = StopObservations(self.findings)
        self._callers = StopCallers(self._stops, self._answers, self.random)
        self._upstreams = [UpstreamStandin(f"p{n}", service=PLAIN) for n in range(2)]
        self._upstreams += [
            UpstreamStandin(f"d{n}", service=LANGUAGE, stage="decode") for n in range(2)
        ]
        self._graces_s: dict[str, float] = {}
        self._version = 1

    async def run(self, seconds: float) -> Findings:
        """Stop gateways for some seconds and return the findings."""
        try:
            await self._start()
            await self._run_stops(seconds)
        finally:
            await self._stop()
        check_runs(self._answers, self._upstreams)
        check_stops(self._stops)
        return self.findings

    def write_config(self, idle_timeout_ms: int) -> None:
        """Write a newer configuration with another idle limit."""
        self._version += 1
        config = make_config(self._version)
        for route in config["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        config["limits"]["idle_timeout_ms"] = idle_timeout_ms
        self.store.put("config", "main", config)

    async def _start(self) -> None:
        await self.store.start()
        self.write_config(IDLE_LIMITS_MS[-1])
        for upstream in self._upstreams:
            await upstream.start()
            upstream.script = self._make_script()
            upstream.register(self.store)
        for number in range(self._gateway_count):
            gateway = await self._add_gateway(f"g{number}")
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_started()

    async def _add_gateway(self, name: str) -> GatewayProcess:
        store_proxy, caller_proxy = FaultProxy(self.store.port), FaultProxy(0)
        await store_proxy.start()
        await caller_proxy.start()
        gateway = GatewayProcess(name, self._folder, store_proxy, caller_proxy)
        gateway.prepare()
        self.gateways.append(gateway)
        self._graces_s[name] = self.random.choice(GRACES_S)
        self._write_grace(gateway, self._graces_s[name])
        return gateway

    def _write_grace(self, gateway: GatewayProcess, grace_s: float) -> None:
        path = self._folder / f"{gateway.name}.yaml"
        settings = yaml.safe_load(path.read_text())
        settings["bounds"]["grace_s"] = grace_s
        path.write_text(yaml.safe_dump(settings))

    async def _run_stops(self, seconds: float) -> None:
        callers = self._start_callers()
        stops = [
            asyncio.ensure_future(self._stop_again_and_again(gateway))
            for gateway in self.gateways
        ]
        changes = asyncio.ensure_future(self._change())
        await asyncio.sleep(seconds)
        changes.cancel()
        for stop in stops:
            stop.cancel()
        results = await asyncio.gather(changes, *stops, return_exceptions=True)
        self._report_errors(results)
        self._callers.stopping = True
        await asyncio.wait(callers, timeout=SETTLE_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    def _report_errors(self, results: Sequence[BaseException | None]) -> None:
        """Report what ended the stops of a gateway early, which tested less then."""
        for result in results:
            if isinstance(result, Exception):
                self.findings.violations.append(f"the soak failed: {result!r}")

    def _start_callers(self) -> list["asyncio.Task[None]"]:
        """Start callers at a low rate for one half, of all kinds for the other."""
        middle = (len(self.gateways) + 1) // 2
        low_rates = itertools.cycle((SPARSE_CALLERS, RARE_CALLERS))
        groups = [next(low_rates) for _ in range(middle)]
        groups += [MIXED_CALLERS] * (len(self.gateways) - middle)
        runs = zip(self.gateways, groups, strict=True)
        return [
            asyncio.ensure_future(self._callers.use(gateway, group))
            for gateway, group in runs
            for _ in range(group.count)
        ]

    def _make_script(self) -> Script:
        async def script(
            upstream: UpstreamStandin,
            request: RawRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            work = UpstreamWork(time.monotonic())
            self._stops.work[request.headers["request-id"]] = work
            delay_s = self.random.random() * SHORT_ANSWER_S
            if self.random.random() < SLOW_FRACTION:
                delay_s = self.random.uniform(*SLOW_ANSWERS_S)
            await asyncio.sleep(delay_s)
            if not writer.is_closing():
                await answer_normally(upstream, request, writer)
            work.ended_s = time.monotonic()

        return script

    async def _change(self) -> None:
        while True:
            name = self.random.choice(list(CHANGES))
            self.findings.faults[name] += 1
            await CHANGES[name](self)
            await asyncio.sleep(self.random.random())

    async def _stop_again_and_again(self, gateway: GatewayProcess) -> None:
        while True:
            await asyncio.sleep(self.random.random() * MAX_RUN_S)
            await self._stop_once(gateway)
            gateway.start()
            await gateway.wait_started()

    async def _stop_once(self, gateway: GatewayProcess) -> None:
        """Stop a gateway, with further signals until its process has ended."""
        process = gateway.process
        assert process is not None
        grace_s = self._graces_s[gateway.name]
        waited_before_s = gateway.read_waited_s()
        stop = PlannedStop(gateway.name, grace_s, time.monotonic())
        self._stops.stops.append(stop)
        self.findings.faults["stop_gateway"] += 1
        gateway.send_if_running(signal.SIGTERM)
        signals = asyncio.ensure_future(self._send_signals(gateway, grace_s))
        try:
            while process.poll() is None:
                waited_s = gateway.read_waited_s() - waited_before_s
                stop.waited_s = max(stop.waited_s, waited_s)
                self._kill_late(gateway, stop)
                await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        finally:
            signals.cancel()
        self._write_grace(gateway, grace_s)
        stop.exited_s = time.monotonic()
        failure = gateway.describe_bad_exit(process.returncode)
        if failure is not None:
            self.findings.violations.append(failure)

    def _kill_late(self, gateway: GatewayProcess, stop: PlannedStop) -> None:
        """Kill a process at the end of its grace time, as the platform does."""
        if time.monotonic() >= stop.signalled_s + stop.grace_s:
            self.findings.faults["killed at the grace time"] += 1
            gateway.kill()

    async def _send_signals(self, gateway: GatewayProcess, grace_s: float) -> None:
        while True:
            await asyncio.sleep(self.random.random() * grace_s)
            number = self.random.choice((signal.SIGHUP, signal.SIGTERM))
            if number is signal.SIGHUP:
                # A shorter grace time holds for the next stop only.
                self._write_grace(gateway, grace_s / 2)
            gateway.send_if_running(number)

    async def _stop(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
            gateway.store_proxy.stop()
            gateway.caller_proxy.stop()
        for server in (self.store, *self._upstreams):
            await server.stop()


@register_change
async def slow_store(soak: StopSoak) -> None:
    """Make the store answer slowly, as it does when it is busy."""
    soak.store.delay_s = soak.random.choice(STORE_DELAYS_S)


@register_change
async def change_idle_limit(soak: StopSoak) -> None:
    """Write a configuration with another idle limit."""
    soak.write_config(soak.random.choice(IDLE_LIMITS_MS))
