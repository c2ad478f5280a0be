"""Guard the packaged program: one small process, one thread, no files, clean exit."""

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml
from click.testing import CliRunner

from bramleyport.cli import main
from bramleyport.packaging._zipapp import build_zipapp
from tests.child_processes import end_with_parent
from tests.ports import find_port

EXAMPLES = Path(__file__).parent.parent / "examples"
PROCESS_TIMEOUT_S = 30  # reached only if a process hangs
MEMORY_LIMIT_KB = 64 * 1024


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("dist") / "bramleyport.pyz"
    build_zipapp(target)
    return target


@pytest.mark.parametrize("site", ["kelani", "chaudhry"])
def test_example_settings_are_valid(site: str) -> None:
    for path in sorted((EXAMPLES / site).glob("*.yaml")):
        kind = path.stem.split("-")[0] if path.stem.startswith("agent") else path.stem
        kind = kind if kind in ("entry", "agent") else "record"
        result = CliRunner().invoke(main, ["check", kind, str(path)])
        assert result.exit_code == 0, result.output


def write_local_settings(source: Path, target: Path) -> dict[str, Any]:
    """Write and return example settings with loopback addresses and free ports."""
    settings: dict[str, Any] = yaml.safe_load(source.read_text())
    secret = target.parent / "secret"
    secret.write_text("test secret")
    settings["process"].update(
        address="127.0.0.1",
        peer_port=find_port(),
        object_api="http://127.0.0.1:1",
        secret_file=str(secret),
    )
    for name in ("http_port", "metrics_port"):
        if name in settings:
            settings[name] = find_port()
    target.write_text(yaml.safe_dump(settings))
    return settings


def wait_for_port(port: int) -> None:
    deadline_s = time.monotonic() + PROCESS_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
        except OSError:
            time.sleep(0.05)
        else:
            return
    raise AssertionError("the process did not listen")


def read_status(pid: int) -> dict[str, str]:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return dict(line.split(":", 1) for line in lines)


@pytest.fixture
def running_role(
    program: Path, tmp_path: Path, request: pytest.FixtureRequest
) -> Iterator[tuple[subprocess.Popen[bytes], dict[str, Any], Path]]:
    site, name = request.param
    work = tmp_path / "cwd"
    work.mkdir()
    path = tmp_path / "settings.yaml"
    settings = write_local_settings(EXAMPLES / site / f"{name}.yaml", path)
    role = name.split("-")[0]
    environment = {"PATH": os.environ["PATH"], "TMPDIR": str(work), "HOME": str(work)}
    process = subprocess.Popen(
        # -S hides the packages of the development environment, which hosts lack.
        # Otherwise a missing dependency would go unnoticed, and cryptography would
        # take 12 MB.
        [sys.executable, "-I", "-S", str(program), role, str(path)],
        cwd=work,
        env=environment,
        stderr=subprocess.DEVNULL,
        preexec_fn=end_with_parent,
    )
    yield process, settings, work
    process.kill()
    process.wait()


ROLES = [
    (site, name)
    for site in ("kelani", "chaudhry")
    for name in ("entry", "agent-language", "agent-plain")
]


@pytest.mark.parametrize("running_role", ROLES, indirect=True, ids="-".join)
def test_role_runs_as_one_small_process_without_files(
    running_role: tuple[subprocess.Popen[bytes], dict[str, Any], Path],
) -> None:
    process, settings, work = running_role
    port = settings.get("http_port") or settings["process"]["peer_port"]
    wait_for_port(port)
    if "metrics_port" in settings:
        # Loads the HTTP server, which takes part of the memory.
        wait_for_port(settings["metrics_port"])
        url = f"http://127.0.0.1:{settings['metrics_port']}/metrics"
        assert b"bramleyport_state" in urllib.request.urlopen(url).read()
    status = read_status(process.pid)
    assert status["Threads"].strip() == "1"
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
    assert children == ""
    assert int(status["VmRSS"].split()[0]) < MEMORY_LIMIT_KB
    assert list(work.iterdir()) == []
    process.send_signal(signal.SIGTERM)
    assert process.wait(PROCESS_TIMEOUT_S) == 0


@pytest.mark.parametrize("running_role", [("kelani", "entry")], indirect=True)
def test_entry_without_store_is_alive_but_not_ready(
    running_role: tuple[subprocess.Popen[bytes], dict[str, Any], Path],
) -> None:
    _, settings, _ = running_role
    base = f"http://127.0.0.1:{settings['http_port']}"
    wait_for_port(settings["http_port"])
    assert urllib.request.urlopen(f"{base}/healthz").status == 200
    with pytest.raises(urllib.error.HTTPError) as raised:
        urllib.request.urlopen(f"{base}/readyz")
    assert raised.value.code == 503
