"""Start, signal and command upstreams that are processes of their own."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

from tests.child_processes import end_with_parent
from tests.gateway_fleet import LANGUAGE, PLAIN
from tests.platform_standin import RawRequest, StoreStandin, UpstreamRun
from tests.ports import find_port
from tests.soak._run_scripts import ScriptGroup
from tests.soak._upstream_program import ARRIVAL, PREFILL, RUN, UpstreamSettings

START_POLL_S: Final = 0.02
START_LIMIT_S: Final = 20.0
STAGES: Final = ("decode",) * 3 + ("prefill",) * 2
PLAIN_COUNT: Final = 3
FAULTY_FRACTION: Final = 0.2
MILLISECONDS_PER_S: Final = 1000


@dataclass(slots=True)
class UpstreamProcess:
    """Represent an address at which one process after another serves as an upstream."""

    slot: str
    service: str
    stage: str
    host: str
    folder: Path
    random: Random
    groups: list[ScriptGroup]
    port: int = field(default_factory=find_port)
    # The identifier of the process; another process may start under another one.
    name: str = ""
    # Faults that stop or replace the process exclude each other.
    is_faulty: bool = False
    process: subprocess.Popen[bytes] | None = None
    _clock_offset_s: float = 0.0
    _born_ms: int = 0
    _sequence: int = 0
    _log_start: int = 0

    def start(self, name: str) -> None:
        """Start a process under an identifier."""
        self.name = name
        now_s = time.time() + self._clock_offset_s
        self._born_ms = int(now_s * MILLISECONDS_PER_S)
        settings = UpstreamSettings(
            name=name,
            service=self.service,
            stage=self.stage,
            host=self.host,
            port=self.port,
            born_ms=self._born_ms,
            seed=self.random.randrange(1 << 30),
            record_path=str(self._records),
            groups=self.groups,
            faulty_fraction=FAULTY_FRACTION if self.groups else 0.0,
        )
        with self._log.open("ab") as log:
            self._log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.soak._upstream_program", settings.dump()],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
                preexec_fn=end_with_parent,
            )

    async def wait_listening(self) -> None:
        """Wait until the process listens."""
        async with asyncio.timeout(START_LIMIT_S):
            while b"listening" not in self._log.read_bytes()[self._log_start :]:
                await asyncio.sleep(START_POLL_S)

    def kill(self) -> None:
        """Kill the process, and wait for its exit."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            assert self.process.stdin is not None
            self.process.stdin.close()

    def send_if_running(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def command(self, text: str) -> None:
        """Send a command to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            assert self.process.stdin is not None
            self.process.stdin.write(text.encode() + b"\n")
            self.process.stdin.flush()

    def step_clock(self, step_s: float) -> None:
        """Step the clock of this host; the next process starts with it, too."""
        self._clock_offset_s += step_s
        self.command(f"step {step_s}")

    def register(self, store: StoreStandin) -> None:
        """Write the registration of the process to the store."""
        self._sequence += 1
        registration = {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 64 if self.stage else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": self.stage,
            "models": list[str](),
            "seq": self._sequence,
            "born": self._born_ms,
        }
        store.put("servers", self.name, registration)

    @property
    def runs(self) -> list[UpstreamRun]:
        """Return the runs of all processes that served at this address."""
        return [
            UpstreamRun(RawRequest("", "", {"request-id": name}, b""), started_s=0.0)
            for name in self._read_names(RUN)
        ]

    def list_arrivals(self) -> list[str]:
        """Return the calls that processes at this address have read."""
        return self._read_names(ARRIVAL)

    def count_prefills(self) -> int:
        """Return how many separate prefills processes at this address have read."""
        return len(self._read_names(PREFILL))

    def _read_names(self, what: str) -> list[str]:
        lines = self._records.read_text().splitlines()
        entries = [line.split() for line in lines]
        return [entry[1] for entry in entries if entry[0] == what]

    @property
    def _records(self) -> Path:
        return self.folder / f"{self.slot}.runs"

    @property
    def _log(self) -> Path:
        return self.folder / f"{self.slot}.log"


def make_processes(
    folder: Path, random: Random, groups: list[ScriptGroup], hosts: Sequence[str]
) -> list[UpstreamProcess]:
    """Return the plain upstreams and the engines, spread over some hosts."""
    slots = [(f"p{n}", PLAIN, "") for n in range(PLAIN_COUNT)]
    slots += [(f"d{n}", LANGUAGE, stage) for n, stage in enumerate(STAGES)]
    return [
        UpstreamProcess(
            slot=slot,
            service=service,
            stage=stage,
            host=hosts[number % len(hosts)],
            folder=folder,
            random=random,
            groups=groups,
        )
        for number, (slot, service, stage) in enumerate(slots)
    ]
