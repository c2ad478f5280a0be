"""The gateway processes of a soak."""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from tests.gateway_fleet import make_settings
from tests.soak._proxy import FaultProxy

STARTED_EVENT = b'"event": 1001'


@dataclass(slots=True)
class GatewayProcess:
    """Start, signal and judge one gateway, between its proxies."""

    name: str
    folder: Path
    store: FaultProxy
    callers: FaultProxy
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0
    # When it was last told to stop; callers may still reach it.
    stopped_s: float | None = None
    # Size of the log when the process was started last.
    log_start: int = 0

    def prepare(self) -> None:
        """Write the settings and learn the port for callers."""
        settings = make_settings(self.store.port) | {"node": self.name}
        self._settings.write_text(yaml.safe_dump(settings))
        port = settings["listen"]["front"].rpartition(":")[2]
        self.callers.server_port = int(port)

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bramleyport", "gateway", str(self._settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
            )
        self.started_s = time.monotonic()
        self.stopped_s = None

    @property
    def running(self) -> bool:
        """Return whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is there."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def reload(self) -> None:
        """Change the settings file and say so."""
        settings = yaml.safe_load(self._settings.read_text())
        settings["first_start"] = not settings["first_start"]
        self._settings.write_text(yaml.safe_dump(settings))
        if self.has_listened():
            self.send(signal.SIGHUP)

    def kill(self) -> None:
        """End the process and wait for it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def find_bad_end(self, code: int) -> str | None:
        """Return what is wrong with the end of a process that was told to stop.

        One that is told before it listens may end by the signal; no caller had
        reached it.
        """
        unstarted = code == -signal.SIGTERM and not self.has_listened()
        if code in (0, -signal.SIGKILL) or unstarted:
            return None
        return f"{self.name} ended with {code}"

    def has_listened(self) -> bool:
        """Return whether the process has logged that it listens."""
        return STARTED_EVENT in self._log.read_bytes()[self.log_start :]

    @property
    def _settings(self) -> Path:
        return self.folder / f"{self.name}.yaml"

    @property
    def _log(self) -> Path:
        return self.folder / f"{self.name}.log"
