"""Test the forecasts behind choices and rejections."""

from random import Random

import pytest

from bramleyport.admission import Admitted, Rejected
from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Choice, PrefillSpeeds, PrefixCache, Stage, admit
from bramleyport.fleet._load import WORK_EXPIRY_S
from bramleyport.fleet._prefill_speeds import compute_prefill_cost
from bramleyport.retries import RepeatBudget
from tests.fleet_builders import FleetModel, make_call, make_engine, make_prompt

ENGINE = UpstreamId("e")
PROMPT = make_prompt(("shared", 300), ("own", 100))


def test_wait_is_the_queued_prefill_less_the_elapsed_time() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_s=1.0)
    fleet.send("e", request="b", prefill_s=1.0)
    load = fleet.loads.of(ENGINE)
    assert load.forecast_wait(0, 0.0) == pytest.approx(2.0)
    assert load.forecast_wait(0, 0.5) == pytest.approx(1.5)


def test_begun_prompt_is_prefilled_to_its_end_before_urgent_ones() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_s=1.0, priority=2)
    fleet.send("e", request="b", prefill_s=1.0, priority=2)
    fleet.send("e", request="c", prefill_s=0.1, priority=0, started_s=0.1)
    load = fleet.loads.of(ENGINE)
    assert load.forecast_wait(0, 0.2) == pytest.approx(0.8 + 0.1)
    # The urgent one follows the first one, and the second one is still behind it.
    assert load.forecast_wait(0, 1.05) == pytest.approx(0.05)
    assert load.forecast_wait(2, 1.05) == pytest.approx(0.05 + 1.0)


def test_end_of_a_prefill_is_known_late() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_s=0.5)
    fleet.send("e", request="b", prefill_s=0.5)
    load = fleet.loads.of(ENGINE)
    load.finish_prefill(RequestId("a"), 0.6)
    assert load.forecast_wait(0, 0.6, overhead_s=0.1) == pytest.approx(0.4)


def test_overdue_prefill_is_not_counted() -> None:
    # Work whose end is never reported must not make the engine look busy for ever.
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", prefill_s=0.5)
    assert fleet.loads.of(ENGINE).forecast_wait(0, 60.0) == 0.0


def test_expired_work_is_dropped() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e")
    fleet.loads.drop_expired(60.0)
    assert len(fleet.loads.of(ENGINE)) == 0


def test_prefilled_work_counts_as_decoding() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_s=1.0)
    load = fleet.loads.of(ENGINE)
    load.finish_prefill(RequestId("a"), 1.0)
    assert (load.count_decoding(), load.count_prefilling(1.0)) == (1, 0)
    assert load.forecast_wait(9, 1.0) == 0.0


def test_speed_sample_spans_the_busy_time_of_interleaved_prompts() -> None:
    # An engine that interleaves two prompts finishes both late. The second seemed fast
    # when its time was measured from the end of the first.
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_cost=10_000)
    fleet.send("e", request="b", prefill_cost=10_000)
    load = fleet.loads.of(ENGINE)
    first = load.finish_prefill(RequestId("a"), 0.9)
    second = load.finish_prefill(RequestId("b"), 1.0)
    assert first is not None
    assert first.sample is None
    assert second is not None
    assert second.sample is not None
    assert second.sample.prefill_cost / second.sample.elapsed_s == pytest.approx(20_000)


def test_cancelled_prefill_does_not_distort_samples() -> None:
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_cost=30_000)
    fleet.send("e", request="b", prefill_cost=1_000)
    load = fleet.loads.of(ENGINE)
    load.remove(RequestId("a"), 1.0)
    read = load.finish_prefill(RequestId("b"), 1.1)
    assert read is not None
    assert read.sample is not None
    assert read.sample.elapsed_s == pytest.approx(0.1)


def test_expired_prefill_does_not_distort_samples() -> None:
    """Guards against an engine that counts as slow after a gateway was lost."""
    fleet = FleetModel(make_engine("e"))
    fleet.send("e", request="a", prefill_cost=30_000)
    load = fleet.loads.of(ENGINE)
    expired_s = WORK_EXPIRY_S + 0.1
    fleet.send("e", request="b", prefill_cost=1_000, started_s=expired_s - 1.0)
    load.drop_expired(expired_s)
    read = load.finish_prefill(RequestId("b"), expired_s + 0.1)
    assert read is not None
    assert read.sample is not None
    assert read.sample.elapsed_s == pytest.approx(0.1)


def test_speeds_follow_the_engines() -> None:
    speeds = PrefillSpeeds()
    for _ in range(200):
        speeds.record(ENGINE, Stage.PREFILL, 10_000, 1.0)
    assert speeds.forecast(ENGINE, Stage.PREFILL, 10_000) == pytest.approx(1.0, rel=0.1)


def test_one_slow_engine_does_not_change_the_speed_of_others() -> None:
    speeds = PrefillSpeeds()
    slow = UpstreamId("slow")
    for _ in range(60):
        speeds.record(ENGINE, Stage.DECODE, 10_000, 0.5)
    before = speeds.forecast(ENGINE, Stage.DECODE, 10_000)
    for _ in range(30):
        speeds.record(slow, Stage.DECODE, 10_000, 2.5)
    assert speeds.forecast(slow, Stage.DECODE, 10_000) > 4 * before
    assert speeds.forecast(ENGINE, Stage.DECODE, 10_000) == pytest.approx(before)


@pytest.mark.parametrize("overhead_s", [0.004, 0.05, 0.08])
def test_fixed_part_of_prefill_times_is_told_from_the_speed(overhead_s: float) -> None:
    """Guards against idle engines that seem slow since they only get short prompts."""
    speeds = PrefillSpeeds()
    random = Random(4)
    slow, fast = UpstreamId("slow"), UpstreamId("fast")
    token_s = {slow: 1 / 65_000, fast: 1 / 158_000}
    for _ in range(600):
        engine = random.choice([slow, fast])
        # The slow one gets no long prompts.
        cost = random.choice([900, 1_500] if engine == slow else [1_500, 20_000])
        elapsed_s = overhead_s + cost * token_s[engine]
        speeds.record(engine, Stage.PREFILL, cost, elapsed_s)
    nothing_s = speeds.overhead_s + speeds.forecast(slow, Stage.PREFILL, 0)
    assert nothing_s == pytest.approx(overhead_s, abs=0.006)
    long_s = {
        engine: speeds.forecast(engine, Stage.PREFILL, 20_000) for engine in token_s
    }
    assert long_s[fast] == pytest.approx(20_000 * token_s[fast], rel=0.15)
    assert long_s[fast] < long_s[slow] < 2 * 20_000 * token_s[slow]


def test_attention_adds_to_the_cost_of_a_long_prompt() -> None:
    assert compute_prefill_cost(1_000, 50_000) > compute_prefill_cost(1_000, 1_000)


def test_cache_evicts_the_least_recently_used_part() -> None:
    cache = PrefixCache(100)
    first, second, third = (make_prompt((name, 50)).parts for name in "abc")
    cache.add(first)
    cache.add(second)
    cache.add(first)
    cache.add(third)
    assert cache.count_cached(first) == 50
    assert cache.count_cached(second) == 0


def test_cached_part_counts_only_after_cached_parts() -> None:
    cache = PrefixCache(1_000)
    prompt = make_prompt(("a", 10), ("b", 20))
    cache.add(prompt.parts[1:])
    assert cache.count_cached(prompt.parts) == 0


def test_part_of_a_cancelled_call_is_not_cached() -> None:
    # A call was cancelled before its prompt was prefilled. The next call with that
    # prompt waited for an engine that did not have it cached.
    cache = PrefixCache(1_000)
    cache.add(PROMPT.parts)
    cache.abandon(PROMPT.parts)
    assert cache.count_cached(PROMPT.parts) == 0


def test_part_that_another_call_will_prefill_stays() -> None:
    cache = PrefixCache(1_000)
    cache.add(PROMPT.parts)
    cache.add(PROMPT.parts)
    cache.abandon(PROMPT.parts)
    assert cache.count_cached(PROMPT.parts) == PROMPT.tokens_in


def test_prefilled_part_stays_after_other_calls_end() -> None:
    cache = PrefixCache(1_000)
    cache.add(PROMPT.parts)
    cache.add(PROMPT.parts)
    cache.confirm(PROMPT.parts)
    cache.abandon(PROMPT.parts)
    assert cache.count_confirmed(PROMPT.parts) == PROMPT.tokens_in


def test_part_counts_as_prefilled_once_confirmed() -> None:
    cache = PrefixCache(1_000)
    parts = make_prompt(("a", 10)).parts
    cache.add(parts)
    assert (cache.count_cached(parts), cache.count_confirmed(parts)) == (10, 0)
    cache.confirm(parts)
    assert cache.count_confirmed(parts) == 10


def make_choice(forecast_s: float, decode_s: float = 0.0) -> Choice:
    from bramleyport.core import Explanation

    return Choice(
        upstream=make_engine("e"),
        forecast_s=forecast_s,
        decode_s=decode_s,
        explanation=Explanation(reason="direct"),
    )


def test_call_that_ends_too_late_is_rejected() -> None:
    decision = admit(make_call(deadline_s=1.0), make_choice(3.0), 0.0)
    assert isinstance(decision, Rejected)
    assert decision.explanation.reason == "too_late"
    # After that time the queue is short enough for the call to fit.
    assert decision.retry_after_s == pytest.approx(2.1)


def test_call_whose_answer_would_be_incomplete_is_rejected() -> None:
    # In a burst, answers that were cut off at the deadline used the slots of engines.
    decision = admit(make_call(deadline_s=3.0), make_choice(1.0, decode_s=2.5), 0.0)
    assert isinstance(decision, Rejected)
    longer = make_call(deadline_s=5.0)
    assert isinstance(admit(longer, make_choice(1.0, decode_s=2.5), 0.0), Admitted)


def test_broken_stream_resumes_though_a_new_one_would_be_too_late() -> None:
    call, choice = make_call(deadline_s=3.0), make_choice(1.0, decode_s=2.5)
    assert isinstance(admit(call, choice, 0.0, tried=True), Admitted)


def test_call_that_fits_is_admitted() -> None:
    assert isinstance(admit(make_call(), make_choice(0.2), 0.0), Admitted)


def test_call_without_upstream_is_rejected() -> None:
    decision = admit(make_call(), None, 0.0)
    assert isinstance(decision, Rejected)
    assert decision.explanation.reason == "no_upstream"


def test_repeats_stay_within_the_shared_budget() -> None:
    # Gateways share the budget without communicating.
    budget = RepeatBudget(0.2, 50, 10.0)
    for _ in range(100):
        budget.record_request(0.0)
    taken = sum(budget.take(1.0, processes=5) for _ in range(100))
    assert taken <= 0.2 * 100 + 50 / 5
    assert taken == 24


def test_repeats_are_allowed_again_after_the_window() -> None:
    budget = RepeatBudget(0.0, 10, 10.0)
    assert sum(budget.take(0.0, processes=1) for _ in range(20)) == 8
    assert not budget.take(9.0, processes=1)
    assert budget.take(10.5, processes=1)
