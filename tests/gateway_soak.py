"""Run real gateway processes under random faults and check what callers are promised.

    python -m tests.gateway_soak --seed 1 --seconds 20

The store and the upstreams are stand-ins in this process, which also sees every run.
Faults come in series and overlap: gateways are paused, killed, stopped and started; the
store refuses, falls silent, resets and forgets; upstreams lose, break off, delay and
decline; connections are reset.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import click
import yaml

from tests.gateway_fleet import LANGUAGE, PLAIN, make_config, make_settings
from tests.platform_standin import (
    EVENT_COUNT,
    CallerAnswer,
    RawCaller,
    RawRequest,
    Script,
    StoreStandin,
    UpstreamStandin,
    answer_whole,
    decline,
    fail,
    hang,
    lose_answer,
    make_break_off,
    make_extra,
    render_event,
    truncate,
)

GATEWAYS = 3
CALLERS = 8
START_LIMIT_S = 20.0
QUIET_S = 5.0
MAX_FAULT_S = 2.0
WHOLE = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))
PROMPT = {"Model": "m", "Token_Counts": "4000,10"}
PLAIN_FAULTS: list[Script] = [
    lose_answer,
    truncate,
    decline,
    fail,
    hang,
    make_extra("foreign"),
]
STREAM_FAULTS: list[Script] = [
    make_break_off(0),
    make_break_off(2),
    make_break_off(3, within_event=True),
    decline,
    fail,
    hang,
]


@dataclass(slots=True)
class Findings:
    """Hold what was seen and which promises were broken."""

    calls: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)


class Soak:
    """Run gateways, callers and faults, and check the answers."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.folder = folder
        self.findings = Findings()
        self.store = StoreStandin()
        self.upstreams = [UpstreamStandin(f"p{n}", service=PLAIN) for n in range(3)]
        self.upstreams += [
            UpstreamStandin(f"d{n}", service=LANGUAGE, stage="decode") for n in range(3)
        ]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.ports: dict[int, int] = {}
        # Size of each log when its process was started last.
        self.log_starts: dict[int, int] = {}
        self.answers: dict[str, tuple[str, CallerAnswer | None]] = {}
        self.number = 0
        self.ending = False

    async def run(self, seconds: float) -> Findings:
        await self._start()
        callers = [asyncio.ensure_future(self._call_often()) for _ in range(CALLERS)]
        faults = asyncio.ensure_future(self._inject())
        await asyncio.sleep(seconds)
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        await self._heal()
        await self._check_recovery()
        self.ending = True
        await asyncio.gather(*callers)
        await self._stop()
        self._check_runs()
        return self.findings

    async def _start(self) -> None:
        await self.store.start()
        self.store.put("config", "main", make_config())
        for upstream in self.upstreams:
            await upstream.start()
            upstream.script = self._make_script(upstream)
            upstream.register(self.store)
        for number in range(GATEWAYS):
            self._start_gateway(number)
        await self._wait_ready()

    def _make_script(self, upstream: UpstreamStandin) -> Script:
        faults = STREAM_FAULTS if upstream.stage else PLAIN_FAULTS

        async def script(
            upstream: UpstreamStandin,
            request: RawRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            chosen: Script = answer_whole
            if not self.ending and self.random.random() < 0.15:
                chosen = self.random.choice(faults)
            await asyncio.sleep(self.random.random() * 0.02)
            await chosen(upstream, request, writer)

        return script

    def _start_gateway(self, number: int) -> None:
        path = self.folder / f"g{number}.yaml"
        if not path.exists():
            settings = make_settings(self.store.port) | {"node": f"g{number}"}
            path.write_text(yaml.safe_dump(settings))
        settings = yaml.safe_load(path.read_text())
        self.ports[number] = int(settings["listen"]["front"].rpartition(":")[2])
        with (self.folder / f"g{number}.log").open("ab") as log:
            self.log_starts[number] = log.tell()
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "bramleyport", "gateway", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
            )

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(GATEWAYS):
                while not await self._serves(number):
                    await asyncio.sleep(0.1)

    async def _serves(self, number: int) -> bool:
        caller = RawCaller(self.ports[number])
        try:
            name = self._name()
            path = "/read/x"
            answer = await caller.call(path, method="GET", Request_Id=name)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()

    def _name(self) -> str:
        self.number += 1
        return f"s{self.number}"

    async def _call_often(self) -> None:
        while not self.ending:
            port = self.ports[self.random.randrange(GATEWAYS)]
            await self._call_some(RawCaller(port))
            await asyncio.sleep(self.random.random() * 0.05)

    async def _call_some(self, caller: RawCaller) -> None:
        """Use one connection for a few calls, as long as it lasts."""
        try:
            for _ in range(self.random.randint(1, 5)):
                kind = self.random.choice(("read", "post", "once", "stream"))
                name = self._name()
                self.answers[name] = (kind, None)
                headers = {"Request_Id": name, "Deadline_Ms": "1500"}
                if kind in ("once", "stream"):
                    prefix = self.random.randrange(5)
                    headers |= PROMPT | {"Prompt_Prefix": f"a{prefix}:3000,{name}:1000"}
                async with asyncio.timeout(6.0):
                    answer = await caller.call(f"/{kind}/x", body=b"b", **headers)
                self.answers[name] = (kind, answer)
                self._check_answer(name, kind, answer)
        except (OSError, asyncio.IncompleteReadError):
            self.findings.calls["closed"] += 1
        except TimeoutError:
            self.findings.calls["unanswered"] += 1
        finally:
            caller.close()

    def _check_answer(self, name: str, kind: str, answer: CallerAnswer) -> None:
        self.findings.calls[f"{kind} {answer.status}"] += 1
        if answer.headers.get("request-id") not in (None, name):
            self.findings.broken.append(f"{name}: answer of another request")
        if answer.status != 200:
            return
        if "server-stamp" not in answer.headers:
            self.findings.broken.append(f"{name}: success without signature")
        if kind in ("read", "post"):
            if answer.body != f"answer to {name}".encode():
                self.findings.broken.append(f"{name}: body {answer.body[:60]!r}")
        elif answer.complete and answer.body != WHOLE:
            self.findings.broken.append(f"{name}: complete stream lacks events")
        elif not WHOLE.startswith(answer.body):
            self.findings.broken.append(
                f"{name}: events missing, twice or out of order"
            )

    def _check_runs(self) -> None:
        runs = Counter(
            run.request.headers["request-id"]
            for upstream in self.upstreams
            for run in upstream.runs
        )
        for name, (kind, answer) in self.answers.items():
            if kind in ("post", "once") and runs[name] > 1:
                self.findings.broken.append(f"{name}: {kind} ran {runs[name]} times")
            promised = answer is not None and answer.status in (408, 421, 429, 503)
            if kind in ("post", "once") and promised and runs[name]:
                self.findings.broken.append(f"{name}: promised not to run, but ran")
        unknown = set(runs) - set(self.answers)
        # Probes of this soak name themselves likewise, but keep no answer.
        foreign = [name for name in unknown if not name.startswith("s")]
        self.findings.broken += [
            f"{name}: ran, but no caller sent it" for name in foreign
        ]

    async def _inject(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._pause_gateway,
            self._kill_gateway,
            self._stop_gateway,
            self._refuse_at_store,
            self._silence_store,
            self._reset_store,
            self._forget_history,
            self._reset_upstream,
            self._drain_upstream,
            self._change_configuration,
        ]
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                fault = self.random.choice(faults)
                self.findings.faults[fault.__name__.strip("_")] += 1
                running.add(asyncio.ensure_future(fault()))
                await asyncio.sleep(self.random.random() * 0.8)
        finally:
            for task in running:
                task.cancel()

    def _pause_s(self) -> float:
        return self.random.random() * MAX_FAULT_S

    async def _pause_gateway(self) -> None:
        process = self.processes[self.random.randrange(GATEWAYS)]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self._pause_s())
            finally:
                process.send_signal(signal.SIGCONT)

    async def _kill_gateway(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _stop_gateway(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number_of_signal: signal.Signals) -> None:
        number = self.random.randrange(GATEWAYS)
        process = self.processes[number]
        if process.poll() is None:
            process.send_signal(number_of_signal)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            if number_of_signal is signal.SIGTERM:
                self._check_end(number, process.returncode)
        if self.processes[number] is process:
            self._start_gateway(number)

    def _check_end(self, number: int, code: int) -> None:
        """Check how a process ended that was told to stop.

        One that is told before it listens may end by the signal: seeds 110, 116, 117
        and 118 ended so, and no caller had reached it.
        """
        unstarted = code == -signal.SIGTERM and not self._has_listened(number)
        if code not in (0, -signal.SIGKILL) and not unstarted:
            self.findings.broken.append(f"g{number} ended with {code}")

    def _has_listened(self, number: int) -> bool:
        log = (self.folder / f"g{number}.log").read_bytes()
        return b'"event": 1001' in log[self.log_starts[number] :]

    async def _refuse_at_store(self) -> None:
        self.store.refuse_with = self.random.choice((503, 429))
        try:
            await asyncio.sleep(self._pause_s())
        finally:
            self.store.refuse_with = None

    async def _silence_store(self) -> None:
        self.store.silent = True
        try:
            await asyncio.sleep(self._pause_s())
        finally:
            self.store.silent = False

    async def _reset_store(self) -> None:
        self.store.reset_all()

    async def _forget_history(self) -> None:
        self.store.forget_history()
        self.store.reset_all()

    async def _reset_upstream(self) -> None:
        self.random.choice(self.upstreams).reset_all()

    async def _drain_upstream(self) -> None:
        upstream = self.random.choice(self.upstreams)
        upstream.register(self.store, state="draining")
        try:
            await asyncio.sleep(self._pause_s())
        finally:
            upstream.register(self.store)

    async def _change_configuration(self) -> None:
        version = self.store.objects["config", "main"]["spec"]["version"] + 1
        self.store.put("config", "main", make_config(version))

    async def _heal(self) -> None:
        self.store.refuse_with, self.store.silent = None, False
        for upstream in self.upstreams:
            upstream.register(self.store)
        for number, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            else:
                self._start_gateway(number)
        await asyncio.sleep(QUIET_S)

    async def _check_recovery(self) -> None:
        for number, process in list(self.processes.items()):
            # A stop that began before the end of the faults ends by now.
            if process.poll() is not None:
                self._start_gateway(number)
        try:
            await self._wait_ready()
        except TimeoutError:
            self.findings.broken.append("a gateway does not serve after the faults")

    async def _stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in (self.store, *self.upstreams):
            await server.stop()


async def soak(seed: int, seconds: float) -> Findings:
    """Run one soak; its logs stay in a temporary folder if a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    findings = await Soak(seed, folder).run(seconds)
    if not findings.broken:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    else:
        findings.broken.append(f"logs in {folder}")
    return findings


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds, one after another.")
@click.option("--seconds", default=20.0, help="Duration of the faults of each.")
def main(seed: int, seeds: int, seconds: float) -> None:
    """Soak gateways under faults and report broken promises."""
    failed = 0
    for number in range(seed, seed + seeds):
        findings = asyncio.run(soak(number, seconds))
        failed += bool(findings.broken)
        click.echo(
            f"seed {number}: {sum(findings.calls.values())} calls, "
            f"{sum(findings.faults.values())} faults, {len(findings.broken)} broken"
        )
        for text in findings.broken:
            click.echo(f"  {text}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
