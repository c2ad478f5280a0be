"""Estimator that learns output lengths and engine speeds from answers."""

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
from bramleyport.estimate._moments import BoundedTable, LowQuantile, Moments

# Output lengths are kept per kind of work, never per account, so that memory does not
# grow with the number of accounts.
MAX_WORK_KEYS: Final = 4096
MAX_UPSTREAMS: Final = 4096

PRIOR_OUTPUT_TOKENS: Final = 256.0
PRIOR_CALL_S: Final = 0.05
PRIOR_WEIGHT: Final = 4.0
REPORTED_RATE_WEIGHT: Final = 8.0
# An uncertain cache view has missed evictions about as often as it is right.
UNCERTAIN_CACHE_WEIGHT: Final = 0.5
# Below this the fixed cost of a batch step hides the cost of the tokens.
MIN_PREFILL_SAMPLE_TOKENS: Final = 256
# The time to the first token includes interference by other prefills, which belongs to
# the wait; a quantile of 0.25 still gave twice the engine's cost under load.
PREFILL_QUANTILE: Final = 0.05
PREFILL_STEP: Final = 0.3
# Bounds on learnt seconds per token, as multiples of the reported value; they keep one
# absurd answer from removing an engine from service.
FASTEST_FACTOR: Final = 0.25
SLOWEST_FACTOR: Final = 8.0

RANKS_AHEAD: Final = {
    rank: tuple(other for other in Rank if other.priority <= rank.priority)
    for rank in Rank
}

MIN_TOKENS_PER_S: Final = 0.1
MAX_TOKENS_PER_S: Final = 1e7
MAX_WAIT_S: Final = 3600.0
# A report older than this may mean a silent agent, whose backlog must not be assumed
# to shrink.
MAX_DRAIN_S: Final = 1.0
MAX_SAMPLE_S: Final = 3600.0
MAX_SAMPLE_TOKENS: Final = 10_000_000


@dataclass(frozen=True, slots=True)
class WorkKey:
    """Name the work that shares one distribution of output length."""

    service: ServiceName
    model: ModelName
    adapter: AdapterName | None
    rank: Rank


@dataclass(slots=True)
class EngineSpeed:
    """Hold the learnt seconds per token of one engine."""

    prefill: LowQuantile = field(default_factory=LowQuantile)
    decode: Moments = field(default_factory=Moments)


@dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """Hold the expected seconds per token of one engine."""

    prefill_s: float
    decode_s: float
    streams: int


@ESTIMATORS.register("learned")
class LearnedEstimator:
    """Forecast from reported rates corrected by observed answers."""

    def __init__(self) -> None:
        self._latest: tuple[Work, Moments] | None = None
        self._lengths: BoundedTable[WorkKey, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._service_lengths: BoundedTable[ServiceName, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._call_s: BoundedTable[WorkKey, Moments] = BoundedTable(
            MAX_WORK_KEYS, Moments
        )
        self._speeds: BoundedTable[UpstreamId, EngineSpeed] = BoundedTable(
            MAX_UPSTREAMS, EngineSpeed
        )

    def estimate(self, work: Work, view: UpstreamView) -> Estimate:
        """Forecast the cost of the work on the upstream."""
        if work.kind is ServiceKind.PLAIN:
            return self._estimate_call(work, view)
        speed = self._find_speed(view)
        output = self._recall_output(work)
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
        self._latest = None
        work = observation.work
        if work.kind is ServiceKind.PLAIN:
            if observation.decode_s > 0:
                duration_s = _clamp(observation.decode_s, 0.0, MAX_SAMPLE_S)
                self._call_s.touch(_make_key(work)).add(duration_s)
            return
        self._observe_length(work, observation.output_tokens)
        self._observe_speed(observation)

    def _estimate_call(self, work: Work, view: UpstreamView) -> Estimate:
        prior = Moments(mean=PRIOR_CALL_S, variance=PRIOR_CALL_S**2)
        learnt = self._call_s.find(_make_key(work)) or Moments()
        call = learnt.blend(prior, PRIOR_WEIGHT)
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

    def _recall_output(self, work: Work) -> Moments:
        # Admission estimates one request on many upstreams in a row.
        if self._latest is None or self._latest[0] is not work:
            self._latest = (work, self._forecast_output(work))
        return self._latest[1]

    def _forecast_output(self, work: Work) -> Moments:
        limit = float(max(1, work.max_output_tokens))
        guess = min(limit, PRIOR_OUTPUT_TOKENS)
        mean = (limit + guess) / 2
        spread = max((limit - guess) / 2, mean / 2)
        output = Moments(mean=mean, variance=spread**2)
        for learnt in (
            self._service_lengths.find(work.service),
            self._lengths.find(_make_key(work)),
        ):
            if learnt is not None:
                output = learnt.blend(output, PRIOR_WEIGHT)
        output.mean = _clamp(output.mean, 1.0, limit)
        return output

    def _observe_length(self, work: Work, output_tokens: int) -> None:
        tokens = _clamp(float(output_tokens), 0.0, MAX_SAMPLE_TOKENS)
        if tokens <= 0:
            return
        cut = tokens >= work.max_output_tokens
        for learnt in (
            self._service_lengths.touch(work.service),
            self._lengths.touch(_make_key(work)),
        ):
            # An answer cut at its limit shows only that it would be at least as long.
            if not (cut and tokens < learnt.mean):
                learnt.add(tokens)

    def _observe_speed(self, observation: Observation) -> None:
        speed = self._speeds.touch(observation.upstream)
        uncached = observation.work.prompt_tokens - max(0, observation.cached_tokens)
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS and observation.prefill_s > 0:
            sample_s = _clamp(observation.prefill_s, 0.0, MAX_SAMPLE_S) / uncached
            speed.prefill.add(sample_s, PREFILL_QUANTILE, PREFILL_STEP)
        intervals = observation.output_tokens - 1
        if intervals > 0 and observation.decode_s > 0:
            sample_s = _clamp(observation.decode_s, 0.0, MAX_SAMPLE_S) / intervals
            speed.decode.add(sample_s)

    def _find_speed(self, view: UpstreamView) -> Speed:
        rates = view.rates
        prefill_s = 1 / _clamp(
            rates.prefill_tokens_per_s, MIN_TOKENS_PER_S, MAX_TOKENS_PER_S
        )
        decode_s = 1 / _clamp(
            rates.decode_tokens_per_s, MIN_TOKENS_PER_S, MAX_TOKENS_PER_S
        )
        learnt = self._speeds.find(view.upstream)
        if learnt is not None:
            prefill_s = _blend_rate(
                prefill_s, learnt.prefill.value, learnt.prefill.weight
            )
            decode_s = _blend_rate(decode_s, learnt.decode.mean, learnt.decode.weight)
        streams = max(1, rates.max_streams)
        return Speed(prefill_s=prefill_s, decode_s=decode_s, streams=streams)

    def _count_uncached(self, work: Work, view: UpstreamView) -> float:
        cached = view.cached.count_cached(work.prefix_blocks) * view.block_tokens
        weight = UNCERTAIN_CACHE_WEIGHT if view.cached.uncertain else 1.0
        return max(1.0, work.prompt_tokens - weight * max(0, cached))

    def _forecast_wait(
        self, work: Work, view: UpstreamView, speed: Speed, output_tokens: float
    ) -> float:
        sent = view.sent
        ahead = _count_ahead(sent, work.rank)
        sent_s = ahead.prefill_tokens * speed.prefill_s
        busy = view.load.running + view.load.queued + sent.requests
        if busy >= speed.streams:
            # Declared limits overstate what was sent, learnt lengths do not. Prefill
            # goes on while work waits for a slot, so the longer wait counts.
            decode = min(ahead.decode_tokens, ahead.requests * output_tokens)
            sent_s = max(sent_s, decode * speed.decode_s / speed.streams)
        wait_s = _read_wait(work.rank, view) + sent_s
        # The backlog of the report has been worked on since it was taken.
        age_s = work.arrived_s - view.load.taken_s
        return _clamp(wait_s - _clamp(age_s, 0.0, MAX_DRAIN_S), 0.0, MAX_WAIT_S)


def _make_key(work: Work) -> WorkKey:
    return WorkKey(work.service, work.model, work.adapter, work.rank)


def _count_ahead(sent: SentWork, rank: Rank) -> SentWork:
    """Return the work sent that runs before new work of the rank."""
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
