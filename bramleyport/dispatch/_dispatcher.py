"""Dispatch of requests: admission, routing, attempts and retries."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bramleyport.admission import AdmissionPolicy, Rejected
from bramleyport.core import (
    REFUSAL_STATUSES,
    CallRecord,
    ErrorCode,
    Execution,
    Explanation,
    ServeError,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.dispatch._attempt import (
    AttemptResult,
    Call,
    OnChunk,
)
from bramleyport.dispatch._attempt_runner import AttemptRunner, DecisionReporter
from bramleyport.dispatch._final_error import (
    make_final_error,
    make_unproven_refusal_error,
)
from bramleyport.dispatch._prefill_step import DEFAULT_LIMIT_RATIO, PrefillStep
from bramleyport.dispatch._race import StartAttempt, race_attempts
from bramleyport.dispatch._trace import record_decision
from bramleyport.estimate import Estimator
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
from bramleyport.routing import Route, RoutingPolicy, can_split, is_eligible
from bramleyport.telemetry import (
    Metrics,
    events,
    log_event,
    policy_events,
    routing_events,
)
from bramleyport.wire import Message

if TYPE_CHECKING:
    from bramleyport.links._agent_links import AgentLink, AgentLinks
    from bramleyport.transport import Connection
    from bramleyport.wire import End

NO_UPSTREAM_RETRY_S = 1.0
FIRST_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class Placement:
    """Describe where an attempt runs, and where it decodes if it is split."""

    link: "AgentLink"
    decode_link: "AgentLink | None" = None
    prefill_s: float = 0.0


class Dispatcher:
    """Run requests according to the policies for admission, routing and retries."""

    def __init__(
        self,
        admission: AdmissionPolicy,
        routing: RoutingPolicy,
        retries: RetryPolicy,
        metrics: Metrics,
        rng: Random,
        guard: UpstreamGuard | None = None,
        hedging: HedgePolicy | None = None,
        estimator: Estimator | None = None,
        prefill_limit_ratio: float = DEFAULT_LIMIT_RATIO,
    ) -> None:
        self.links: AgentLinks | None = None
        self._admission = admission
        self._routing = routing
        self._retries = retries
        self._metrics = metrics
        self._rng = rng
        self._guard = guard or UPSTREAM_GUARDS.create("none")
        self._hedging = hedging or HEDGE_POLICIES.create("none")
        self._reporter = DecisionReporter(metrics)
        self._runner = AttemptRunner(
            self._guard, self._hedging, metrics, self._release, estimator
        )
        self._prefill_step = PrefillStep(self._runner, metrics, prefill_limit_ratio)

    def deliver(
        self, link: "AgentLink", connection: "Connection", message: Message
    ) -> None:
        """Deliver a message to its attempt."""
        self._runner.deliver(link, connection, message)

    def admit(self, work: Work) -> ServeError | None:
        """Return the error that rejects a request, or None if it is admitted."""
        decision = self._admission.admit(
            work, self._list_eligible(work, set()), time.monotonic()
        )
        reason = decision.explanation.reason
        self._metrics.decisions.inc({"kind": "admission", "reason": reason})
        record_decision("admission", decision.explanation)
        rejected = isinstance(decision, Rejected)
        log_event(
            events.REQUEST_REJECTED if rejected else policy_events.REQUEST_ADMITTED,
            service=work.service,
            request=work.request,
            rank=work.rank.value,
            reason=reason,
            **decision.explanation.numbers,
        )
        if not isinstance(decision, Rejected):
            return None
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
        self,
        work: Work,
        call: Call,
        on_chunk: OnChunk,
        on_restart: Callable[[], None] | None = None,
    ) -> "Result[End, ServeError]":
        """Run an admitted request until it is answered or given up.

        With `on_restart`, chunks are buffered and not yet sent to the caller, so that
        an attempt that failed part way may be followed by another from the start.
        """
        self._retries.record_request(time.monotonic())
        tried: set[UpstreamId] = set()
        refused: set[UpstreamId] = set()
        record = CallRecord()
        failure: AttemptFailure | None = None
        attempts = 0
        while True:
            # Only the first attempt is split, so a request loses time to at most one
            # failed prefill.
            placement = self._choose(work, tried, refused, split=attempts == 0)
            if placement is None:
                return Err(self._explain_no_upstream(work, record, failure))
            attempts += 1
            result = await self._attempt(placement, work, call, on_chunk, tried, record)
            if isinstance(result, Ok):
                end = result.ok_value
                if end.status in REFUSAL_STATUSES and not work.idempotent:
                    return Err(make_unproven_refusal_error(end, record.execution))
                return Ok(end)
            # A refusal of the last attempt does not show that no earlier one has run.
            failure = replace(result.err_value, execution=record.execution)
            if on_restart is not None:
                on_restart()
                failure = replace(failure, frames_delivered=0)
            tried.add(failure.upstream)
            if failure.kind is FailureKind.REFUSED:
                refused.add(failure.upstream)
            decision = self._decide_retry(attempts, work, failure)
            if isinstance(decision, GiveUp):
                return Err(make_final_error(failure, decision, record.execution))

    def _decide_retry(
        self, attempts: int, work: Work, failure: AttemptFailure
    ) -> RetryNow | GiveUp:
        decision = self._retries.decide(attempts, work, failure, time.monotonic())
        denied = isinstance(decision, GiveUp)
        self._reporter.report(
            "retry",
            routing_events.RETRY_DENIED if denied else routing_events.RETRY_ALLOWED,
            decision.explanation,
            service=work.service,
            request=work.request,
            upstream=failure.upstream,
            failure=failure.kind.value,
        )
        return decision

    def _choose(
        self,
        work: Work,
        tried: set[UpstreamId],
        refused: set[UpstreamId],
        *,
        split: bool,
    ) -> "Placement | None":
        # If every upstream has been tried, those that refused are still left out, since
        # they would refuse again, but a broken connection may work again.
        views = self._list_eligible(work, tried) or self._list_eligible(work, refused)
        placement = self._route(work, views)
        if placement is None or split:
            return placement
        return Placement(placement.link)

    def _release(self, link: "AgentLink") -> None:
        assert self.links is not None
        self.links.release(link)

    def _route(self, work: Work, views: list[UpstreamView]) -> "Placement | None":
        assert self.links is not None
        now_s = time.monotonic()
        screened = self._guard.screen(views, now_s)
        reason = screened.explanation.reason
        self._metrics.decisions.inc({"kind": "screening", "reason": reason})
        route = self._routing.choose(work, screened.views, now_s, self._rng)
        if route is None:
            return None
        self._reporter.report(
            "routing",
            routing_events.UPSTREAM_CHOSEN,
            route.explanation,
            request=work.request,
            upstream=route.upstream,
            screening=reason,
            **screened.explanation.numbers,
        )
        link = self.links.find(route.upstream)
        if link is None:
            return None
        return Placement(
            link, self._find_decode_link(work, link, route), route.prefill_s
        )

    def _find_decode_link(
        self, work: Work, link: "AgentLink", route: Route
    ) -> "AgentLink | None":
        """Return the link to decode on if both agents can transfer the KV cache."""
        assert self.links is not None
        if route.decode_upstream is None or link.view is None:
            return None
        if not self._prefill_step.allows(route.upstream):
            return None
        decode_link = self.links.find(route.decode_upstream)
        if decode_link is None or decode_link.view is None:
            return None
        return decode_link if can_split(work, link.view, decode_link.view) else None

    def _list_eligible(self, work: Work, tried: set[UpstreamId]) -> list[UpstreamView]:
        assert self.links is not None
        return [
            view
            for view in self.links.list_views()
            if view.upstream not in tried and is_eligible(work, view)
        ]

    async def _attempt(
        self,
        placement: "Placement",
        work: Work,
        call: Call,
        on_chunk: OnChunk,
        tried: set[UpstreamId],
        record: CallRecord,
    ) -> AttemptResult:
        if placement.decode_link is None:
            return await self._attempt_hedged(
                placement.link, work, call, on_chunk, tried, record
            )
        prefilled = await self._prefill_step.prefill(
            placement.link, placement.decode_link, work, call, placement.prefill_s
        )
        if isinstance(prefilled, Err):
            return Err(prefilled.err_value)
        return await self._runner.run(
            placement.decode_link, work, call, on_chunk, record, prefilled.ok_value
        )

    async def _attempt_hedged(
        self,
        link: "AgentLink",
        work: Work,
        call: Call,
        on_chunk: OnChunk,
        tried: set[UpstreamId],
        record: CallRecord,
    ) -> AttemptResult:
        plan = self._hedging.plan(work, time.monotonic())
        if plan is None:
            return await self._runner.run(link, work, call, on_chunk, record)

        def find_second() -> StartAttempt | None:
            other = self._start_hedge(link, work, plan, tried)
            if other is None:
                return None
            return lambda forward: self._runner.run(other, work, call, forward, record)

        return await race_attempts(
            lambda forward: self._runner.run(link, work, call, forward, record),
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
            self._reporter.report(
                "hedge", routing_events.HEDGE_DENIED, denied, request=work.request
            )
            return None
        placement = self._route(work, views)
        other = placement.link if placement is not None else None
        if other is not None and other.view is not None:
            tried.update(used, {other.view.upstream})
            self._reporter.report(
                "hedge",
                routing_events.HEDGE_STARTED,
                plan.explanation,
                request=work.request,
                upstream=other.view.upstream,
            )
        return other

    def _explain_no_upstream(
        self, work: Work, record: CallRecord, failure: AttemptFailure | None
    ) -> ServeError:
        self._reporter.report(
            "routing",
            routing_events.NO_UPSTREAM,
            Explanation(reason="no_upstream"),
            request=work.request,
        )
        if failure is not None:
            retry_after_s = max(failure.retry_after_s, NO_UPSTREAM_RETRY_S)
            explanation = Explanation(reason="no_other_upstream")
            decision = GiveUp(explanation, failure.execution, retry_after_s)
            return make_final_error(failure, decision, record.execution)
        return ServeError(
            code=ErrorCode.NO_UPSTREAM,
            message="no upstream can take the request now",
            execution=record.execution,
            step="routing",
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )
