"""Run a request: admission, routing, attempts and retries."""

import time
import uuid
from random import Random
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bramleyport.admission import AdmissionPolicy, Rejected
from bramleyport.core import (
    AttemptId,
    ErrorCode,
    Execution,
    Explanation,
    ServeError,
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
from bramleyport.daemons._race import Start, race_attempts
from bramleyport.retries import (
    HEDGE_POLICIES,
    UPSTREAM_GUARDS,
    AttemptFailure,
    FailureKind,
    GiveUp,
    HedgePlan,
    HedgePolicy,
    RetryNow,
    RetryPolicy,
    UpstreamGuard,
)
from bramleyport.routing import RoutingPolicy, is_eligible
from bramleyport.telemetry import Event, Metrics, events, log_event, routing_events
from bramleyport.wire import Message

if TYPE_CHECKING:
    from bramleyport.daemons._peers import AgentLink, AgentLinks
    from bramleyport.transport import Connection
    from bramleyport.wire import End

NO_UPSTREAM_RETRY_S = 1.0


class Dispatcher:
    """Carry out the decisions for each request."""

    def __init__(
        self,
        admission: AdmissionPolicy,
        routing: RoutingPolicy,
        retries: RetryPolicy,
        metrics: Metrics,
        rng: Random,
        guard: UpstreamGuard | None = None,
        hedging: HedgePolicy | None = None,
    ) -> None:
        self._guard = guard or UPSTREAM_GUARDS.create("none")
        self._hedging = hedging or HEDGE_POLICIES.create("none")
        self.links: AgentLinks | None = None
        self._admission = admission
        self._routing = routing
        self._retries = retries
        self._metrics = metrics
        self._rng = rng
        self._attempts: dict[AttemptId, EntryAttempt] = {}

    def deliver(
        self, link: "AgentLink", connection: "Connection", message: Message
    ) -> None:
        """Hand a message to the attempt that it belongs to."""
        attempt = self._attempts.get(getattr(message, "attempt", AttemptId("")))
        if attempt is not None and attempt.link is link:
            attempt.deliver(connection, message)

    def admit(self, work: Work) -> ServeError | None:
        """Return why a request is rejected, or None to accept it."""
        decision = self._admission.admit(
            work, self._list_eligible(work, set()), time.monotonic()
        )
        reason = decision.explanation.reason
        self._metrics.decisions.inc({"kind": "admission", "reason": reason})
        if not isinstance(decision, Rejected):
            return None
        log_event(
            events.REQUEST_REJECTED,
            request=work.request,
            reason=reason,
            **decision.explanation.numbers,
        )
        code = (
            ErrorCode.NO_UPSTREAM if reason == "no_upstream" else ErrorCode.OVERLOADED
        )
        return ServeError(
            code=code,
            message=f"not accepted: {reason}",
            execution=Execution.NOT_RUN,
            step="admission",
            retry_after_s=decision.retry_after_s,
        )

    async def run(
        self, work: Work, call: Call, on_chunk: OnChunk
    ) -> "Result[End, ServeError]":
        """Run an admitted request until it is answered or given up."""
        self._retries.record_request(time.monotonic())
        tried: set[UpstreamId] = set()
        refused: set[UpstreamId] = set()
        worst = Execution.NOT_RUN
        failure: AttemptFailure | None = None
        attempts = 0
        while True:
            link = self._choose(work, tried, refused)
            if link is None:
                return Err(self._explain_no_upstream(work, worst, failure))
            attempts += 1
            result = await self._attempt_hedged(link, work, call, on_chunk, tried)
            if isinstance(result, Ok):
                return Ok(result.ok_value)
            failure = result.err_value
            tried.add(failure.upstream)
            if failure.kind is FailureKind.REFUSED:
                refused.add(failure.upstream)
            if failure.execution is not Execution.NOT_RUN:
                worst = Execution.UNKNOWN
            decision = self._decide_retry(attempts, work, failure)
            if isinstance(decision, GiveUp):
                return Err(self._explain_give_up(failure, decision, worst))

    def _decide_retry(
        self, attempts: int, work: Work, failure: AttemptFailure
    ) -> RetryNow | GiveUp:
        decision = self._retries.next(attempts, work, failure, time.monotonic())
        denied = isinstance(decision, GiveUp)
        self._report(
            "retry",
            routing_events.RETRY_DENIED if denied else routing_events.RETRY_ALLOWED,
            decision.explanation,
            request=work.request,
            upstream=failure.upstream,
            failure=failure.kind.value,
        )
        return decision

    def _choose(
        self, work: Work, tried: set[UpstreamId], refused: set[UpstreamId]
    ) -> "AgentLink | None":
        assert self.links is not None
        # An upstream that refused would refuse again; a broken connection may be back.
        views = self._list_eligible(work, tried) or self._list_eligible(work, refused)
        return self._route(work, views)

    def _route(self, work: Work, views: list[UpstreamView]) -> "AgentLink | None":
        assert self.links is not None
        now_s = time.monotonic()
        screened = self._guard.screen(views, now_s)
        reason = screened.explanation.reason
        self._metrics.decisions.inc({"kind": "screening", "reason": reason})
        route = self._routing.choose(work, screened.views, now_s, self._rng)
        if route is None:
            return None
        self._report(
            "routing",
            routing_events.UPSTREAM_CHOSEN,
            route.explanation,
            request=work.request,
            upstream=route.upstream,
            screening=reason,
            **screened.explanation.numbers,
        )
        return self.links.find(route.upstream)

    def _list_eligible(self, work: Work, tried: set[UpstreamId]) -> list[UpstreamView]:
        assert self.links is not None
        return [
            view
            for view in self.links.list_views()
            if view.upstream not in tried and is_eligible(work, view)
        ]

    async def _attempt_hedged(
        self,
        link: "AgentLink",
        work: Work,
        call: Call,
        on_chunk: OnChunk,
        tried: set[UpstreamId],
    ) -> AttemptResult:
        plan = self._hedging.plan(work, time.monotonic())
        if plan is None:
            return await self._attempt(link, work, call, on_chunk)

        def find_second() -> Start | None:
            other = self._start_hedge(link, work, plan, tried)
            if other is None:
                return None
            return lambda take: self._attempt(other, work, call, take)

        return await race_attempts(
            lambda take: self._attempt(link, work, call, take),
            find_second,
            plan.delay_s,
            on_chunk,
        )

    def _start_hedge(
        self, link: "AgentLink", work: Work, plan: HedgePlan, tried: set[UpstreamId]
    ) -> "AgentLink | None":
        assert link.view is not None
        used = {*tried, link.view.upstream}
        views = self._list_eligible(work, used)
        if not views:
            return None
        if not self._hedging.take(time.monotonic()):
            denied = Explanation(
                reason="budget_spent", numbers=plan.explanation.numbers
            )
            self._report(
                "hedge", routing_events.HEDGE_DENIED, denied, request=work.request
            )
            return None
        other = self._route(work, views)
        if other is not None and other.view is not None:
            tried.update(used, {other.view.upstream})
            self._report(
                "hedge",
                routing_events.HEDGE_STARTED,
                plan.explanation,
                request=work.request,
                upstream=other.view.upstream,
            )
        return other

    async def _attempt(
        self, link: "AgentLink", work: Work, call: Call, on_chunk: OnChunk
    ) -> AttemptResult:
        assert self.links is not None
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
            self.links.release(link)
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
            self._report(
                "ejection", routing_events.UPSTREAM_EJECTED, ejected, upstream=upstream
            )

    def _report(
        self, kind: str, event: Event, explanation: Explanation, **fields: object
    ) -> None:
        reason = explanation.reason
        self._metrics.decisions.inc({"kind": kind, "reason": reason})
        log_event(event, reason=reason, **{**explanation.numbers, **fields})

    def _explain_no_upstream(
        self, work: Work, worst: Execution, failure: AttemptFailure | None
    ) -> ServeError:
        self._report(
            "routing",
            routing_events.NO_UPSTREAM,
            Explanation(reason="no_upstream"),
            request=work.request,
        )
        if failure is not None:
            retry_after_s = max(failure.retry_after_s, NO_UPSTREAM_RETRY_S)
            explanation = Explanation(reason="no_other_upstream")
            decision = GiveUp(explanation, failure.execution, retry_after_s)
            return self._explain_give_up(failure, decision, worst)
        return ServeError(
            code=ErrorCode.NO_UPSTREAM,
            message="no upstream can take the request now",
            execution=worst,
            step="routing",
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )

    def _explain_give_up(
        self, failure: AttemptFailure, decision: GiveUp, worst: Execution
    ) -> ServeError:
        code = ErrorCode.UPSTREAM_FAILED
        if failure.kind is FailureKind.REFUSED:
            code = ErrorCode.OVERLOADED
        if decision.explanation.reason == "deadline":
            code = ErrorCode.DEADLINE
        return ServeError(
            code=code,
            message=f"{failure.kind.value}; {decision.explanation.reason}",
            execution=worst,
            step="attempt",
            peer=failure.upstream,
            retry_after_s=decision.retry_after_s,
        )
