"""Guard a gateway as a process: signals before it listens, and its exit codes."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import yaml

from tests.gateway_fleet import make_settings
from tests.ports import find_port

STARTED = b'"event": 1001'
START_LIMIT_S = 60.0
# Signals are sent this often; some of them come before the gateway listens.
SIGNAL_GAP_S = 0.005


def start(settings: Path, log: Path) -> "subprocess.Popen[bytes]":
    command = [sys.executable, "-m", "bramleyport", "gateway", str(settings)]
    with log.open("wb") as output:
        return subprocess.Popen(
            command, stdout=output, stderr=subprocess.STDOUT, env=dict(os.environ)
        )


def test_change_of_settings_while_it_starts_does_not_end_it(tmp_path: Path) -> None:
    # SIGHUP came before its handler was installed and ended the process.
    settings, log = tmp_path / "settings.yaml", tmp_path / "log"
    # No store listens there; the gateway starts and goes on trying.
    settings.write_text(yaml.safe_dump(make_settings(find_port())))
    process = start(settings, log)
    try:
        # The interpreter itself needs a moment until it can ignore a signal.
        while not ignores_hangup(process):
            assert STARTED not in log.read_bytes(), "the signal was never ignored"
            time.sleep(SIGNAL_GAP_S)
        deadline_s = time.monotonic() + START_LIMIT_S
        while STARTED not in log.read_bytes():
            assert time.monotonic() < deadline_s
            assert process.poll() is None, log.read_text()
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_GAP_S)
        process.send_signal(signal.SIGTERM)
        assert process.wait(START_LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()


def read_status(process: "subprocess.Popen[bytes]") -> bytes:
    return Path(f"/proc/{process.pid}/status").read_bytes()


def ignores_hangup(process: "subprocess.Popen[bytes]") -> bool:
    lines = read_status(process).splitlines()
    masks = [line.split()[1] for line in lines if line.startswith(b"SigIgn")]
    return bool(int(masks[0], 16) & 1 << (signal.SIGHUP - 1))
