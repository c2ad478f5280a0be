"""Estimator that learns output lengths and engine speeds from finished requests."""

from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import (
    AdapterName,
    ModelName,
    Rank,
    SentWork,
    ServiceKind,
    ServiceName,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.estimate._base import ESTIMATORS, Estimate, Observation
from bramleyport.estimate._statistics import BoundedTable, LowQuantile, Moments

# Output lengths are stored per service, model, adapter and rank, not per account, so
# that memory use does not grow with the number of accounts.
MAX_WORK_KEYS: Final = 4096
MAX_UPSTREAMS: Final = 4096

PRIOR_OUTPUT_TOKENS: Final = 256.0
PRIOR_CALL_S: Final = 0.05
PRIOR_WEIGHT: Final = 4.0
REPORTED_RATE_WEIGHT: Final = 8.0
# Weight of a cached prefix whose view may have missed evictions; about half of such
# prefixes are still cached.
UNCERTAIN_CACHE_WEIGHT: Final = 0.5
# In a shorter prefill the fixed cost of a batch step outweighs the cost of the tokens.
MIN_PREFILL_SAMPLE_TOKENS: Final = 256
# The measured prefill time includes interference by other prefills, which counts as
# queue wait. Under load, a quantile of 0.25 gave twice the engine's own cost.
PREFILL_QUANTILE: Final = 0.05
PREFILL_STEP: Final = 0.3
# Bounds on the learned seconds per token, as multiples of the reported value. Without
# them one absurd measurement could make an engine look unusable.
FASTEST_FACTOR: Final = 0.25
SLOWEST_FACTOR: Final = 8.0

RANKS_AHEAD: Final = {
    rank: tuple(other for other in Rank if other.priority <= rank.priority)
    for rank in Rank
}

MIN_TOKENS_PER_S: Final = 0.1
MAX_TOKENS_PER_S: Final = 1e7
MAX_WAIT_S: Final = 3600.0
# The backlog is assumed to shrink for at most this long after a report. An older report
# may mean that the agent no longer responds, and then its backlog may not shrink.
MAX_REPORT_AGE_S: Final = 1.0
MAX_SAMPLE_S: Final = 3600.0
MAX_SAMPLE_TOKENS: Final = 10_000_000


@dataclass(frozen=True, slots=True)
class WorkKey:
    """Identify requests that share one distribution of output lengths."""

    service: ServiceName
    model: ModelName
    adapter: AdapterName | None
    rank: Rank


@dataclass(slots=True)
class LearnedSpeed:
    """Track the learned seconds per token of one engine."""

    prefill: LowQuantile = field(default_factory=LowQuantile)
    decode: Moments = field(default_factory=Moments)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedSpeed:
    """Describe the expected seconds per token of one engine."""

    prefill_s: float
    decode_s: float
    streams: int


@ESTIMATORS.register("learned")
class LearnedEstimator:
    """Forecast from reported rates, corrected by observations."""

    def __init__(self) -> None:
        self._latest_output: tuple[Work, Moments] | None = None
        self._output_lengths: BoundedTable[WorkKey, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._service_output_lengths: BoundedTable[ServiceName, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._call_durations: BoundedTable[WorkKey, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._speeds: BoundedTable[UpstreamId, LearnedSpeed] = BoundedTable(
            MAX_UPSTREAMS, LearnedSpeed
        )

    def estimate(self, work: Work, view: UpstreamView) -> Estimate:
        """Forecast the cost of the work on the upstream."""
        if work.kind is ServiceKind.PLAIN:
            return self._estimate_call(work, view)
        speed = self._forecast_speed(view)
        output = self._get_output(work)
        return Estimate(
            prefill_s=self._count_uncached(work, view) * speed.prefill_s,
            decode_s=output.mean * speed.decode_s,
            output_tokens=output.mean,
            output_spread=output.spread,
            wait_s=self._forecast_wait(work, view, speed, output.mean),
            between_tokens_s=speed.decode_s,
            spread_s=output.spread * speed.decode_s,
        )

    def observe(self, observation: Observation) -> None:
        """Learn from a finished request."""
        self._latest_output = None
        work = observation.work
        if work.kind is ServiceKind.PLAIN:
            if observation.decode_s > 0:
                duration_s = _clamp(observation.decode_s, 0.0, MAX_SAMPLE_S)
                self._call_durations.get_or_create(_make_key(work)).add(duration_s)
            return
        self._observe_length(work, observation.output_tokens)
        self._observe_speed(observation)

    def _estimate_call(self, work: Work, view: UpstreamView) -> Estimate:
        prior = Moments(mean=PRIOR_CALL_S, variance=PRIOR_CALL_S**2)
        learned = self._call_durations.find(_make_key(work)) or Moments()
        call = learned.blend(prior, PRIOR_WEIGHT)
        streams = max(1, view.rates.max_streams)
        waiting = max(0, view.load.running + view.sent.requests - streams)
        wait_s = _read_wait(work.rank, view) + waiting * call.mean / streams
        return Estimate(
            prefill_s=0.0,
            decode_s=call.mean,
            output_tokens=0.0,
            output_spread=0.0,
            wait_s=_clamp(wait_s, 0.0, MAX_WAIT_S),
            spread_s=call.spread,
        )

    def _get_output(self, work: Work) -> Moments:
        # Admission asks for the same request on many upstreams in a row.
        if self._latest_output is None or self._latest_output[0] is not work:
            self._latest_output = (work, self._forecast_output(work))
        return self._latest_output[1]

    def _forecast_output(self, work: Work) -> Moments:
        limit = float(max(1, work.max_output_tokens))
        expected = min(limit, PRIOR_OUTPUT_TOKENS)
        mean = (limit + expected) / 2
        spread = max((limit - expected) / 2, mean / 2)
        output = Moments(mean=mean, variance=spread**2)
        for learned in (
            self._service_output_lengths.find(work.service),
            self._output_lengths.find(_make_key(work)),
        ):
            if learned is not None:
                output = learned.blend(output, PRIOR_WEIGHT)
        output.mean = _clamp(output.mean, 1.0, limit)
        return output

    def _observe_length(self, work: Work, output_tokens: int) -> None:
        tokens = _clamp(float(output_tokens), 0.0, MAX_SAMPLE_TOKENS)
        if tokens <= 0:
            return
        truncated = tokens >= work.max_output_tokens
        for learned in (
            self._service_output_lengths.get_or_create(work.service),
            self._output_lengths.get_or_create(_make_key(work)),
        ):
            # The full length of a truncated answer is unknown; it is at least this.
            if not (truncated and tokens < learned.mean):
                learned.add(tokens)

    def _observe_speed(self, observation: Observation) -> None:
        speed = self._speeds.get_or_create(observation.upstream)
        uncached = observation.work.prompt_tokens - max(0, observation.cached_tokens)
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS and observation.prefill_s > 0:
            sample_s = _clamp(observation.prefill_s, 0.0, MAX_SAMPLE_S) / uncached
            speed.prefill.add(sample_s, PREFILL_QUANTILE, PREFILL_STEP)
        intervals = observation.output_tokens - 1
        if intervals > 0 and observation.decode_s > 0:
            sample_s = _clamp(observation.decode_s, 0.0, MAX_SAMPLE_S) / intervals
            speed.decode.add(sample_s)

    def _forecast_speed(self, view: UpstreamView) -> ExpectedSpeed:
        rates = view.rates
        prefill_s = 1 / _clamp(
            rates.prefill_tokens_per_s, MIN_TOKENS_PER_S, MAX_TOKENS_PER_S
        )
        decode_s = 1 / _clamp(
            rates.decode_tokens_per_s, MIN_TOKENS_PER_S, MAX_TOKENS_PER_S
        )
        learned = self._speeds.find(view.upstream)
        if learned is not None:
            prefill_s = _blend_rate(
                prefill_s, learned.prefill.value, learned.prefill.weight
            )
            decode_s = _blend_rate(decode_s, learned.decode.mean, learned.decode.weight)
        streams = max(1, rates.max_streams)
        return ExpectedSpeed(prefill_s=prefill_s, decode_s=decode_s, streams=streams)

    def _count_uncached(self, work: Work, view: UpstreamView) -> float:
        cached = view.cached.count_cached(work.prefix_blocks) * view.block_tokens
        weight = UNCERTAIN_CACHE_WEIGHT if view.cached.uncertain else 1.0
        return max(1.0, work.prompt_tokens - weight * max(0, cached))

    def _forecast_wait(
        self, work: Work, view: UpstreamView, speed: ExpectedSpeed, output_tokens: float
    ) -> float:
        sent = view.sent
        ahead = _sum_work_ahead(sent, work.rank)
        sent_s = ahead.prefill_tokens * speed.prefill_s
        busy = view.load.running + view.load.queued + sent.requests
        if busy >= speed.streams:
            # Declared limits overstate the decode work, so it is bounded by the
            # expected lengths. Prefill continues while requests wait for a slot, so the
            # longer of the two waits counts.
            decode_ahead = min(ahead.decode_tokens, ahead.requests * output_tokens)
            sent_s = max(sent_s, decode_ahead * speed.decode_s / speed.streams)
        wait_s = _read_wait(work.rank, view) + sent_s
        # The upstream has worked on its backlog since the report was taken.
        age_s = work.arrived_s - view.load.taken_s
        return _clamp(wait_s - _clamp(age_s, 0.0, MAX_REPORT_AGE_S), 0.0, MAX_WAIT_S)


def _make_key(work: Work) -> WorkKey:
    return WorkKey(work.service, work.model, work.adapter, work.rank)


def _sum_work_ahead(sent: SentWork, rank: Rank) -> SentWork:
    """Return the part of the sent work that runs before new work of the rank."""
    if not sent.requests_by_rank:
        return sent
    ahead = RANKS_AHEAD[rank]
    return SentWork(
        requests=sum(sent.requests_by_rank.get(other, 0) for other in ahead),
        prefill_tokens=sum(sent.prefill_by_rank.get(other, 0) for other in ahead),
        decode_tokens=sum(sent.decode_by_rank.get(other, 0) for other in ahead),
    )


def _read_wait(rank: Rank, view: UpstreamView) -> float:
    return _clamp(view.load.wait_s.get(rank, 0.0), 0.0, MAX_WAIT_S)


def _blend_rate(reported_s: float, learnt_s: float, weight: float) -> float:
    total = weight + REPORTED_RATE_WEIGHT
    mean_s = (weight * learnt_s + REPORTED_RATE_WEIGHT * reported_s) / total
    return _clamp(mean_s, FASTEST_FACTOR * reported_s, SLOWEST_FACTOR * reported_s)


def _clamp(value: float, low: float, high: float) -> float:
    """Return the value within its bounds, and the lower bound for NaN."""
    if not value > low:
        return low
    return min(value, high)
