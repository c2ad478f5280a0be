"""Test a claim log with several writers, lost answers, sealing and trimming."""

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bramleyport.claims._decisions as decisions_module
import bramleyport.claims._log as log_module
from bramleyport.claims import (
    ClaimDecisionKind,
    ClaimLog,
    ClaimState,
    ReportDecision,
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


def test_simulation_covers_the_cases_that_it_checks() -> None:
    """Guards against invariant checks that pass because nothing happened."""
    sims = [ClaimSimulation(seed) for seed in range(150)]
    for sim in sims:
        sim.run(500)
    assert sum(len(runs) for sim in sims for runs in sim.executed.values()) > 300
    assert sum(sim.answered for sim in sims) > 300
    assert sum(sim.store.sealed for sim in sims) > 100
    assert sum(sim.store.trimmed for sim in sims) > 10
    assert sum(len(sim.refused) for sim in sims) > 300


class ClaimMachine(RuleBasedStateMachine):
    """Let Hypothesis choose and shrink the sequence of steps."""

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
    """Report decisions before the write that makes them durable is answered."""

    def _append(self, segment: Segment, now_s: float) -> list[Any]:
        early = [
            ReportDecision(number=requested.number, decision=decision)
            for requested, decision in zip(self._batch, self._decisions, strict=False)
        ]
        return [*early, *super()._append(segment, now_s)]


class IgnoresDoubt(ClaimLog):
    """Treat a write whose answer was lost as failed."""

    def _record_doubt(self, in_doubt: bool) -> None:
        super()._record_doubt(False)


class SkipsConfirmation(ClaimLog):
    """Decide on an index that lacks another writer's entries."""

    def _write(self, now_s: float) -> list[Any]:
        self._confirmed = True
        return super()._write(now_s)


class CreatesMissing(ClaimLog):
    """Create any missing segment, even one that has been deleted."""

    def _is_stale(self, now_s: float) -> bool:
        return self._synced_s is None

    def _handle_read(self, event: SegmentRead, now_s: float) -> list[Any]:
        if event.segment is None:
            self._version, self._may_create = 0, True
        return super()._handle_read(event, now_s)


class IgnoresBound(ClaimLog):
    """Append to a full segment."""

    def _decide(self, now_s: float) -> list[Any]:
        self._segment_bytes = 10 * SEGMENT_BYTES
        return super()._decide(now_s)


class RewritesSegments(ClaimLog):
    """Drop the oldest entry of a segment at each append."""

    def _append(self, segment: Segment, now_s: float) -> list[Any]:
        shorter = dataclasses.replace(segment, entries=segment.entries[1:])
        return super()._append(shorter, now_s)


class SkipsSegments(ClaimLog):
    """Drop the entries of earlier segments from the index."""

    def _advance(self, sealed_s: float, *, may_create: bool) -> None:
        super()._advance(sealed_s, may_create=may_create)
        self.index = log_module.ClaimIndex()


def run_simulations(make_log: Callable[..., Any] = ClaimLog, runs: int = 600) -> None:
    def make(token: Any) -> Any:
        return make_log(token, segment_bytes=SEGMENT_BYTES)

    for seed in range(runs):
        sim = ClaimSimulation(seed, make)
        sim.run(500)
        sim.check_c8_rebuild()


@pytest.mark.parametrize(
    ("name", "make_log"),
    [
        ("C1", IgnoresBound),
        ("C1", RewritesSegments),
        ("C3", DecidesEarly),
        ("C3", CreatesMissing),
        ("C5", SkipsConfirmation),
        ("C[45]", SkipsSegments),
        ("C7", IgnoresDoubt),
    ],
)
def test_checks_find_broken_log(name: str, make_log: Any) -> None:
    """Guards against invariant checks that never fail."""
    with pytest.raises(InvariantError, match=name):
        run_simulations(make_log)


def repeat_expired_claim(
    request: Any, row: Any, now_s: float, *, full: bool
) -> Verdict:
    """Run a call again after the deadline of the entry that claimed it."""
    if row is None or row.state is ClaimState.RELEASED or now_s > row.answer_by_s:
        return decisions_module._grant_claim(request, now_s)
    return Verdict(
        decisions_module.Decision(kind=ClaimDecisionKind.RUNNING, segment=row.segment)
    )


def accept_withdrawn_claim(
    request: Any, row: Any, now_s: float, *, full: bool
) -> Verdict:
    """Treat a late copy of a withdrawn claim as a new claim."""
    if row is not None and row.state is ClaimState.RELEASED:
        return decisions_module._grant_claim(request, now_s)
    return DECIDE_REQUEST(request, row, now_s, full=full)


def swap_answer(outcome: Any, row: Any, now_s: float) -> Verdict:
    """Record a different answer from the one that the call returned."""
    verdict = DECIDE_OUTCOME(outcome, row, now_s)
    if verdict.entry is None or verdict.entry.answer is None:
        return verdict
    other = dataclasses.replace(verdict.entry, answer=StoredAnswer(status=500))
    return Verdict(verdict.decision, other)


DECIDE_REQUEST, DECIDE_OUTCOME = (
    decisions_module._decide_request,
    decisions_module._decide_outcome,
)


@pytest.mark.parametrize(
    ("name", "function", "broken"),
    [
        ("C[45]", "_decide_request", repeat_expired_claim),
        ("C2", "_decide_request", accept_withdrawn_claim),
        ("C6", "_decide_outcome", swap_answer),
    ],
)
def test_checks_find_broken_decision(
    monkeypatch: pytest.MonkeyPatch, name: str, function: str, broken: Any
) -> None:
    """Guards against invariant checks that never fail."""
    monkeypatch.setattr(decisions_module, function, broken)
    with pytest.raises(InvariantError, match=name):
        run_simulations()


def test_check_c4_finds_decisions_that_ignore_others_of_their_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against invariant checks that never fail."""
    monkeypatch.setattr(log_module, "apply_entry", lambda row, entry, segment: None)
    with pytest.raises(InvariantError, match="C4"):
        run_simulations()


def test_check_c8_finds_index_that_loses_outcomes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against invariant checks that never fail."""
    apply = log_module.ClaimIndex.apply

    def skip_outcomes(self: Any, entry: Any, segment: int, now_s: float) -> None:
        if entry.state is not ClaimState.UNKNOWN:
            apply(self, entry, segment, now_s)

    monkeypatch.setattr(log_module.ClaimIndex, "apply", skip_outcomes)
    with pytest.raises(InvariantError, match=r"C[58]"):
        run_simulations()
