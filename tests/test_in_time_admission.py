"""Test in-time admission: reasons, retry times and fairness among accounts."""

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, strategies as st

from bramleyport.admission import ADMISSION_POLICIES, Admitted, Rejected
from bramleyport.admission._usage import MAX_TRACKED_ACCOUNTS, AccountUsage
from bramleyport.core import (
    AccountId,
    EngineLoad,
    EngineRates,
    Rank,
    RegionName,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.estimate import LearnedEstimator
from tests.http_client import fetch
from tests.policy_model import BASELINE, IMPROVED, AgentModel, run_case

RATES = EngineRates(prefill_tokens_per_s=8000.0, decode_tokens_per_s=100.0)


def make_work(
    account: str = "a",
    rank: Rank = Rank.STANDARD,
    first_token_s: float = 1.0,
    between_tokens_s: float = 0.1,
    answer_s: float = 30.0,
    limit: int = 200,
) -> Work:
    return Work(
        request=RequestId("r"),
        account=AccountId(account),
        service=ServiceName("s"),
        kind=ServiceKind.LANGUAGE,
        rank=rank,
        targets=Targets(
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
            answer_s=answer_s,
        ),
        arrived_s=0.0,
        prompt_tokens=800,
        max_output_tokens=limit,
    )


def make_view(
    wait_s: float, name: str = "u", rates: EngineRates = RATES
) -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId(name),
        kind=ServiceKind.LANGUAGE,
        zone=ZoneName("z"),
        region=RegionName("r"),
        rates=rates,
        load=EngineLoad(wait_s=dict.fromkeys(Rank, wait_s)),
    )


def admit(work: Work, *views: UpstreamView) -> Admitted | Rejected:
    policy = ADMISSION_POLICIES.create("in_time", LearnedEstimator())
    return policy.admit(work, views, 0.0)


def test_one_upstream_in_time_is_enough() -> None:
    decision = admit(make_work(), make_view(50.0, "u0"), make_view(0.0, "u1"))
    assert isinstance(decision, Admitted)
    assert decision.explanation.reason == "in_time"


SLOW = EngineRates(decode_tokens_per_s=5.0)
REJECTED = [
    ("first_token_late", make_work(), make_view(50.0)),
    ("answer_late", make_work(first_token_s=60.0), make_view(50.0)),
    ("between_tokens_late", make_work(), make_view(0.0, rates=SLOW)),
]


@pytest.mark.parametrize(
    ("reason", "work", "view"), REJECTED, ids=[row[0] for row in REJECTED]
)
def test_rejection_names_the_missed_target(
    reason: str, work: Work, view: UpstreamView
) -> None:
    decision = admit(work, view)
    assert isinstance(decision, Rejected)
    assert decision.explanation.reason == reason
    assert decision.explanation.numbers["late_s"] > 0


def test_retry_after_grows_with_the_backlog() -> None:
    """A fixed retry time would make the callers retry within the same overload."""
    waits = [
        decision.retry_after_s
        for wait_s in (5.0, 20.0, 80.0)
        if isinstance(decision := admit(make_work(), make_view(wait_s)), Rejected)
    ]
    assert len(waits) == 3
    assert 1.0 <= waits[0] < waits[1] < waits[2]


def test_no_upstream_is_rejected() -> None:
    decision = admit(make_work())
    assert isinstance(decision, Rejected)
    assert decision.explanation.reason == "no_upstream"


def test_long_declared_limit_is_accepted_on_an_idle_upstream() -> None:
    """If all were rejected, the estimator would never see how long answers are."""
    assert isinstance(admit(make_work(limit=4000), make_view(0.0)), Admitted)
    assert isinstance(admit(make_work(limit=4000), make_view(0.5)), Rejected)


def test_light_account_is_accepted_beside_a_flood() -> None:
    """The agent is fair among accounts: others do not wait for the flood's backlog."""
    policy = ADMISSION_POLICIES.create("in_time", LearnedEstimator())
    for _ in range(200):
        policy.admit(make_work("flood"), [make_view(0.0)], 0.0)
    view = make_view(2.0)
    flood = policy.admit(make_work("flood"), [view], 0.0)
    light = policy.admit(make_work("light"), [view], 0.0)
    assert isinstance(flood, Rejected)
    assert isinstance(light, Admitted)


def test_single_account_may_use_the_whole_capacity() -> None:
    usage = AccountUsage()
    usage.add(AccountId("a"), 5.0, 0.0)
    assert usage.measure_relative_usage(AccountId("a"), 1.0, 0.0) == pytest.approx(1.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from(Rank),
            st.floats(0.0, 100.0),
            st.floats(0.0, 5.0),
        ),
        max_size=60,
    )
)
def test_wait_and_retry_time_stay_bounded_for_any_history(
    history: list[tuple[str, Rank, float, float]],
) -> None:
    policy = ADMISSION_POLICIES.create("in_time", LearnedEstimator())
    now_s = 0.0
    for account, rank, wait_s, elapsed_s in history:
        now_s += elapsed_s
        work = replace(make_work(account, rank), arrived_s=now_s)
        decision = policy.admit(work, [make_view(wait_s)], now_s)
        assert decision.explanation.numbers["wait_s"] <= wait_s
        if isinstance(decision, Rejected):
            assert 1.0 <= decision.retry_after_s <= 600.0
    # A request for an idle upstream is accepted after any history.
    work = replace(make_work("a"), arrived_s=now_s)
    assert isinstance(policy.admit(work, [make_view(0.0)], now_s), Admitted)


def test_number_of_tracked_accounts_is_bounded() -> None:
    usage = AccountUsage()
    for number in range(41_000):
        usage.add(AccountId(f"a{number}"), 1.0, number * 0.0001)
    assert len(usage) == MAX_TRACKED_ACCOUNTS
    usage.add(AccountId("last"), 1.0, 1000.0)
    assert len(usage) == 1


def measure_in_time(model: AgentModel, rank: Rank) -> float:
    rank_outcome = model.outcomes[rank]
    return rank_outcome.in_time / rank_outcome.offered


def test_batch_overload_leaves_urgent_work_in_time() -> None:
    baseline = run_case("batch x5", BASELINE, 1, 60.0)
    improved = run_case("batch x5", IMPROVED, 1, 60.0)
    assert measure_in_time(improved, Rank.URGENT) >= 0.95
    assert measure_in_time(improved, Rank.STANDARD) >= 0.99
    assert measure_in_time(baseline, Rank.URGENT) < 0.5


def test_urgent_overload_leaves_the_other_ranks_their_shares() -> None:
    outcomes = run_case("urgent x5", IMPROVED, 1, 60.0).outcomes
    total_s = sum(outcome.done_cost_s for outcome in outcomes.values())
    assert outcomes[Rank.STANDARD].done_cost_s >= 0.95 * 0.2 * total_s
    assert outcomes[Rank.BATCH].done_cost_s >= 0.95 * 0.1 * total_s


def test_no_account_starves_in_an_overload() -> None:
    model = run_case("batch x5", IMPROVED, 1, 60.0)
    assert all(outcome.in_time > 0 for outcome in model.by_account.values())


def test_rejected_request_gets_a_retry_after_header(demo: Any, run: Any) -> None:
    """A prompt that takes 2.5 s to prefill cannot have its first token in 0.61 s."""
    base = f"http://127.0.0.1:{demo.entries[0].port}"
    body = json.dumps({"model": "inspections", "prompt": "word " * 16_000}).encode()
    headers = {"X-Rank": "urgent"}
    answer = run(fetch(f"{base}/v1/completions", "POST", headers, body))
    assert answer.status == 429
    assert answer.json()["execution"] == "not_run"
    assert int(answer.headers["retry-after"]) >= 1
    assert all(not engine.executions for engine in demo.engines)
    metrics = run(fetch(f"{base}/metrics")).body.decode()
    assert 'kind="admission",reason="first_token_late"' in metrics


def test_entry_and_agent_learn_from_answers(demo: Any, run: Any) -> None:
    """An estimator that gets no observations would always use the declared limits."""
    base = f"http://127.0.0.1:{demo.entries[0].port}"
    body = json.dumps({"model": "inspections", "prompt": "a", "max_tokens": 3}).encode()
    answer = run(fetch(f"{base}/v1/completions", "POST", body=body))
    assert answer.status == 200
    estimators = [demo.entries[0]._dispatcher._runner._estimator]
    estimators += [agent._scheduler._estimator for agent in demo.agents]
    learned = [e for e in estimators if len(e._output_lengths) == 1]
    assert len(learned) == 2
