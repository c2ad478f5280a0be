"""Test the learned estimator: priors, bounds, learning and memory use."""

import math

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bramleyport.core import (
    AccountId,
    CachedPrefixes,
    EngineLoad,
    EngineRates,
    PrefixBlock,
    Rank,
    RegionName,
    RequestId,
    SentWork,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.estimate import ESTIMATORS, Estimate, Estimator, Observation
from bramleyport.estimate._learned import (
    MAX_WAIT_S,
    MAX_WORK_KEYS,
    PRIOR_OUTPUT_TOKENS,
    LearnedEstimator,
)

TARGETS = Targets(first_token_s=1.0, between_tokens_s=0.1, answer_s=60.0)
BLOCKS = tuple(PrefixBlock(bytes([index])) for index in range(4))


def make_work(
    limit: int = 1000,
    service: str = "s",
    rank: Rank = Rank.STANDARD,
    kind: ServiceKind = ServiceKind.LANGUAGE,
    arrived_s: float = 0.0,
    prompt_tokens: int = 4000,
) -> Work:
    return Work(
        request=RequestId("r"),
        account=AccountId("a"),
        service=ServiceName(service),
        kind=kind,
        rank=rank,
        targets=TARGETS,
        arrived_s=arrived_s,
        prompt_tokens=prompt_tokens,
        max_output_tokens=limit,
        prefix_blocks=BLOCKS,
    )


def make_view(upstream: str = "u") -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId(upstream),
        kind=ServiceKind.LANGUAGE,
        zone=ZoneName("z"),
        region=RegionName("r"),
    )


def observe(
    estimator: Estimator,
    work: Work,
    output_tokens: int,
    prefill_s: float = 0.5,
    decode_s: float = 2.0,
) -> None:
    estimator.observe(
        Observation(
            work=work,
            upstream=UpstreamId("u"),
            output_tokens=output_tokens,
            cached_tokens=0,
            wait_s=0.0,
            prefill_s=prefill_s,
            decode_s=decode_s,
        )
    )


def check_bounds(estimate: Estimate, work: Work) -> None:
    values = (
        estimate.prefill_s,
        estimate.decode_s,
        estimate.output_tokens,
        estimate.output_spread,
        estimate.wait_s,
        estimate.spread_s,
        estimate.between_tokens_s,
    )
    assert all(math.isfinite(value) and value >= 0.0 for value in values)
    assert estimate.wait_s <= MAX_WAIT_S
    if work.kind is ServiceKind.LANGUAGE:
        assert estimate.output_tokens <= max(1, work.max_output_tokens)


@given(st.integers(1, 100_000))
def test_cold_estimate_lies_between_prior_and_limit(limit: int) -> None:
    """Without observations the estimate must state a wide spread for admission."""
    estimate = LearnedEstimator().estimate(make_work(limit), make_view())
    assert min(limit, PRIOR_OUTPUT_TOKENS) <= estimate.output_tokens <= limit
    assert estimate.output_spread >= estimate.output_tokens / 2


def test_output_length_is_learned_per_rank_and_service() -> None:
    estimator = LearnedEstimator()
    for _ in range(50):
        observe(estimator, make_work(rank=Rank.URGENT), 40)
        observe(estimator, make_work(rank=Rank.BATCH), 400)
    urgent = estimator.estimate(make_work(rank=Rank.URGENT), make_view())
    batch = estimator.estimate(make_work(rank=Rank.BATCH), make_view())
    other = estimator.estimate(make_work(service="other"), make_view())
    assert 30 <= urgent.output_tokens <= 100
    assert 330 <= batch.output_tokens <= 450
    assert other.output_tokens > batch.output_tokens


def test_answers_truncated_at_their_limit_do_not_shorten_the_forecast() -> None:
    estimator = LearnedEstimator()
    for _ in range(20):
        observe(estimator, make_work(limit=500), 300)
    before = estimator.estimate(make_work(limit=500), make_view()).output_tokens
    for _ in range(100):
        observe(estimator, make_work(limit=5), 5)
    after = estimator.estimate(make_work(limit=500), make_view()).output_tokens
    assert after >= before


def test_uncertain_cache_saves_less_prefill() -> None:
    view = make_view()
    cold = LearnedEstimator().estimate(make_work(), view).prefill_s
    view.cached = CachedPrefixes(blocks=set(BLOCKS[:2]))
    known = LearnedEstimator().estimate(make_work(), view).prefill_s
    view.cached.uncertain = True
    uncertain = LearnedEstimator().estimate(make_work(), view).prefill_s
    assert known < uncertain < cold


def test_slow_engine_is_learned_from_answers() -> None:
    """An engine may have become slow while it still reports its rated speed."""
    estimator = LearnedEstimator()
    before = estimator.estimate(make_work(), make_view())
    for _ in range(64):
        observe(estimator, make_work(), 100, prefill_s=1.5, decode_s=9.9)
    slow = estimator.estimate(make_work(), make_view())
    other = estimator.estimate(make_work(), make_view("other"))
    assert slow.prefill_s > 2 * before.prefill_s
    assert slow.between_tokens_s > 2 * before.between_tokens_s
    assert other.between_tokens_s == before.between_tokens_s


def test_urgent_wait_ignores_less_urgent_work_sent_since_the_report() -> None:
    view = make_view()
    for _ in range(20):
        view.sent.add(make_work(rank=Rank.BATCH), 0.0)
    estimator = LearnedEstimator()
    urgent = estimator.estimate(make_work(rank=Rank.URGENT), view)
    batch = estimator.estimate(make_work(rank=Rank.BATCH), view)
    assert urgent.wait_s == 0.0
    assert batch.wait_s > 0.0


def test_learned_tables_stay_bounded_with_many_services() -> None:
    estimator = LearnedEstimator()
    for number in range(MAX_WORK_KEYS + 500):
        observe(estimator, make_work(service=f"s{number}"), 10)
    assert len(estimator._output_lengths) == MAX_WORK_KEYS
    assert len(estimator._service_output_lengths) == MAX_WORK_KEYS


any_float = st.floats(allow_nan=True, allow_infinity=True)
any_int = st.integers(-(10**12), 10**12)


class EstimatorMachine(RuleBasedStateMachine):
    """Apply reports and observations in any order, with absurd values too."""

    def __init__(self) -> None:
        super().__init__()
        self.estimator = ESTIMATORS.create("learned")
        self.view = make_view()

    @rule(prefill=any_float, decode=any_float, streams=st.integers(-5, 64))
    def report_rates(self, prefill: float, decode: float, streams: int) -> None:
        self.view.rates = EngineRates(
            prefill_tokens_per_s=prefill,
            decode_tokens_per_s=decode,
            max_streams=streams,
        )

    @rule(taken_s=any_float, wait_s=any_float, running=any_int)
    def report_load(self, taken_s: float, wait_s: float, running: int) -> None:
        self.view.load = EngineLoad(
            taken_s=taken_s, running=running, wait_s=dict.fromkeys(Rank, wait_s)
        )
        self.view.sent = SentWork()

    @rule(rank=st.sampled_from(Rank))
    def send(self, rank: Rank) -> None:
        self.view.sent.add(make_work(rank=rank), 0.0)

    @rule(
        kind=st.sampled_from(ServiceKind),
        tokens=any_int,
        limit=any_int,
        prefill_s=any_float,
        decode_s=any_float,
    )
    def answer(
        self,
        kind: ServiceKind,
        tokens: int,
        limit: int,
        prefill_s: float,
        decode_s: float,
    ) -> None:
        work = make_work(limit, kind=kind)
        observe(self.estimator, work, tokens, prefill_s, decode_s)

    @invariant()
    def estimates_are_bounded(self) -> None:
        for kind in ServiceKind:
            for rank in Rank:
                work = make_work(rank=rank, kind=kind)
                check_bounds(self.estimator.estimate(work, self.view), work)


TestEstimatorMachine = EstimatorMachine.TestCase
TestEstimatorMachine.settings = settings(max_examples=60, stateful_step_count=30)


def test_work_sent_after_a_report_was_taken_is_kept() -> None:
    """A report does not include work that was sent after it was taken."""
    sent = SentWork()
    sent.add(make_work(prompt_tokens=1000), 1.0)
    sent.add(make_work(prompt_tokens=500, rank=Rank.URGENT), 2.0)
    kept = sent.select_sent_after(1.5)
    assert (kept.requests, kept.prefill_tokens) == (1, 500)
    assert kept.prefill_by_rank == {Rank.URGENT: 500}
    assert kept.select_sent_after(2.0) == SentWork()
