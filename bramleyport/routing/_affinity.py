"""Routing by latency forecasts that consider prefix caches and load."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from bramleyport.core import (
    EngineRole,
    Explanation,
    Place,
    PrefixBlock,
    ServiceKind,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.estimate import Estimate, Estimator
from bramleyport.routing._base import ROUTING_POLICIES, Route, is_eligible
from bramleyport.routing._transfer import TransferCost, can_split

# Only a sample is scored, so that the cost of a decision does not grow with the number
# of upstreams.
FULL_SCAN_VIEWS: Final = 12
SAMPLED_VIEWS: Final = 8
MAX_TRACKED_PREFIXES: Final = 8192
UPSTREAMS_PER_PREFIX: Final = 2
PROBED_BLOCKS: Final = 4

# Fraction of the cached tokens that counts in an uncertain view: after a gap, a view is
# wrong about some blocks and right about others.
UNCERTAIN_WEIGHT: Final = 0.5
SAME_ZONE_LATENCY_S: Final = 0.0
OTHER_ZONE_LATENCY_S: Final = 0.0015
OTHER_REGION_LATENCY_S: Final = 0.030
# Long enough that an engine that has the adapter or version loaded wins despite a short
# queue.
ADAPTER_LOAD_S: Final = 1.0
VERSION_LOAD_S: Final = 20.0
LATE_WEIGHT: Final = 4.0
# Work outside an engine's role slows the work that the engine is reserved for.
ROLE_MISMATCH_FACTOR: Final = 2.0
# The rest of the target covers delays that the forecast for two engines leaves out.
SPLIT_TARGET_FRACTION: Final = 0.75
MIN_TARGET_S: Final = 0.05
MIN_TOKEN_INTERVAL_S: Final = 0.005
# A batch step with a prefill chunk takes about four times as long as one without.
PREFILL_SLOWDOWN: Final = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe the forecast for one upstream and its score; lower is better."""

    view: UpstreamView
    estimate: Estimate
    first_token_s: float
    answer_s: float
    token_interval_s: float
    cached_tokens: float
    score: float


@ROUTING_POLICIES.register("affinity")
class AffinityRouting:
    """Choose the upstream with the best score in a bounded sample."""

    def __init__(
        self,
        estimator: Estimator,
        place: Place | None = None,
        transfer: TransferCost | None = None,
    ) -> None:
        self._estimator = estimator
        self._place = place
        self._transfer = transfer
        self._recent_upstreams: OrderedDict[
            PrefixBlock, tuple[tuple[int, UpstreamId], ...]
        ] = OrderedDict()

    def choose(
        self, work: Work, views: Sequence[UpstreamView], now_s: float, rng: Random
    ) -> Route | None:
        """Choose among the eligible upstreams; return None if there are none."""
        positions = self._sample_positions(work, views, rng)
        scored = [
            (self._score(work, views[position]), position)
            for position in positions
            if is_eligible(work, views[position])
        ]
        if not scored:
            return self._choose_any(work, views)
        best, position = min(scored, key=lambda item: (item[0].score, rng.random()))
        self._record_choice(work, position, best.view.upstream)
        return self._make_route(work, best, [candidate for candidate, _ in scored])

    def _choose_any(self, work: Work, views: Sequence[UpstreamView]) -> Route | None:
        # Reached only if views contains ineligible upstreams.
        for view in views:
            if is_eligible(work, view):
                best = self._score(work, view)
                return self._make_route(work, best, [best])
        return None

    def _sample_positions(
        self, work: Work, views: Sequence[UpstreamView], rng: Random
    ) -> Sequence[int]:
        count = len(views)
        if count <= FULL_SCAN_VIEWS:
            return range(count)
        # For a small sample this is cheaper than Random.sample.
        sampled = {int(rng.random() * count) for _ in range(SAMPLED_VIEWS)}
        for block in work.prefix_blocks[: -PROBED_BLOCKS - 1 : -1]:
            for position, upstream in self._recent_upstreams.get(block, ()):
                if position < count and views[position].upstream == upstream:
                    sampled.add(position)
        if work.prefix_blocks:
            # Requests with the same first block then go to one engine even before any
            # engine has reported the block as cached.
            sampled.add(int.from_bytes(work.prefix_blocks[0][:8], "big") % count)
        return sorted(sampled)

    def _record_choice(self, work: Work, position: int, upstream: UpstreamId) -> None:
        for block in work.prefix_blocks[-PROBED_BLOCKS:]:
            recent = self._recent_upstreams.pop(block, ())
            others = tuple(entry for entry in recent if entry[1] != upstream)
            kept = others[: UPSTREAMS_PER_PREFIX - 1]
            self._recent_upstreams[block] = ((position, upstream), *kept)
        while len(self._recent_upstreams) > MAX_TRACKED_PREFIXES:
            self._recent_upstreams.popitem(last=False)

    def _score(self, work: Work, view: UpstreamView) -> Candidate:
        estimate = self._estimator.estimate(work, view)
        cached_tokens = _count_cached_tokens(work, view)
        prefill_s = estimate.prefill_s
        if view.cached.uncertain:
            uncertain_tokens = cached_tokens * (1 - UNCERTAIN_WEIGHT)
            prefill_s += uncertain_tokens / max(1.0, view.rates.prefill_tokens_per_s)
        decode_s = estimate.decode_s
        prefill_s *= _compute_role_factor(view.role, EngineRole.DECODE)
        decode_s *= _compute_role_factor(view.role, EngineRole.PREFILL)
        wait_s = estimate.wait_s + _forecast_slot_wait(view, decode_s)
        wait_s += _forecast_load_time(work, view)
        network_s = 2 * self._estimate_latency(view)
        first_token_s = wait_s + prefill_s + network_s
        answer_s = first_token_s + decode_s * (1 + _measure_occupancy(view))
        token_interval_s = _forecast_interval(work, view, estimate)
        return Candidate(
            view=view,
            estimate=estimate,
            first_token_s=first_token_s,
            answer_s=answer_s,
            token_interval_s=token_interval_s,
            cached_tokens=cached_tokens,
            score=_score_times(work, first_token_s, answer_s, token_interval_s),
        )

    def _estimate_latency(self, view: UpstreamView) -> float:
        place = self._place
        if place is None or view.zone == place.zone:
            return SAME_ZONE_LATENCY_S
        return (
            OTHER_ZONE_LATENCY_S
            if view.region == place.region
            else OTHER_REGION_LATENCY_S
        )

    def _make_route(
        self, work: Work, best: Candidate, candidates: list[Candidate]
    ) -> Route:
        numbers = {
            "candidates": float(len(candidates)),
            "first_token_s": round(best.first_token_s, 4),
            "answer_s": round(best.answer_s, 4),
            "cached_tokens": round(best.cached_tokens, 1),
            "score": round(best.score, 4),
        }
        reason = _choose_reason(best, candidates)
        decode_candidate = self._find_decode_candidate(work, best, candidates)
        if decode_candidate is not None:
            partner, saved_s = decode_candidate
            numbers["saved_s"] = round(saved_s, 4)
            explanation = Explanation(reason="split", numbers=numbers)
            return Route(
                upstream=best.view.upstream,
                decode_upstream=partner.view.upstream,
                prefill_s=best.first_token_s,
                explanation=explanation,
            )
        explanation = Explanation(reason=reason, numbers=numbers)
        return Route(upstream=best.view.upstream, explanation=explanation)

    def _find_decode_candidate(
        self, work: Work, best: Candidate, candidates: list[Candidate]
    ) -> tuple[Candidate, float] | None:
        """Return the engine to decode on if a transfer of the KV cache saves time."""
        if self._transfer is None or not best.view.kv_address:
            return None
        if best.estimate.wait_s > 0:
            return None
        bytes_per_token = best.view.kv_bytes_per_token
        transfer_s = self._transfer.forecast(work.prompt_tokens, bytes_per_token)
        splits: list[tuple[float, float, Candidate]] = []
        for other in candidates:
            if not can_split(work, best.view, other.view) or not _has_slot(other):
                continue
            # The decode engine also generates the first token.
            first_token_s = best.first_token_s + transfer_s
            if first_token_s > SPLIT_TARGET_FRACTION * work.targets.first_token_s:
                continue
            answer_s = first_token_s + _forecast_decode(other)
            score = _score_times(work, first_token_s, answer_s, other.token_interval_s)
            splits.append((score, best.answer_s - answer_s, other))
        if not splits:
            return None
        score, saved_s, partner = min(splits, key=lambda item: item[0])
        return (partner, saved_s) if score < best.score else None


def _has_slot(candidate: Candidate) -> bool:
    """Return whether an engine would decode transferred work at once.

    Transferred work is not rejected if it is late. In a queue it would take engine time
    from work that is in time, which cost a tenth of the goodput in a flood.
    """
    view = candidate.view
    streams = view.load.running + view.sent.requests
    return candidate.estimate.wait_s <= 0 and streams < view.rates.max_streams


def _forecast_decode(candidate: Candidate) -> float:
    return candidate.estimate.decode_s * (1 + _measure_occupancy(candidate.view))


def _count_cached_tokens(work: Work, view: UpstreamView) -> float:
    if not work.prefix_blocks:
        return 0.0
    cached = view.cached.count_cached(work.prefix_blocks) * view.block_tokens
    return float(min(cached, work.prompt_tokens))


def _measure_occupancy(view: UpstreamView) -> float:
    streams = view.load.running + view.sent.requests
    return min(1.0, streams / max(1, view.rates.max_streams))


def _forecast_slot_wait(view: UpstreamView, decode_s: float) -> float:
    # The load report does not include work that was sent after it.
    slots = max(1, view.rates.max_streams)
    excess = max(0, view.load.running + view.sent.requests - slots)
    return excess / slots * decode_s


def _forecast_load_time(work: Work, view: UpstreamView) -> float:
    load_time_s = 0.0
    if work.adapter is not None and work.adapter not in view.adapters:
        load_time_s += ADAPTER_LOAD_S
    if work.version and view.versions and work.version not in view.versions:
        load_time_s += VERSION_LOAD_S
    return load_time_s


def _compute_role_factor(role: EngineRole, mismatch: EngineRole) -> float:
    return ROLE_MISMATCH_FACTOR if role is mismatch else 1.0


def _forecast_interval(work: Work, view: UpstreamView, estimate: Estimate) -> float:
    """Return the time between tokens, given the prefill of other work in the batch."""
    if work.kind is not ServiceKind.LANGUAGE:
        return 0.0
    tokens = max(1.0, estimate.output_tokens)
    token_interval_s = estimate.decode_s / tokens
    prefill_tokens = view.load.queued_prefill_tokens + view.sent.prefill_tokens
    backlog_s = prefill_tokens / max(1.0, view.rates.prefill_tokens_per_s)
    overlap = min(1.0, backlog_s / max(MIN_TARGET_S, estimate.decode_s))
    return token_interval_s * (1 + PREFILL_SLOWDOWN * overlap)


def _score_times(
    work: Work, first_token_s: float, answer_s: float, token_interval_s: float
) -> float:
    first = first_token_s / max(MIN_TARGET_S, work.targets.first_token_s)
    answer = answer_s / max(MIN_TARGET_S, work.targets.answer_s)
    interval = token_interval_s / max(
        MIN_TOKEN_INTERVAL_S, work.targets.between_tokens_s
    )
    late = max(0.0, first - 1) + max(0.0, answer - 1) + max(0.0, interval - 1)
    return first + answer + LATE_WEIGHT * late


def _choose_reason(best: Candidate, candidates: list[Candidate]) -> str:
    if len(candidates) == 1:
        return "only_candidate"
    if best.cached_tokens > 0:
        return "prefix_cached"
    if any(candidate.cached_tokens > 0 for candidate in candidates):
        return "cache_overloaded"
    return "least_forecast"
