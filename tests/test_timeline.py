"""Guard that the logs alone explain a failed request."""

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from bramleyport.cli._main import main
from bramleyport.telemetry import NotFoundError, build_timeline, parse_lines


def make_line(second: float, event: int, process: str = "g1", **fields: Any) -> str:
    time = f"2026-12-04T03:10:{second:09.6f}+00:00"
    record = {"time": time, "process": process, "event": event, "fields": fields}
    return json.dumps(record | {"message": f"[{event}]"})


REFUSED = [
    make_line(1, 2621, version=7),
    make_line(2, 2602, request="other"),
    make_line(3, 2627, kind="servers", reason="no answer within 1.5 s"),
    make_line(4, 2603, request="mine", reason="too_late", forecast_s=9.1, left_s=4.0),
]
LOST = [
    make_line(1, 2602, request="mine", upstream="i-1", reason="least_loaded"),
    make_line(2, 2610, request="mine", upstream="i-1", reason="closed in the answer"),
    make_line(3, 2604, request="mine", reason="not_repeatable", status=502),
]
OUTAGE = [
    make_line(1, 2627, kind="config", reason="connection refused"),
    make_line(2, 2625, upstream="i-1", reason="lapsed"),
    make_line(3, 2602, request="mine", upstream="i-2", reason="direct"),
    make_line(5, 2604, request="mine", reason="deadline", status=504),
]


@pytest.mark.parametrize(
    ("logs", "cause", "state_changes"),
    [(REFUSED, "too_late", 2), (LOST, "not_repeatable", 0), (OUTAGE, "deadline", 2)],
    ids=["refused", "lost", "outage"],
)
def test_timeline_has_cause_and_state_changes(
    logs: list[str], cause: str, state_changes: int
) -> None:
    timeline = build_timeline("mine", parse_lines(logs))
    assert timeline.cause == cause
    assert len(timeline.state_changes) == state_changes
    assert all(line.fields["request"] == "mine" for line in timeline.lines)


def test_lines_of_several_processes_are_sorted_by_time() -> None:
    logs = [
        make_line(5, 2605, "g2", request="mine"),
        "no log line",
        "prefix " + make_line(1, 2602, "g1", request="mine"),
        "{broken",
    ]
    timeline = build_timeline("mine", parse_lines(logs))
    assert [line.process for line in timeline.lines] == ["g1", "g2"]


def test_unknown_request_raises() -> None:
    with pytest.raises(NotFoundError):
        build_timeline("nobody", parse_lines(REFUSED))


def test_command_shows_the_timeline(tmp_path: Path) -> None:
    path = tmp_path / "g1.log"
    path.write_text("\n".join(LOST))
    result = CliRunner().invoke(main, ["explain", "mine", str(path)])
    assert result.exit_code == 0
    assert "cause: not_repeatable" in result.output
    assert "upstream=i-1" in result.output


def test_command_fails_for_an_unknown_request(tmp_path: Path) -> None:
    path = tmp_path / "g1.log"
    path.write_text("\n".join(LOST))
    result = CliRunner().invoke(main, ["explain", "nobody", str(path)])
    assert result.exit_code == 3
    assert "request nobody is named in none of 3 lines" in result.output


def test_command_reports_missing_lines() -> None:
    logs = [*LOST, make_line(9, 2602, request="x", suppressed=12)]
    result = CliRunner().invoke(main, ["explain", "mine"], input="\n".join(logs))
    assert "12 of 16 lines missing" in result.output


def test_command_lists_changes_of_a_time_span() -> None:
    arguments = ["explain", "-", "--since", "03:10:02", "--until", "03:10:04"]
    result = CliRunner().invoke(main, arguments, input="\n".join(REFUSED))
    assert "kind=servers" in result.output
    assert "version=7" not in result.output
    assert "request=" not in result.output
