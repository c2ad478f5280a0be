"""Guard the claim log through several writers, lost answers, seals and trims."""

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bramleyport.claims._decide as decide_module
import bramleyport.claims._log as log_module
from bramleyport.claims import (
    ClaimDecisionKind,
    ClaimLog,
    ClaimState,
    Decide,
    Segment,
    SegmentRead,
    StoredAnswer,
    Verdict,
)
from tests.claim_simulation import ClaimSimulation
from tests.claim_store import SEGMENT_BYTES
from tests.simulation import InvariantError


@settings(max_examples=150, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_log_keeps_its_invariants(seed: int) -> None:
    sim = ClaimSimulation(seed)
    sim.run(500)
    sim.check_c8_rebuild()


def test_simulation_reaches_what_it_guards() -> None:
    """Guards against checkers that pass because nothing happened."""
    sims = [ClaimSimulation(seed) for seed in range(150)]
    for sim in sims:
        sim.run(500)
    assert sum(len(runs) for sim in sims for runs in sim.executed.values()) > 300
    assert sum(sim.answered for sim in sims) > 300
    assert sum(sim.store.sealed for sim in sims) > 100
    assert sum(sim.store.trimmed for sim in sims) > 10
    assert sum(len(sim.refused) for sim in sims) > 300


class ClaimMachine(RuleBasedStateMachine):
    """Let Hypothesis choose and shrink the order of the steps."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.sim = ClaimSimulation(seed)

    @rule(count=st.integers(1, 3))
    def submit(self, count: int) -> None:
        for _ in range(count):
            self.sim.submit()

    @rule(count=st.integers(1, 8))
    def work(self, count: int) -> None:
        for _ in range(count):
            self.sim.execute()
            self.sim.answer()

    @rule()
    def execute(self) -> None:
        self.sim.execute()

    @rule()
    def answer(self) -> None:
        self.sim.answer()

    @rule()
    def lose(self) -> None:
        self.sim.lose()

    @rule()
    def disturb(self) -> None:
        self.sim.disturb()

    def teardown(self) -> None:
        self.sim.check_c8_rebuild()


ClaimMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=60, derandomize=True, deadline=None
)
test_claim_machine = ClaimMachine.TestCase


class DecidesEarly(ClaimLog):
    """Give decisions before the write that makes them durable is answered."""

    def _append(self, segment: Segment, now_s: float) -> list[Any]:
        early = [
            Decide(number=asked.number, decision=decision)
            for asked, decision in zip(self._batch, self._decisions, strict=False)
        ]
        return [*early, *super()._append(segment, now_s)]


class NoDoubt(ClaimLog):
    """Take a write whose answer was lost as one that failed."""

    def _note_doubt(self, in_doubt: bool) -> None:
        super()._note_doubt(False)


class NoConfirmation(ClaimLog):
    """Decide on an index that another writer has outrun."""

    def _write(self, now_s: float) -> list[Any]:
        self._confirmed = True
        return super()._write(now_s)


class CreatesMissing(ClaimLog):
    """Create any segment that is missing, also one that has been deleted."""

    def _is_stale(self, now_s: float) -> bool:
        return self._synced_s is None

    def _take_read(self, event: SegmentRead, now_s: float) -> list[Any]:
        if event.segment is None:
            self._version, self._may_create = 0, True
        return super()._take_read(event, now_s)


class NoBound(ClaimLog):
    """Append to a segment that is full."""

    def _decide(self, now_s: float) -> list[Any]:
        self._segment_bytes = 10 * SEGMENT_BYTES
        return super()._decide(now_s)


class Rewrites(ClaimLog):
    """Drop the oldest entry of a segment at each append."""

    def _append(self, segment: Segment, now_s: float) -> list[Any]:
        shorter = dataclasses.replace(segment, entries=segment.entries[1:])
        return super()._append(shorter, now_s)


class ForgetsSegments(ClaimLog):
    """Start from the head without reading the earlier segments into the index."""

    def _advance(self, sealed_s: float, *, may_create: bool) -> None:
        super()._advance(sealed_s, may_create=may_create)
        self.index = log_module.ClaimIndex()


def find_violation(make_log: Callable[..., Any] = ClaimLog, runs: int = 600) -> None:
    def make(token: Any) -> Any:
        return make_log(token, segment_bytes=SEGMENT_BYTES)

    for seed in range(runs):
        sim = ClaimSimulation(seed, make)
        sim.run(500)
        sim.check_c8_rebuild()


@pytest.mark.parametrize(
    ("name", "make_log"),
    [
        ("C1", NoBound),
        ("C1", Rewrites),
        ("C3", DecidesEarly),
        ("C3", CreatesMissing),
        ("C5", NoConfirmation),
        ("C[45]", ForgetsSegments),
        ("C7", NoDoubt),
    ],
)
def test_checker_finds_broken_log(name: str, make_log: Any) -> None:
    """Guards against a checker that never fails."""
    with pytest.raises(InvariantError, match=name):
        find_violation(make_log)


def take_over(request: Any, row: Any, now_s: float, *, full: bool) -> Verdict:
    """Run a call again whose entry seems dead."""
    if row is None or row.state is ClaimState.RELEASED or now_s > row.answer_by_s:
        return decide_module._claim(request, now_s)
    return Verdict(
        decide_module.Decision(kind=ClaimDecisionKind.RUNNING, segment=row.segment)
    )


def claim_again(request: Any, row: Any, now_s: float, *, full: bool) -> Verdict:
    """Take a late copy of a withdrawn claim for a new one."""
    if row is not None and row.state is ClaimState.RELEASED:
        return decide_module._claim(request, now_s)
    return REQUEST(request, row, now_s, full=full)


def swap_answer(outcome: Any, row: Any, now_s: float) -> Verdict:
    """Record another answer than the one that the call gave."""
    verdict = END(outcome, row, now_s)
    if verdict.entry is None or verdict.entry.answer is None:
        return verdict
    other = dataclasses.replace(verdict.entry, answer=StoredAnswer(status=500))
    return Verdict(verdict.decision, other)


REQUEST, END = decide_module._request, decide_module._end


@pytest.mark.parametrize(
    ("name", "function", "broken"),
    [
        ("C[45]", "_request", take_over),
        ("C2", "_request", claim_again),
        ("C6", "_end", swap_answer),
    ],
)
def test_checker_finds_broken_decision(
    monkeypatch: pytest.MonkeyPatch, name: str, function: str, broken: Any
) -> None:
    """Guards against a checker that never fails."""
    monkeypatch.setattr(decide_module, function, broken)
    with pytest.raises(InvariantError, match=name):
        find_violation()


def test_checker_c4_finds_decisions_of_one_batch_that_ignore_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that never fails."""
    monkeypatch.setattr(log_module, "apply_entry", lambda row, entry, segment: None)
    with pytest.raises(InvariantError, match="C4"):
        find_violation()


def test_checker_c8_finds_index_that_loses_outcomes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that never fails."""
    apply = log_module.ClaimIndex.apply

    def lose(self: Any, entry: Any, segment: int, now_s: float) -> None:
        if entry.state is not ClaimState.UNKNOWN:
            apply(self, entry, segment, now_s)

    monkeypatch.setattr(log_module.ClaimIndex, "apply", lose)
    with pytest.raises(InvariantError, match=r"C[58]"):
        find_violation()
