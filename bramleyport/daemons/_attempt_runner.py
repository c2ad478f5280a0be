"""Run single attempts and feed their results to guards and hedging."""

import time
import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from bramleyport.answers import AttemptIds
from bramleyport.core import (
    AttemptId,
    Explanation,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.daemons._entry_attempt import (
    AttemptResult,
    Call,
    EntryAttempt,
    OnChunk,
)
from bramleyport.daemons._first_chunk import FirstChunk, run_until_deadline
from bramleyport.daemons._trace import note_attempt, note_decision
from bramleyport.estimate import Estimator, Observation
from bramleyport.retries import HedgePolicy, UpstreamGuard
from bramleyport.telemetry import (
    Event,
    Metrics,
    events,
    log_event,
    policy_events,
    routing_events,
)
from bramleyport.wire import End, Message

if TYPE_CHECKING:
    from bramleyport.daemons._peers import AgentLink
    from bramleyport.transport import Connection


FIRST_ERROR_STATUS: Final = 400


class DecisionReporter:
    """Log and count decisions."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def report(
        self, kind: str, event: Event, explanation: Explanation, **fields: object
    ) -> None:
        """Log a decision with its numbers and count it by reason."""
        reason = explanation.reason
        self._metrics.decisions.inc({"kind": kind, "reason": reason})
        note_decision(kind, explanation)
        log_event(event, reason=reason, **{**explanation.numbers, **fields})


class AttemptRunner:
    """Run attempts on agents."""

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
        self._attempt_ids = AttemptIds(uuid.uuid4().hex)
        self._attempts: dict[AttemptId, EntryAttempt] = {}

    def deliver(
        self, link: "AgentLink", connection: "Connection", message: Message
    ) -> None:
        """Hand a message to the attempt that it belongs to."""
        attempt = self._attempts.get(getattr(message, "attempt", AttemptId("")))
        if attempt is not None and attempt.link is link:
            attempt.deliver(connection, message)

    async def run(
        self, link: "AgentLink", work: Work, call: Call, on_chunk: OnChunk
    ) -> AttemptResult:
        """Run one attempt and feed its results back."""
        assert link.view is not None
        upstream = link.view.upstream
        attempt_id = self._attempt_ids.make()
        attempt = EntryAttempt(attempt_id, link, work, call)
        self._attempts[attempt_id] = attempt
        cached_tokens = _count_cached(link.view, work)
        link.count_sent(work)
        link.in_flight += 1
        self._guard.start(upstream)
        watch = FirstChunk(
            on_chunk, lambda latency_s: self._observe_first(upstream, work, latency_s)
        )
        finished = False
        try:
            result = await run_until_deadline(attempt, work, watch)
            finished = True
        finally:
            del self._attempts[attempt_id]
            if not finished:
                attempt.cancel()
                self._abandon(upstream, work, watch)
            self._on_end(link)
        if isinstance(result, Ok):
            self._observe(upstream, work, result.ok_value, cached_tokens)
        self._finish(attempt_id, upstream, work, result)
        return result

    def _observe(
        self, upstream: UpstreamId, work: Work, end: End, cached_tokens: int
    ) -> None:
        labels = {"service": work.service, "rank": work.rank.value}
        self._metrics.queue_wait_s.observe(labels, end.wait_s)
        if self._estimator is None or end.status >= FIRST_ERROR_STATUS:
            return
        observation = Observation(
            work=work,
            upstream=upstream,
            output_tokens=end.output_tokens,
            cached_tokens=cached_tokens,
            wait_s=end.wait_s,
            prefill_s=end.prefill_s,
            decode_s=end.decode_s,
        )
        self._estimator.observe(observation)
        log_event(
            policy_events.ATTEMPT_OBSERVED,
            request=work.request,
            peer=upstream,
            wait_s=end.wait_s,
            prefill_s=end.prefill_s,
            decode_s=end.decode_s,
            output_tokens=end.output_tokens,
        )

    def _observe_first(
        self, upstream: UpstreamId, work: Work, latency_s: float
    ) -> None:
        self._guard.observe_first(upstream, work, latency_s, time.monotonic())
        self._hedging.observe_first(work, latency_s)

    def _abandon(self, upstream: UpstreamId, work: Work, watch: FirstChunk) -> None:
        now_s = time.monotonic()
        silent_s = now_s - watch.sent_s if watch.latency_s is None else 0.0
        ejected = self._guard.abandon(upstream, work, silent_s, now_s)
        self._report_ejection(upstream, ejected)

    def _finish(
        self,
        attempt_id: AttemptId,
        upstream: UpstreamId,
        work: Work,
        result: AttemptResult,
    ) -> None:
        failure = result.err_value if isinstance(result, Err) else None
        outcome = failure.kind.value if failure is not None else "ok"
        self._metrics.attempts.inc({"result": outcome})
        note_attempt(upstream, failure)
        if failure is not None:
            log_event(
                events.ATTEMPT_FAILED,
                request=work.request,
                attempt=attempt_id,
                peer=upstream,
                reason=outcome,
                execution=failure.execution.value,
            )
        ejected = self._guard.finish(upstream, failure, time.monotonic())
        self._report_ejection(upstream, ejected)

    def _report_ejection(
        self, upstream: UpstreamId, ejected: Explanation | None
    ) -> None:
        if ejected is not None:
            self._reporter.report(
                "ejection", routing_events.UPSTREAM_EJECTED, ejected, upstream=upstream
            )


def _count_cached(view: UpstreamView, work: Work) -> int:
    return view.cached.count_cached(work.prefix_blocks) * view.block_tokens
