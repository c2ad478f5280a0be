"""Test retry budgets, limits, ejection and hedging."""

from dataclasses import replace
from random import Random

from hypothesis import given, strategies as st

from bramleyport.bench._routing import make_views, make_work
from bramleyport.core import Execution, Rank, UpstreamId, Work
from bramleyport.retries import (
    HEDGE_POLICIES,
    RETRY_POLICIES,
    UPSTREAM_GUARDS,
    AttemptFailure,
    ConcurrencyLimit,
    EjectionState,
    FailureKind,
    GiveUp,
    OutlierEjector,
    RetryBudget,
    RetryNow,
)

WORK = make_work(0, Random(1))
FAILED = AttemptFailure(
    upstream=UpstreamId("engine-0"),
    kind=FailureKind.UPSTREAM_ERROR,
    execution=Execution.UNKNOWN,
)
REFUSED = replace(FAILED, kind=FailureKind.REFUSED, execution=Execution.NOT_RUN)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "retry", "hedge"]),
        st.floats(0, 5, allow_nan=False),
    ),
    max_size=300,
)


@given(steps=STEPS)
def test_no_sequence_exceeds_the_budget(steps: list[tuple[str, float]]) -> None:
    budget = RetryBudget()
    policy = RETRY_POLICIES.create("budget", budget)
    now_s, first, extra = 0.0, 0, 0
    for step, gap_s in steps:
        now_s += gap_s
        work = replace(WORK, arrived_s=now_s)
        if step == "request":
            first += 1
            policy.record_request(now_s)
        elif step == "hedge":
            extra += budget.take(now_s)
        else:
            extra += isinstance(policy.decide(1, work, REFUSED, now_s), RetryNow)
        allowed = budget.burst + budget.ratio * first + budget.floor_per_s * now_s
        assert extra <= allowed + 1e-6


def test_lost_zone_causes_no_retry_storm() -> None:
    policy = RETRY_POLICIES.create("budget", RetryBudget())
    retries = 0
    for number in range(3000):
        now_s = number / 100
        policy.record_request(now_s)
        work = replace(WORK, arrived_s=now_s)
        # A third of the first attempts fails, and so does every retry.
        attempts = 1
        while number % 3 == 0:
            decision = policy.decide(attempts, work, FAILED, now_s)
            if isinstance(decision, GiveUp):
                assert decision.retry_after_s >= 1.0
                break
            retries += 1
            attempts += 1
    assert retries <= 0.1 * 3000 + 0.2 * 30 + 10


@given(
    kind=st.sampled_from(FailureKind),
    execution=st.sampled_from(Execution),
    frames=st.integers(0, 2),
    idempotent=st.booleans(),
)
def test_work_that_may_have_run_or_delivered_chunks_is_not_repeated(
    kind: FailureKind, execution: Execution, frames: int, idempotent: bool
) -> None:
    policy = RETRY_POLICIES.create("budget", RetryBudget())
    failure = replace(FAILED, kind=kind, execution=execution, frames_delivered=frames)
    decision = policy.decide(1, replace(WORK, idempotent=idempotent), failure, 1.0)
    may_have_run = execution is not Execution.NOT_RUN
    if may_have_run and (frames or not idempotent):
        assert isinstance(decision, GiveUp)
        assert decision.execution is execution
    else:
        assert isinstance(decision, RetryNow)


@given(
    results=st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=300),
    visible=st.integers(0, 10),
)
def test_at_most_the_allowed_fraction_is_ejected(
    results: list[tuple[int, bool]], visible: int
) -> None:
    ejector = OutlierEjector(max_fraction=0.5, min_kept=2)
    names = [UpstreamId(f"engine-{number}") for number in range(10)]
    for number, (index, failed) in enumerate(results):
        ejector.record(names[index], failed=failed, now_s=number / 10)
        ejected = ejector.find_ejected(names[:visible], number / 10)
        assert len(ejected) <= visible * 0.5
        assert not ejected or visible - len(ejected) >= 2


def test_failing_upstream_is_ejected_and_recovers_after_probation() -> None:
    ejector = OutlierEjector()
    names = [UpstreamId(f"engine-{number}") for number in range(4)]
    for _ in range(5):
        ejector.record(names[0], failed=True, now_s=0.0)
        ejector.record(names[1], failed=False, now_s=0.0)
    assert ejector.find_ejected(names, 1.0) == {names[0]}
    assert ejector.get_state(names[0], 6.0) is EjectionState.PROBATION
    assert ejector.record(names[0], failed=True, now_s=6.0)
    assert ejector.get_state(names[0], 12.0) is EjectionState.EJECTED
    for _ in range(3):
        ejector.record(names[0], failed=False, now_s=17.0)
    assert ejector.get_state(names[0], 17.0) is EjectionState.NORMAL


def test_fault_that_all_upstreams_share_ejects_none() -> None:
    ejector = OutlierEjector()
    names = [UpstreamId(f"engine-{number}") for number in range(4)]
    for _ in range(20):
        for name in names:
            ejector.record(name, failed=True, now_s=0.0)
    assert ejector.find_ejected(names, 1.0) == set()


LATENCIES = st.lists(
    st.tuples(st.floats(0.02, 20, allow_nan=False), st.booleans()), max_size=200
)


@given(samples=LATENCIES)
def test_limit_stays_within_its_bounds(samples: list[tuple[float, bool]]) -> None:
    limit = ConcurrencyLimit(in_flight=30)
    for number, (latency_s, late) in enumerate(samples):
        limit.observe(latency_s, late=late, now_s=float(number))
        assert 4 <= limit.limit <= 512


def test_limit_falls_when_late_and_rises_again() -> None:
    limit = ConcurrencyLimit(in_flight=32)
    limit.observe(0.1, late=False, now_s=0.0)
    for second in range(1, 5):
        limit.observe(2.0, late=True, now_s=float(second))
    fallen = limit.limit
    assert fallen < 16
    for _ in range(200):
        limit.observe(0.1, late=False, now_s=6.0)
    assert limit.limit > fallen


def test_long_wait_within_the_target_does_not_cut_the_limit() -> None:
    limit = ConcurrencyLimit(in_flight=4)
    limit.observe(0.1, late=False, now_s=0.0)
    limit.observe(50.0, late=False, now_s=1.0)
    assert limit.limit == 32


@given(
    starts=st.lists(st.integers(0, 5), max_size=300),
    failures=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=60),
)
def test_screening_never_removes_every_upstream(
    starts: list[int], failures: list[tuple[int, bool]]
) -> None:
    guard = UPSTREAM_GUARDS.create("adaptive")
    views = make_views(6, Random(1))
    for index in starts:
        guard.start(views[index].upstream)
    for index, failed in failures:
        guard.finish(views[index].upstream, FAILED if failed else None, 0.0)
    screened = guard.screen(views, 0.1)
    assert screened.views
    assert {view.upstream for view in screened.views} <= {v.upstream for v in views}


def test_saturated_upstream_is_left_out() -> None:
    guard = UPSTREAM_GUARDS.create("adaptive")
    views = make_views(3, Random(1))
    for _ in range(32):
        guard.start(views[0].upstream)
    assert guard.screen(views, 0.0).views == views[1:]


def record_latencies(policy: object, slow_s: float) -> None:
    for number in range(100):
        latency_s = slow_s if number % 10 == 0 else 0.1
        policy.observe_first_chunk(WORK, latency_s)  # type: ignore[attr-defined]


def test_hedges_only_if_latencies_spread_widely() -> None:
    wide, narrow = (HEDGE_POLICIES.create("spread", RetryBudget()) for _ in range(2))
    assert wide.plan(WORK, 0.0) is None
    record_latencies(wide, 2.0)
    record_latencies(narrow, 0.2)
    plan = wide.plan(WORK, 0.0)
    assert plan is not None
    assert plan.delay_s == 2.0
    assert narrow.plan(WORK, 0.0) is None


@given(work=st.builds(replace, st.just(WORK), idempotent=st.just(False)))
def test_non_idempotent_work_is_never_hedged(work: Work) -> None:
    policy = HEDGE_POLICIES.create("spread", RetryBudget())
    record_latencies(policy, 5.0)
    assert policy.plan(WORK, 0.0) is not None
    assert policy.plan(work, 0.0) is None


def test_batch_work_is_never_hedged() -> None:
    policy = HEDGE_POLICIES.create("spread", RetryBudget())
    record_latencies(policy, 5.0)
    assert policy.plan(replace(WORK, rank=Rank.BATCH), 0.0) is None


def test_silent_upstream_is_ejected_though_hedges_succeed() -> None:
    guard = UPSTREAM_GUARDS.create("adaptive")
    views = make_views(4, Random(1))
    silent, other = views[0].upstream, views[1].upstream
    for second in range(6):
        for upstream in (silent, other):
            guard.start(upstream)
        guard.finish_cancelled(silent, WORK, 5.0, float(second))
        guard.finish_cancelled(other, WORK, 0.0, float(second))
    kept = {view.upstream for view in guard.screen(views, 6.0).views}
    assert silent not in kept
    assert other in kept


def test_late_work_spends_no_retries() -> None:
    """Retries of late work were refused again and left none for other work."""
    budget = RetryBudget()
    policy = RETRY_POLICIES.create("budget", budget)
    for reason in ("too_late", "deadline"):
        decision = policy.decide(1, WORK, replace(REFUSED, reason=reason), 0.0)
        assert isinstance(decision, GiveUp)
        assert decision.explanation.reason == "too_late"
        assert decision.execution is Execution.NOT_RUN
    assert budget.tokens == budget.burst
    waiting = replace(REFUSED, reason="wait_too_long")
    assert isinstance(policy.decide(1, WORK, waiting, 0.0), RetryNow)
