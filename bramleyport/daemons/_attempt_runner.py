"""Run single attempts and feed their results to guards and hedging."""

import time
import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err

from bramleyport.core import AttemptId, Explanation, UpstreamId, Work
from bramleyport.daemons._entry_attempt import (
    AttemptResult,
    Call,
    EntryAttempt,
    OnChunk,
)
from bramleyport.daemons._first_chunk import FirstChunk, run_until_deadline
from bramleyport.retries import HedgePolicy, UpstreamGuard
from bramleyport.telemetry import Event, Metrics, events, log_event, routing_events
from bramleyport.wire import Message

if TYPE_CHECKING:
    from bramleyport.daemons._peers import AgentLink
    from bramleyport.transport import Connection


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
        log_event(event, reason=reason, **{**explanation.numbers, **fields})


class AttemptRunner:
    """Run attempts on agents."""

    def __init__(
        self,
        guard: UpstreamGuard,
        hedging: HedgePolicy,
        metrics: Metrics,
        on_end: "Callable[[AgentLink], None]",
    ) -> None:
        self._guard = guard
        self._hedging = hedging
        self._metrics = metrics
        self._reporter = DecisionReporter(metrics)
        self._on_end = on_end
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
        attempt_id = AttemptId(uuid.uuid4().hex)
        attempt = EntryAttempt(attempt_id, link, work, call)
        self._attempts[attempt_id] = attempt
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
        self._finish(attempt_id, upstream, work, result)
        return result

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
