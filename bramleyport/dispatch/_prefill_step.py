"""Prefill step of requests that decode on another engine."""

import time
from typing import TYPE_CHECKING, Final

from result import Err

from bramleyport.core import UpstreamId
from bramleyport.dispatch._prefill import PREFILL_ONLY_FAILURES
from bramleyport.retries import AttemptFailure
from bramleyport.telemetry import Metrics, log_event, transfer_events

if TYPE_CHECKING:
    from bramleyport.core import Work
    from bramleyport.dispatch._attempt import Call
    from bramleyport.dispatch._attempt_runner import AttemptRunner
    from bramleyport.dispatch._prefill import PrefillResult
    from bramleyport.links._agent_links import AgentLink

DEFAULT_LIMIT_RATIO: Final = 2.0
# Load reports lag, so a forecast close to zero may be wrong by some seconds.
MIN_TARGET_FRACTION: Final = 0.25
# Without a pause, each request split to an engine that cannot export would spend a
# retry of the shared budget, until none is left for other requests.
ENGINE_PAUSE_S: Final = 30.0


class PrefillStep:
    """Run prefills within a time limit and pause engines whose prefills failed."""

    def __init__(
        self, runner: "AttemptRunner", metrics: Metrics, limit_ratio: float
    ) -> None:
        self._runner = runner
        self._metrics = metrics
        self._limit_ratio = limit_ratio
        self._paused_until_s: dict[UpstreamId, float] = {}

    def allows(self, upstream: UpstreamId) -> bool:
        """Return whether an engine is not paused after a failed prefill."""
        return self._paused_until_s.get(upstream, 0.0) <= time.monotonic()

    async def prefill(
        self,
        source: "AgentLink",
        decode_link: "AgentLink",
        work: "Work",
        call: "Call",
        forecast_s: float,
    ) -> "PrefillResult":
        """Prefill the prompt and return where its KV blocks can be imported from."""
        assert source.view is not None
        assert decode_link.view is not None
        limit_s = self._limit(work, forecast_s)
        fields = {
            "request": work.request,
            "upstream": source.view.upstream,
            "decode": decode_link.view.upstream,
        }
        log_event(transfer_events.SPLIT_STARTED, limit_s=limit_s, **fields)
        result = await self._runner.prefill(source, work, call, limit_s)
        failed, reason = isinstance(result, Err), "prefilled"
        if isinstance(result, Err):
            reason = result.err_value.kind.value
            self._pause(result.err_value)
        self._metrics.splits.inc({"result": reason})
        log_event(
            transfer_events.SPLIT_ABANDONED
            if failed
            else transfer_events.SPLIT_PREFILLED,
            reason=reason,
            **fields,
        )
        return result

    def _pause(self, failure: AttemptFailure) -> None:
        if failure.kind not in PREFILL_ONLY_FAILURES:
            return
        now_s = time.monotonic()
        for upstream, until_s in list(self._paused_until_s.items()):
            if until_s <= now_s:
                del self._paused_until_s[upstream]
        self._paused_until_s[failure.upstream] = now_s + ENGINE_PAUSE_S

    def _limit(self, work: "Work", forecast_s: float) -> float:
        """Return the time limit of a prefill in seconds.

        Agents refuse work that is late for its first token, so a prefill that hangs
        must be given up while a whole attempt can still be in time.
        """
        remaining_s = work.answer_deadline_s - time.monotonic()
        min_limit_s = work.targets.first_token_s * MIN_TARGET_FRACTION
        limit_s = max(min_limit_s, forecast_s * self._limit_ratio)
        return max(0.0, min(limit_s, remaining_s / 2))
