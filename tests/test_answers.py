"""Test that an answer with missing, repeated or foreign frames is not accepted."""

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, strategies as st

from bramleyport.answers import (
    Assembler,
    AttemptIdGenerator,
    AttemptLedger,
    FrameLog,
    Violation,
)
from bramleyport.core import AttemptId, Execution
from bramleyport.wire import End, Frame

OWN, OTHER = AttemptId("run.1"), AttemptId("run.2")


def make_answer(attempt: AttemptId, payloads: list[bytes]) -> list[Any]:
    log = FrameLog(attempt)
    frames: list[Any] = [log.append(payload) for payload in payloads]
    return [*frames, log.finish(200, {"content-type": "text/plain"}, len(payloads))]


def assemble(messages: list[Any]) -> bytes | None:
    """Return the complete answer, or None if it was invalid or incomplete."""
    assembler = Assembler(OWN)
    body = b""
    for message in messages:
        if isinstance(message, End):
            return body if assembler.finish(message) is None else None
        accepted = assembler.accept(message)
        if isinstance(accepted, Violation):
            return None
        body += b"".join(chunk.payload for chunk in accepted)
    return None


FRAMES = make_answer(OWN, [b"ab", b"c", b"d"])
LAST: End = FRAMES[-1]
INVALID_ANSWERS = [
    ("frame missing", [FRAMES[0], *FRAMES[2:]]),
    ("last frame missing", [*FRAMES[:2], FRAMES[3]]),
    ("end missing", FRAMES[:-1]),
    ("frames swapped", [FRAMES[1], FRAMES[0], *FRAMES[2:]]),
    ("frame of another attempt", [replace(FRAMES[0], attempt=OTHER), *FRAMES[1:]]),
    ("end of another attempt", [*FRAMES[:-1], replace(LAST, attempt=OTHER)]),
    ("digest of another attempt", [*FRAMES[:-1], make_answer(OTHER, [b"abcd"])[-1]]),
    ("other payload", [replace(FRAMES[0], payload=b"xb"), *FRAMES[1:]]),
    ("bytes moved between frames", [*make_answer(OWN, [b"a", b"bc", b"d"])[:3], LAST]),
    ("other status", [*FRAMES[:-1], replace(LAST, status=500)]),
    ("other headers", [*FRAMES[:-1], replace(LAST, headers={})]),
    ("other total", [*FRAMES[:-1], replace(LAST, total=2)]),
]


@pytest.mark.parametrize(
    "messages",
    [row[1] for row in INVALID_ANSWERS],
    ids=[row[0] for row in INVALID_ANSWERS],
)
def test_invalid_answer_is_not_accepted(messages: list[Any]) -> None:
    assert assemble(messages) is None


@given(st.lists(st.binary(max_size=4), max_size=8), st.data())
def test_repeated_frames_change_nothing(payloads: list[bytes], data: Any) -> None:
    messages: list[Any] = []
    answer = make_answer(OWN, payloads)
    for index, message in enumerate(answer):
        frames: list[Frame] = answer[: min(index, len(payloads))]
        if frames:
            messages += data.draw(st.lists(st.sampled_from(frames), max_size=2))
        messages.append(message)
    assert assemble(messages) == b"".join(payloads)


def test_attempt_ids_are_unique_and_increase() -> None:
    ids = AttemptIdGenerator("run")
    assert [ids.make() for _ in range(3)] == ["run.1", "run.2", "run.3"]


def test_attempt_declared_not_run_is_refused_from_then_on() -> None:
    ledger = AttemptLedger()
    assert ledger.determine_execution(OWN) is Execution.NOT_RUN
    assert not ledger.receive(OWN)


def test_received_attempt_is_never_declared_not_run() -> None:
    ledger = AttemptLedger()
    assert ledger.receive(OWN)
    assert not ledger.receive(OWN)
    assert ledger.determine_execution(OWN) is Execution.UNKNOWN


def test_refused_attempt_is_declared_not_run() -> None:
    ledger = AttemptLedger()
    ledger.receive(OWN)
    ledger.refuse(OWN)
    assert ledger.determine_execution(OWN) is Execution.NOT_RUN
    assert not ledger.receive(OWN)


@given(st.lists(st.integers(1, 40), unique=True, min_size=5, max_size=30))
def test_discarded_attempt_is_unknown_and_never_runs(counts: list[int]) -> None:
    """A ledger must not declare an attempt not run after it discarded the id."""
    ledger = AttemptLedger(capacity=4)
    ids = [AttemptId(f"run.{count}") for count in counts]
    received = [attempt for attempt in ids if ledger.receive(attempt)]
    for attempt in received:
        assert not ledger.receive(attempt)
        assert ledger.determine_execution(attempt) is Execution.UNKNOWN
