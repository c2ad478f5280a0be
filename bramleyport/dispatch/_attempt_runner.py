"""Runs of single attempts, whose results go to guard, hedging and estimator."""

import time
import uuid
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from bramleyport.answers import AttemptIdGenerator
from bramleyport.core import (
    AttemptId,
    CallRecord,
    Explanation,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.dispatch._attempt import (
    AttemptResult,
    Call,
    EntryAttempt,
    OnChunk,
)
from bramleyport.dispatch._first_chunk import FirstChunkTimer, run_until_deadline
from bramleyport.dispatch._prefill import (
    PREFILL_ONLY_FAILURES,
    EntryPrefill,
    PrefillResult,
)
from bramleyport.dispatch._trace import record_attempt, record_decision
from bramleyport.estimate import Estimator, Observation
from bramleyport.retries import AttemptFailure, FailureKind, HedgePolicy, UpstreamGuard
from bramleyport.telemetry import (
    Event,
    Metrics,
    events,
    log_event,
    policy_events,
    routing_events,
)
from bramleyport.wire import End, Message, Prefilled

if TYPE_CHECKING:
    from bramleyport.links._agent_links import AgentLink
    from bramleyport.transport import Connection


FIRST_ERROR_STATUS: Final = 400


class DecisionReporter:
    """Log decisions and count them in the metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def report(
        self, kind: str, event: Event, explanation: Explanation, **fields: object
    ) -> None:
        """Log a decision with its numbers and count it by reason."""
        reason = explanation.reason
        self._metrics.decisions.inc({"kind": kind, "reason": reason})
        record_decision(kind, explanation)
        log_event(event, reason=reason, **{**explanation.numbers, **fields})


class AttemptRunner:
    """Track the attempts that are running on agents."""

    def __init__(
        self,
        guard: UpstreamGuard,
        hedging: HedgePolicy,
        metrics: Metrics,
        on_end: "Callable[[AgentLink], None]",
        estimator: Estimator | None = None,
    ) -> None:
        self._guard = guard
        self._hedging = hedging
        self._metrics = metrics
        self._reporter = DecisionReporter(metrics)
        self._on_end = on_end
        self._estimator = estimator
        self._attempt_ids = AttemptIdGenerator(uuid.uuid4().hex)
        self._attempts: dict[AttemptId, EntryAttempt | EntryPrefill] = {}

    def deliver(
        self, link: "AgentLink", connection: "Connection", message: Message
    ) -> None:
        """Deliver a message to its attempt."""
        attempt = self._attempts.get(getattr(message, "attempt", AttemptId("")))
        if attempt is not None and attempt.link is link:
            attempt.deliver(connection, message)

    async def prefill(
        self, link: "AgentLink", work: Work, call: Call, limit_s: float
    ) -> PrefillResult:
        """Prefill a prompt that another engine will decode."""
        assert link.view is not None
        upstream = link.view.upstream
        attempt_id = self._attempt_ids.make()
        attempt = EntryPrefill(attempt_id, link, work, call)
        self._attempts[attempt_id] = attempt
        cached_tokens = _count_cached_tokens(link.view, work)
        link.count_sent(replace(work, max_output_tokens=0))
        link.in_flight += 1
        self._guard.start(upstream)
        sent_s = time.monotonic()
        finished = False
        try:
            result = await attempt.run(limit_s)
            finished = True
        finally:
            del self._attempts[attempt_id]
            if not finished:
                attempt.cancel()
                self._abandon(upstream, work, time.monotonic() - sent_s)
            self._on_end(link)
        if isinstance(result, Ok):
            times = result.ok_value
            self._record_observation(
                Observation(
                    work=work,
                    upstream=upstream,
                    output_tokens=0,
                    cached_tokens=cached_tokens,
                    wait_s=times.wait_s,
                    prefill_s=times.prefill_s,
                    decode_s=0.0,
                )
            )
        failure = result.err_value if isinstance(result, Err) else None
        if failure is not None and failure.kind in PREFILL_ONLY_FAILURES:
            # Not passed to the guard as a failure: a failed export, or a prefill that
            # exceeds a limit far below the rank's target, does not show that the
            # engine fails whole requests.
            timed_out = failure.kind is FailureKind.TIMEOUT
            silent_s = time.monotonic() - sent_s if timed_out else 0.0
            self._report(attempt_id, upstream, work, failure)
            self._abandon(upstream, work, silent_s)
        else:
            self._finish(attempt_id, upstream, work, failure)
        return result

    async def run(
        self,
        link: "AgentLink",
        work: Work,
        call: Call,
        on_chunk: OnChunk,
        record: CallRecord,
        prefilled: Prefilled | None = None,
    ) -> AttemptResult:
        """Run one attempt, recorded with its call, and return its result.

        With `prefilled`, the engine imports the prompt's KV blocks from there.
        """
        assert link.view is not None
        upstream = link.view.upstream
        attempt_id = self._attempt_ids.make()
        attempt = EntryAttempt(
            attempt_id, link, work, call, record.add_attempt(), prefilled
        )
        self._attempts[attempt_id] = attempt
        cached_tokens = _count_cached_tokens(link.view, work)
        link.count_sent(replace(work, prompt_tokens=0) if prefilled else work)
        link.in_flight += 1
        self._guard.start(upstream)
        timer = FirstChunkTimer(
            on_chunk,
            lambda latency_s: self._observe_first(upstream, work, latency_s, prefilled),
        )
        finished = False
        try:
            result = await run_until_deadline(attempt, work, timer)
            finished = True
        finally:
            del self._attempts[attempt_id]
            if not finished:
                attempt.cancel()
                now_s = time.monotonic()
                silent_s = now_s - timer.sent_s if timer.latency_s is None else 0.0
                self._abandon(upstream, work, silent_s)
            self._on_end(link)
        if isinstance(result, Ok):
            self._observe(upstream, work, result.ok_value, cached_tokens)
        failure = result.err_value if isinstance(result, Err) else None
        self._finish(attempt_id, upstream, work, failure)
        return result

    def _observe(
        self, upstream: UpstreamId, work: Work, end: End, cached_tokens: int
    ) -> None:
        labels = {"service": work.service, "rank": work.rank.value}
        self._metrics.queue_wait_s.observe(labels, end.wait_s)
        if end.status >= FIRST_ERROR_STATUS:
            return
        self._record_observation(
            Observation(
                work=work,
                upstream=upstream,
                output_tokens=end.output_tokens,
                cached_tokens=cached_tokens,
                wait_s=end.wait_s,
                prefill_s=end.prefill_s,
                decode_s=end.decode_s,
            )
        )

    def _record_observation(self, observation: Observation) -> None:
        if self._estimator is None:
            return
        self._estimator.observe(observation)
        log_event(
            policy_events.ATTEMPT_OBSERVED,
            request=observation.work.request,
            peer=observation.upstream,
            wait_s=observation.wait_s,
            prefill_s=observation.prefill_s,
            decode_s=observation.decode_s,
            output_tokens=observation.output_tokens,
        )

    def _observe_first(
        self,
        upstream: UpstreamId,
        work: Work,
        latency_s: float,
        prefilled: Prefilled | None,
    ) -> None:
        # The latency of an attempt without prefill is not comparable with others.
        if prefilled is not None:
            return
        self._guard.observe_first_chunk(upstream, work, latency_s, time.monotonic())
        self._hedging.observe_first_chunk(work, latency_s)

    def _abandon(self, upstream: UpstreamId, work: Work, silent_s: float) -> None:
        ejected = self._guard.finish_cancelled(
            upstream, work, silent_s, time.monotonic()
        )
        self._report_ejection(upstream, ejected)

    def _finish(
        self,
        attempt_id: AttemptId,
        upstream: UpstreamId,
        work: Work,
        failure: AttemptFailure | None,
    ) -> None:
        self._report(attempt_id, upstream, work, failure)
        ejected = self._guard.finish(upstream, failure, time.monotonic())
        self._report_ejection(upstream, ejected)

    def _report(
        self,
        attempt_id: AttemptId,
        upstream: UpstreamId,
        work: Work,
        failure: AttemptFailure | None,
    ) -> None:
        outcome = failure.kind.value if failure is not None else "ok"
        self._metrics.attempts.inc({"result": outcome})
        record_attempt(upstream, failure)
        if failure is not None:
            log_event(
                events.ATTEMPT_FAILED,
                request=work.request,
                attempt=attempt_id,
                peer=failure.upstream,
                reason=outcome,
                execution=failure.execution.value,
            )

    def _report_ejection(
        self, upstream: UpstreamId, ejected: Explanation | None
    ) -> None:
        if ejected is not None:
            self._reporter.report(
                "ejection", routing_events.UPSTREAM_EJECTED, ejected, upstream=upstream
            )


def _count_cached_tokens(view: UpstreamView, work: Work) -> int:
    return view.cached.count_cached(work.prefix_blocks) * view.block_tokens
