"""Guard against starts that end in a traceback instead of a reason."""

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

LIMIT_S = 60  # only a hang reaches it


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


def check_failure(ended: Any, step: str, peer: str) -> None:
    assert ended.returncode == 1, ended.stderr
    assert "Traceback" not in ended.stderr
    lines = ended.stderr.splitlines()
    assert [line for line in lines if line.startswith(f"could not start: {step}")]
    logged = [json.loads(line) for line in ended.stdout.splitlines()]
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
def test_port_in_use_is_named(tmp_path: Path, role: str, field: str) -> None:
    settings = make_settings()
    port = find_port()
    (settings["process"] if field == "peer_port" else settings)[field] = port
    with socket.create_server(("127.0.0.1", port)):
        ended = run_role(tmp_path, role, settings)
    check_failure(ended, "listen", f"127.0.0.1:{port}")


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_unreadable_secret_is_named(tmp_path: Path, role: str) -> None:
    secret = str(tmp_path / "absent")
    ended = run_role(tmp_path, role, make_settings(secret_file=secret))
    check_failure(ended, "read secret_file", secret)


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_vanished_settings_are_named(tmp_path: Path, role: str) -> None:
    ended = run_role(tmp_path, role, None)
    check_failure(ended, "read settings", str(tmp_path / "settings.yaml"))


def test_unreadable_certificate_is_named(tmp_path: Path) -> None:
    files = {name: str(tmp_path / name) for name in ("certificate_file", "key_file")}
    tls = {**files, "ca_file": str(tmp_path / "ca_file")}
    ended = run_role(tmp_path, "agent", make_settings(tls=tls))
    check_failure(ended, "read tls files", ", ".join(tls.values()))


def test_address_without_secret_is_named(tmp_path: Path) -> None:
    settings = make_settings(address="10.255.255.1")
    check_failure(run_role(tmp_path, "entry", settings), "check settings", "p-0")
