"""Start gateways as the deploy file does, and end them by their ids."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lab3.wire import LOOPBACK

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_tries": 58,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 9,
    "fence_checked": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
}


def find_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as found:
        found.bind((LOOPBACK, 0))
        return int(found.getsockname()[1])


class Gateway:
    """Represent one machine of the class front and its process."""

    def __init__(self, name: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.port, self.ready_port = find_port(), find_port()
        self.path = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self.settings: dict[str, Any] = {
            "node": name,
            "role": "gateway",
            "class": "front",
            "serves": ["front"],
            "ip": LOOPBACK,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"{LOOPBACK}:{self.port}",
                "ready": f"{LOOPBACK}:{self.ready_port}",
            },
            "internal_ports": [find_port(), find_port()],
            "seeds": [],
            "first_start": True,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform_store": {
                "addr": f"{LOOPBACK}:{store_port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        # JSON is YAML.
        self.path.write_text(json.dumps(self.settings))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BRAMLEYPORT_NODE_FILE"] = str(self.path)
        command = [sys.executable, "-m", "bramleyport", "gateway"]
        command += ["--metrics-port", str(find_port())]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def make_folder() -> Path:
    """Return a temporary folder for settings and logs."""
    return Path(tempfile.mkdtemp(prefix="lab3-"))
