"""Test that failed starts report a reason and not a traceback."""

import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from tests.ports import find_port

LIMIT_S = 60  # only reached if the process hangs


def make_settings(**process: Any) -> dict[str, Any]:
    return {
        "process": {
            "process": "p-0",
            "zone": "zone-a",
            "region": "region",
            "address": "127.0.0.1",
            "peer_port": find_port(),
            "object_api": "http://127.0.0.1:1",
            **process,
        }
    }


def run_role(directory: Path, role: str, settings: dict[str, Any] | None) -> Any:
    path = directory / "settings.yaml"
    if settings is not None:
        extra = (
            {"http_port": find_port()}
            if role == "entry"
            else {"upstream": "u", "upstream_url": "http://127.0.0.1:1"}
        )
        path.write_text(yaml.safe_dump({**extra, **settings}))
    return subprocess.run(
        [sys.executable, "-m", "bramleyport", role, str(path)],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        check=False,
    )


def check_failure(completed_process: Any, step: str, peer: str) -> None:
    assert completed_process.returncode == 1, completed_process.stderr
    assert "Traceback" not in completed_process.stderr
    lines = completed_process.stderr.splitlines()
    assert [line for line in lines if line.startswith(f"could not start: {step}")]
    logged = [json.loads(line) for line in completed_process.stdout.splitlines()]
    failed = [line for line in logged if line["event"] == 2361]
    assert len(failed) == 1
    fields = failed[0]["fields"]
    assert (fields["step"], fields["peer"]) == (step, peer)
    assert fields["reason"]


@pytest.mark.parametrize(
    ("role", "field"),
    [
        ("entry", "peer_port"),
        ("entry", "http_port"),
        ("agent", "peer_port"),
        ("agent", "metrics_port"),
    ],
)
def test_failed_start_reports_the_port_in_use(
    tmp_path: Path, role: str, field: str
) -> None:
    settings = make_settings()
    port = find_port()
    (settings["process"] if field == "peer_port" else settings)[field] = port
    with socket.create_server(("127.0.0.1", port)):
        completed_process = run_role(tmp_path, role, settings)
    check_failure(completed_process, "listen", f"127.0.0.1:{port}")


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_failed_start_reports_the_unreadable_secret(tmp_path: Path, role: str) -> None:
    secret = str(tmp_path / "absent")
    completed_process = run_role(tmp_path, role, make_settings(secret_file=secret))
    check_failure(completed_process, "read secret_file", secret)


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_failed_start_reports_the_missing_settings(tmp_path: Path, role: str) -> None:
    completed_process = run_role(tmp_path, role, None)
    check_failure(completed_process, "read settings", str(tmp_path / "settings.yaml"))


def test_failed_start_reports_the_unreadable_certificate(tmp_path: Path) -> None:
    files = {name: str(tmp_path / name) for name in ("certificate_file", "key_file")}
    tls = {**files, "ca_file": str(tmp_path / "ca_file")}
    completed_process = run_role(tmp_path, "agent", make_settings(tls=tls))
    check_failure(completed_process, "read tls files", ", ".join(tls.values()))


def test_failed_start_reports_the_address_without_secret(tmp_path: Path) -> None:
    settings = make_settings(address="10.255.255.1")
    check_failure(run_role(tmp_path, "entry", settings), "check settings", "p-0")
