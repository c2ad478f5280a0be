"""Admission that accepts only work expected to finish in time for its rank."""

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import nsmallest
from typing import Final

from bramleyport.admission._base import ADMISSION_POLICIES, Admitted, Rejected
from bramleyport.admission._usage import AccountUsage
from bramleyport.core import Explanation, Rank, ServiceKind, UpstreamView, Work
from bramleyport.estimate import Estimate, Estimator

NO_UPSTREAM_RETRY_S: Final = 1.0
MIN_RETRY_S: Final = 1.0
MAX_RETRY_S: Final = 600.0
# Standard deviations added to the expected decode time before the comparison with
# the target.
MARGIN_DEVIATIONS: Final = 1.0
# A rejection requires a forecast for every candidate, at about 28 us each. Only the
# upstreams with the shortest reported waits are evaluated.
MAX_EVALUATED_UPSTREAMS: Final = 8
# Reported waits are half a report interval old on average. In an overload the real
# wait has grown since then.
WAIT_MARGIN_FACTOR: Final = 1.2
# An upstream with at most this wait counts as idle. A request that is accepted there
# delays no other, and its answer improves the estimator, so the request is accepted
# even if only a short answer would be in time.
IDLE_WAIT_S: Final = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamForecast:
    """Describe how one upstream is expected to meet the targets of a request."""

    reason: str
    late_s: float
    estimate: Estimate
    wait_s: float


@ADMISSION_POLICIES.register("in_time")
class InTimeAdmission:
    """Accept a request that at least one upstream is expected to finish in time."""

    def __init__(self, estimator: Estimator) -> None:
        self._estimator = estimator
        self._usage = {rank: AccountUsage() for rank in Rank}

    def admit(
        self, work: Work, views: Sequence[UpstreamView], now_s: float
    ) -> Admitted | Rejected:
        """Decide whether to accept the work."""
        if not views:
            return Rejected(Explanation(reason="no_upstream"), NO_UPSTREAM_RETRY_S)
        usage = self._usage[work.rank]
        elapsed_s = max(0.0, now_s - work.arrived_s)
        best = self._find_best_forecast(work, views, now_s)
        numbers = _list_numbers(best, elapsed_s, len(views))
        explanation = Explanation(reason=best.reason, numbers=numbers)
        if best.late_s > 0:
            return Rejected(explanation, _clamp_retry_after(best.late_s))
        usage.add(work.account, _compute_cost(best.estimate), now_s)
        return Admitted(explanation)

    def _find_best_forecast(
        self, work: Work, views: Sequence[UpstreamView], now_s: float
    ) -> UpstreamForecast:
        """Return the first forecast that is in time, or else the least late one."""
        best: UpstreamForecast | None = None
        for view in _select_views(work, views):
            estimate = self._estimator.estimate(work, view)
            forecast = self._forecast_upstream(work, view, estimate, now_s)
            if forecast.late_s <= 0:
                return forecast
            if best is None or forecast.late_s < best.late_s:
                best = forecast
        assert best is not None
        return best

    def _forecast_upstream(
        self, work: Work, view: UpstreamView, estimate: Estimate, now_s: float
    ) -> UpstreamForecast:
        # The agent shares its capacity equally among accounts, so an account below its
        # equal share does not wait behind the backlog of the others.
        relative_usage = self._usage[work.rank].measure_relative_usage(
            work.account, _compute_cost(estimate), now_s
        )
        wait_s = estimate.wait_s * min(1.0, relative_usage)
        late = _measure_lateness(work, view, estimate, wait_s, now_s)
        reason = max(late, key=lambda name: late[name])
        late_s = late[reason]
        if late_s <= 0:
            reason = "in_time"
        return UpstreamForecast(
            reason=reason, late_s=late_s, estimate=estimate, wait_s=wait_s
        )


def _select_views(work: Work, views: Sequence[UpstreamView]) -> Sequence[UpstreamView]:
    if len(views) <= MAX_EVALUATED_UPSTREAMS:
        return views
    return nsmallest(
        MAX_EVALUATED_UPSTREAMS,
        views,
        key=lambda view: view.load.wait_s.get(work.rank, 0.0),
    )


def _measure_lateness(
    work: Work, view: UpstreamView, estimate: Estimate, wait_s: float, now_s: float
) -> dict[str, float]:
    """Return the seconds by which each target is missed, by reason code."""
    targets = work.targets
    time_to_prefill_s = max(0.0, now_s - work.arrived_s) + WAIT_MARGIN_FACTOR * wait_s
    decode_s = _add_margin(work, estimate)
    if wait_s <= IDLE_WAIT_S:
        decode_s = max(0.0, estimate.decode_s - estimate.spread_s)
    answer_s = time_to_prefill_s + estimate.prefill_s + decode_s
    late = {"answer_late": answer_s - targets.answer_s}
    if work.kind is ServiceKind.LANGUAGE:
        late["first_token_late"] = (
            time_to_prefill_s + estimate.prefill_s - targets.first_token_s
        )
        # The learned interval includes interference by prefill work that may be gone
        # when this request decodes. It is enough if the upstream's reported rate meets
        # the target.
        interval_s = 1 / max(view.rates.decode_tokens_per_s, 1e-6)
        if 0 < estimate.between_tokens_s < interval_s:
            interval_s = estimate.between_tokens_s
        late["between_tokens_late"] = interval_s - targets.between_tokens_s
    return late


def _add_margin(work: Work, estimate: Estimate) -> float:
    decode_s = estimate.decode_s + MARGIN_DEVIATIONS * estimate.spread_s
    if estimate.output_tokens > 0:
        # An answer is never longer than its declared limit.
        longest_ratio = max(1.0, work.max_output_tokens / estimate.output_tokens)
        decode_s = min(decode_s, estimate.decode_s * longest_ratio)
    return decode_s


def _compute_cost(estimate: Estimate) -> float:
    return max(1e-6, estimate.prefill_s + estimate.decode_s)


def _list_numbers(
    forecast: UpstreamForecast, elapsed_s: float, views: int
) -> dict[str, float]:
    estimate = forecast.estimate
    return {
        "late_s": forecast.late_s,
        "elapsed_s": elapsed_s,
        "wait_s": forecast.wait_s,
        "prefill_s": estimate.prefill_s,
        "decode_s": estimate.decode_s,
        "spread_s": estimate.spread_s,
        "views": float(views),
    }


def _clamp_retry_after(late_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, late_s))
