"""The first step of a request that decodes on another engine."""

import time
from typing import TYPE_CHECKING, Final

from result import Err

from bramleyport.core import UpstreamId
from bramleyport.dispatch._prefill import PREFILL_FAULTS
from bramleyport.retries import AttemptFailure
from bramleyport.telemetry import Metrics, log_event, transfer_events

if TYPE_CHECKING:
    from bramleyport.core import Work
    from bramleyport.dispatch._attempt import Call
    from bramleyport.dispatch._attempt_runner import AttemptRunner
    from bramleyport.dispatch._prefill import PrefillResult
    from bramleyport.links._peers import AgentLink

DEFAULT_LIMIT_RATIO: Final = 2.0
# Load reports lag, so a forecast of nearly nothing may be wrong by some seconds.
LEAST_TARGET_PART: Final = 0.25
# An engine that can't export would otherwise take one retry of the budget for each
# request that is split there, until other requests have none left.
PAUSE_S: Final = 30.0


class PrefillStep:
    """Have prompts computed for another engine within a limit."""

    def __init__(
        self, runner: "AttemptRunner", metrics: Metrics, limit_ratio: float
    ) -> None:
        self._runner = runner
        self._metrics = metrics
        self._limit_ratio = limit_ratio
        self._paused_until_s: dict[UpstreamId, float] = {}

    def allows(self, upstream: UpstreamId) -> bool:
        """Return whether prefills on an engine have not failed lately."""
        return self._paused_until_s.get(upstream, 0.0) <= time.monotonic()

    async def prefill(
        self,
        source: "AgentLink",
        decode: "AgentLink",
        work: "Work",
        call: "Call",
        forecast_s: float,
    ) -> "PrefillResult":
        """Have the prompt computed and return where its KV blocks are."""
        assert source.view is not None
        assert decode.view is not None
        limit_s = self._limit(work, forecast_s)
        fields = {
            "request": work.request,
            "upstream": source.view.upstream,
            "decode": decode.view.upstream,
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
        if failure.kind not in PREFILL_FAULTS:
            return
        now_s = time.monotonic()
        for upstream, until_s in list(self._paused_until_s.items()):
            if until_s <= now_s:
                del self._paused_until_s[upstream]
        self._paused_until_s[failure.upstream] = now_s + PAUSE_S

    def _limit(self, work: "Work", forecast_s: float) -> float:
        """Return the seconds for the prefill.

        Agents refuse work that is late for its first token, so a prefill that hangs
        must be given up while a whole attempt can still be in time.
        """
        left_s = work.answer_deadline_s - time.monotonic()
        least_s = work.targets.first_token_s * LEAST_TARGET_PART
        limit_s = max(least_s, forecast_s * self._limit_ratio)
        return max(0.0, min(limit_s, left_s / 2))
