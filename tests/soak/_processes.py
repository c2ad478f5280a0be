"""Run the gateway processes of a soak test."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from tests.gateway_fleet import make_settings
from tests.platform_standin import LOOPBACK
from tests.soak._proxy import FaultProxy

NANOSECONDS_PER_S = 1_000_000_000
STARTED_EVENT = b'"event": 1001'
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.02
# End of the log of a process that has not started, as far as it is reported.
REPORTED_LOG_BYTES = 2_000


class StartError(Exception):
    """Represent a gateway process that has not started."""


@dataclass(slots=True)
class GatewayProcess:
    """Represent one gateway process behind its proxies."""

    name: str
    folder: Path
    store_proxy: FaultProxy
    caller_proxy: FaultProxy
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0
    # When a signal to end it was sent last; callers may still reach it.
    stop_sent_s: float | None = None
    # When its processes were killed.
    kills_s: list[float] = field(default_factory=list)
    # Size of the log in bytes at the last start of the process.
    log_start: int = 0
    # The checkout whose program runs, so that several builds can run side by side.
    source: str = field(default_factory=os.getcwd)
    host: str = LOOPBACK

    def prepare(self) -> None:
        """Write the settings and point the caller proxy to the port for callers."""
        settings = make_settings(self.store_proxy.port) | {"node": self.name}
        settings["ip"] = self.host
        for name, address in settings["listen"].items():
            settings["listen"][name] = address.replace(LOOPBACK, self.host)
        self._settings.write_text(yaml.safe_dump(settings))
        port = settings["listen"]["front"].rpartition(":")[2]
        self.caller_proxy.server_port = int(port)

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bramleyport", "gateway", str(self._settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": self.source},
                cwd=self.source,
            )
        self.started_s = time.monotonic()
        self.stop_sent_s = None

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_if_running(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            if number is signal.SIGKILL:
                self.kills_s.append(time.monotonic())
            self.process.send_signal(number)

    def reload(self) -> None:
        """Change the settings file, and send SIGHUP if the process is listening."""
        settings = yaml.safe_load(self._settings.read_text())
        settings["first_start"] = not settings["first_start"]
        self._settings.write_text(yaml.safe_dump(settings))
        if self.has_logged_start():
            self.send_if_running(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_if_running(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def was_killed(self, start_s: float, end_s: float) -> bool:
        """Return whether a process was killed between two times."""
        return any(start_s <= time_s <= end_s for time_s in self.kills_s)

    def read_waited_s(self) -> float:
        """Return how long the process was ready to run, but had no processor."""
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) / NANOSECONDS_PER_S if fields else 0.0

    def describe_bad_exit(self, code: int) -> str | None:
        """Return the error if a process that got SIGTERM ended with a wrong exit code.

        A process that gets the signal before it listens may be ended by it, because no
        caller has reached it.
        """
        ended_before_listening = code == -signal.SIGTERM and not self.has_logged_start()
        if code in (0, -signal.SIGKILL) or ended_before_listening:
            return None
        return f"{self.name} ended with exit code {code}"

    def has_logged_start(self) -> bool:
        """Return whether the process has logged that it listens for callers."""
        return STARTED_EVENT in self._log.read_bytes()[self.log_start :]

    async def wait_started(self) -> None:
        """Wait until the process listens; raise StartError with its log if not."""
        until_s = time.monotonic() + START_LIMIT_S
        while not self.has_logged_start():
            if not self.is_running:
                raise StartError(self._describe_start("ended before it listened"))
            if time.monotonic() > until_s:
                raise StartError(self._describe_start("does not listen"))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _describe_start(self, what: str) -> str:
        after_s = time.monotonic() - self.started_s
        log = self._log.read_bytes()[self.log_start :][-REPORTED_LOG_BYTES:]
        return (
            f"{self.name} {what} after {after_s:.1f} s: {log.decode(errors='replace')}"
        )

    @property
    def _settings(self) -> Path:
        return self.folder / f"{self.name}.yaml"

    @property
    def _log(self) -> Path:
        return self.folder / f"{self.name}.log"
