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
# Spreads added to the expected output length before it is compared with the target.
MARGIN_SPREADS: Final = 1.0
# In an overload every upstream would be examined for each rejection, at about 28 us
# each; those with the shortest reported wait decide.
MAX_EXAMINED: Final = 8
# Reported waits are half a report interval old on average and grow in an overload.
WAIT_MARGIN: Final = 1.2
# An upstream with a shorter wait is idle: accepting a request there delays nobody, and
# its answer teaches the estimator, so a chance of being in time is enough.
IDLE_WAIT_S: Final = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """Compare the forecast for one upstream with the targets of the work."""

    reason: str
    late_s: float
    estimate: Estimate
    wait_s: float


@ADMISSION_POLICIES.register("in_time")
class InTimeAdmission:
    """Accept work that at least one upstream is expected to finish in time."""

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
        best = self._find_fit(work, views, now_s)
        numbers = _describe(best, elapsed_s, len(views))
        explanation = Explanation(reason=best.reason, numbers=numbers)
        if best.late_s > 0:
            return Rejected(explanation, _bound(best.late_s))
        usage.add(work.account, _count_cost(best.estimate), now_s)
        return Admitted(explanation)

    def _find_fit(self, work: Work, views: Sequence[UpstreamView], now_s: float) -> Fit:
        """Return the first fit that is in time, or the one that is least late."""
        best: Fit | None = None
        for view in _select_views(work, views):
            estimate = self._estimator.estimate(work, view)
            fit = self._fit(work, view, estimate, now_s)
            if fit.late_s <= 0:
                return fit
            if best is None or fit.late_s < best.late_s:
                best = fit
        assert best is not None
        return best

    def _fit(
        self, work: Work, view: UpstreamView, estimate: Estimate, now_s: float
    ) -> Fit:
        # The agent serves accounts fairly, so an account below its equal share does
        # not wait behind the backlog of the others.
        load = self._usage[work.rank].measure_load(
            work.account, _count_cost(estimate), now_s
        )
        wait_s = estimate.wait_s * min(1.0, load)
        late = _measure_lateness(work, view, estimate, wait_s, now_s)
        reason = max(late, key=lambda name: late[name])
        late_s = late[reason]
        if late_s <= 0:
            reason = "in_time"
        return Fit(reason=reason, late_s=late_s, estimate=estimate, wait_s=wait_s)


def _select_views(work: Work, views: Sequence[UpstreamView]) -> Sequence[UpstreamView]:
    if len(views) <= MAX_EXAMINED:
        return views
    return nsmallest(
        MAX_EXAMINED, views, key=lambda view: view.load.wait_s.get(work.rank, 0.0)
    )


def _measure_lateness(
    work: Work, view: UpstreamView, estimate: Estimate, wait_s: float, now_s: float
) -> dict[str, float]:
    """Return by how much each target is missed, by reason code."""
    targets = work.targets
    spent_s = max(0.0, now_s - work.arrived_s) + WAIT_MARGIN * wait_s
    decode_s = _add_margin(work, estimate)
    if wait_s <= IDLE_WAIT_S:
        decode_s = max(0.0, estimate.decode_s - estimate.spread_s)
    answer_s = spent_s + estimate.prefill_s + decode_s
    late = {"answer_late": answer_s - targets.answer_s}
    if work.kind is ServiceKind.LANGUAGE:
        late["first_token_late"] = spent_s + estimate.prefill_s - targets.first_token_s
        # The learnt interval includes interference by prefill that a later start would
        # not have, so the upstream's reported interval is enough.
        between_s = 1 / max(view.rates.decode_tokens_per_s, 1e-6)
        if 0 < estimate.between_tokens_s < between_s:
            between_s = estimate.between_tokens_s
        late["between_tokens_late"] = between_s - targets.between_tokens_s
    return late


def _add_margin(work: Work, estimate: Estimate) -> float:
    decode_s = estimate.decode_s + MARGIN_SPREADS * estimate.spread_s
    if estimate.output_tokens > 0:
        # No answer is longer than its declared limit.
        longest = max(1.0, work.max_output_tokens / estimate.output_tokens)
        decode_s = min(decode_s, estimate.decode_s * longest)
    return decode_s


def _count_cost(estimate: Estimate) -> float:
    return max(1e-6, estimate.prefill_s + estimate.decode_s)


def _describe(fit: Fit, elapsed_s: float, views: int) -> dict[str, float]:
    estimate = fit.estimate
    return {
        "late_s": fit.late_s,
        "elapsed_s": elapsed_s,
        "wait_s": fit.wait_s,
        "prefill_s": estimate.prefill_s,
        "decode_s": estimate.decode_s,
        "spread_s": estimate.spread_s,
        "views": float(views),
    }


def _bound(late_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, late_s))
