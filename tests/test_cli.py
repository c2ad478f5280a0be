"""Guard the operators' commands: records, conflicts, exit codes and error messages."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from bramleyport.cli import main
from bramleyport.core import Revision
from bramleyport.records import RecordStatus, write_status
from bramleyport.standins import ObjectApiStandin, read_port, serve_app, stop_listening
from tests.ports import find_port

RECORD = """\
schema: v2
name: inspections
model: {name: inspector-8b, versions: ["1"]}
ranks:
  urgent: {answer_s: 20}
"""


class Platform:
    def __init__(self, directory: Path, standin: ObjectApiStandin, url: str) -> None:
        self.directory = directory
        self.standin = standin
        self.url = url

    def call(self, *arguments: str) -> Result:
        environment = {"BRAMLEYPORT_STORE": self.url}
        return CliRunner().invoke(main, ["record", *arguments], env=environment)

    def write(self, text: str, name: str = "record.yaml") -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)


@pytest.fixture
def platform(
    tmp_path: Path,
    loop: asyncio.AbstractEventLoop,
    run: Callable[[Coroutine[Any, Any, Any]], Any],
) -> Iterator[Platform]:
    standin = ObjectApiStandin()
    listener = run(serve_app(standin.app, find_port()))
    yield Platform(tmp_path, standin, f"http://127.0.0.1:{read_port(listener)}")
    run(stop_listening(listener))


def test_record_is_applied_shown_and_withdrawn(platform: Platform) -> None:
    path = platform.write(RECORD)
    assert platform.call("apply", "-f", path).exit_code == 0
    shown = platform.call("get", "inspections", "--output", "json")
    assert json.loads(shown.output)["spec"]["schema"] == "v2"
    assert "inspections" in platform.call("list").output
    assert platform.call("withdraw", "inspections").exit_code == 0
    assert platform.call("get", "inspections").exit_code == 4


def test_dry_run_changes_nothing(platform: Platform) -> None:
    result = platform.call("apply", "--dry-run", "-f", platform.write(RECORD))
    assert result.exit_code == 0
    assert platform.standin.store.objects == {}


def test_invalid_record_is_rejected_with_line_and_field(platform: Platform) -> None:
    path = platform.write(RECORD.replace("answer_s: 20", "answer_s: -1"))
    result = platform.call("apply", "-f", path)
    assert result.exit_code == 2
    assert f"{path}:5: ranks.urgent.answer_s: expected seconds" in result.output
    assert platform.standin.store.objects == {}


def test_expected_version_prevents_overwriting_a_concurrent_change(
    platform: Platform,
) -> None:
    path = platform.write(RECORD)
    platform.call("apply", "-f", path)
    platform.call("apply", "-f", path)
    result = platform.call("apply", "--if-version", "1", "-f", path)
    assert result.exit_code == 3
    assert "stored is 2" in result.output


def test_write_with_a_lost_store_answer_is_read_back(platform: Platform) -> None:
    platform.standin.faults.lose_answers = 1
    result = platform.call("apply", "-f", platform.write(RECORD))
    assert result.exit_code == 0
    assert platform.standin.store.objects["services", "inspections"]["version"] == 1


def test_store_outage_is_reported(platform: Platform) -> None:
    platform.standin.faults.outage = True
    result = platform.call("apply", "-f", platform.write(RECORD))
    assert result.exit_code == 1
    assert "unavailable" in result.output


def test_wait_times_out_without_status_reports(platform: Platform) -> None:
    path = platform.write(RECORD)
    assert platform.call("apply", "--wait", "0.1", "-f", path).exit_code == 5


def test_explain_shows_that_no_entry_has_reported(platform: Platform) -> None:
    platform.call("apply", "-f", platform.write(RECORD))
    assert "no entry has reported" in platform.call("explain", "inspections").output


def test_lagging_processes_are_listed(platform: Platform) -> None:
    """Guard that operators see which processes still use an old record."""
    platform.call("apply", "-f", platform.write(RECORD))
    status = RecordStatus(
        observed_revision=Revision(1), in_force=4, processes=7, lagging=["agent-x"]
    )
    spec = platform.standin.store.objects["services", "inspections"]["spec"]
    body = {"spec": spec, "status": write_status(status)}
    platform.standin.store.put("services", "inspections", body)
    expected = "lagging: agent-x and 2 more"
    assert expected in platform.call("get", "inspections").output
    assert expected in platform.call("explain", "inspections").output


ENTRY = """\
process: {process: e-0, zone: a, region: r, address: 127.0.0.1, peer_port: 1,
  object_api: "http://127.0.0.1:1"}
http_port: 8080
"""
INVALID_SETTINGS = [
    ("misspelt key", ENTRY + "drain_timout_s: 5\n", "did you mean drain_timeout_s?"),
    ("wrong type", ENTRY.replace("8080", "'x'"), "http_port: expected a whole number"),
    ("missing key", "http_port: 1\n", "process: the field is missing"),
    ("not a mapping", "- 1\n", "expected a mapping"),
]


@pytest.mark.parametrize(
    ("text", "expected"),
    [row[1:] for row in INVALID_SETTINGS],
    ids=[row[0] for row in INVALID_SETTINGS],
)
def test_invalid_settings_are_reported(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    result = CliRunner().invoke(main, ["check", "entry", str(path)])
    assert result.exit_code == 2
    assert expected in result.output


def test_valid_settings_pass_the_check(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY)
    assert CliRunner().invoke(main, ["check", "entry", str(path)]).exit_code == 0


def test_applied_record_reaches_every_process(demo: Any, tmp_path: Path) -> None:
    """Guard that the status of a record shows operators that it is in force."""
    path = tmp_path / "record.yaml"
    path.write_text(RECORD.replace("inspections", "flags"))
    environment = {"BRAMLEYPORT_STORE": demo.store_url}

    def call(*arguments: str) -> Result:
        return CliRunner().invoke(main, ["record", *arguments], env=environment)

    applied = call("apply", "--wait", "60", "-f", str(path))
    assert applied.exit_code == 0, applied.output
    assert "in force on 7 of 7 processes" in applied.output
    explained = call("explain", "flags").output
    assert "valid: yes" in explained
    assert "servable: yes" in explained
    assert "engines mixed: 4" in explained
