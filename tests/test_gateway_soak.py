"""Guard the promises to callers while faults overlap, and the checks themselves."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests.gateway_soak import WHOLE, Soak, soak
from tests.platform_standin import (
    CallerAnswer,
    RawRequest,
    Run as UpstreamRun,
    render_event,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

SIGNED = {"server-stamp": "s"}


def test_short_soak_breaks_no_promise(run: Run) -> None:
    findings = run(soak(7, 5.0))
    assert findings.broken == []
    assert findings.calls["post 200"] > 0
    assert findings.calls["stream 200"] > 0


@pytest.mark.parametrize(
    ("kind", "answer"),
    [
        ("post", CallerAnswer(200, {}, b"answer to s1", True)),
        ("post", CallerAnswer(200, SIGNED, b"answer to s2", True)),
        ("post", CallerAnswer(200, SIGNED | {"request-id": "s2"}, b"x", True)),
        ("stream", CallerAnswer(200, SIGNED, render_event(1), True)),
        ("stream", CallerAnswer(200, SIGNED, render_event(2), False)),
        ("stream", CallerAnswer(200, SIGNED, WHOLE + render_event(5), True)),
    ],
    ids=["unsigned", "body", "crossed", "short", "gap", "twice"],
)
def test_broken_answer_is_found(
    tmp_path: Path, kind: str, answer: CallerAnswer
) -> None:
    checked = Soak(1, tmp_path)
    checked._check_answer("s1", kind, answer)
    assert checked.findings.broken


@pytest.mark.parametrize(
    ("status", "runs", "broken"),
    [(200, 2, True), (503, 1, True), (503, 0, False), (502, 1, False), (200, 1, False)],
)
def test_runs_are_held_against_what_callers_were_told(
    tmp_path: Path, status: int, runs: int, broken: bool
) -> None:
    checked = Soak(1, tmp_path)
    checked.answers["s1"] = ("post", CallerAnswer(status, {}, b"", True))
    request = RawRequest("POST", "/post/x", {"request-id": "s1"}, b"")
    checked.upstreams[0].runs = [UpstreamRun(request) for _ in range(runs)]
    checked._check_runs()
    assert bool(checked.findings.broken) is broken


@pytest.mark.parametrize(
    ("code", "log", "broken"),
    [
        (0, b'{"event": 1001}', False),
        (-15, b"", False),
        (-15, b'{"event": 1001}', True),
        (1, b"", True),
    ],
    ids=["stopped", "not listening yet", "stop not finished", "failed"],
)
def test_end_after_a_stop_is_checked(
    tmp_path: Path, code: int, log: bytes, broken: bool
) -> None:
    checked = Soak(1, tmp_path)
    earlier = b'{"event": 1001} of an earlier start'
    (tmp_path / "g0.log").write_bytes(earlier + log)
    checked.log_starts[0] = len(earlier)
    checked._check_end(0, code)
    assert bool(checked.findings.broken) is broken


def test_run_that_no_caller_sent_is_found(tmp_path: Path) -> None:
    checked = Soak(1, tmp_path)
    request = RawRequest("POST", "/post/x", {"request-id": "inner"}, b"")
    checked.upstreams[0].runs = [UpstreamRun(request)]
    checked._check_runs()
    assert checked.findings.broken
