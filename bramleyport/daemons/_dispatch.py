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
    ServeError,
    UpstreamId,
    UpstreamView,
    Work,
)
from bramleyport.daemons._entry_attempt import Call, EntryAttempt, OnChunk
from bramleyport.estimate import Estimator, Observation
from bramleyport.retries import AttemptFailure, FailureKind, GiveUp, RetryPolicy
from bramleyport.routing import RoutingPolicy, is_eligible
from bramleyport.telemetry import Metrics, events, log_event, policy_events
from bramleyport.wire import Message

if TYPE_CHECKING:
    from bramleyport.daemons._peers import AgentLink, AgentLinks
    from bramleyport.transport import Connection
    from bramleyport.wire import End

NO_UPSTREAM_RETRY_S = 1.0
FIRST_ERROR_STATUS = 400


class Dispatcher:
    """Carry out the decisions for each request."""

    def __init__(
        self,
        admission: AdmissionPolicy,
        routing: RoutingPolicy,
        retries: RetryPolicy,
        metrics: Metrics,
        rng: Random,
        estimator: Estimator | None = None,
    ) -> None:
        self.links: AgentLinks | None = None
        self._admission = admission
        self._routing = routing
        self._retries = retries
        self._metrics = metrics
        self._rng = rng
        self._estimator = estimator
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
        rejected = isinstance(decision, Rejected)
        log_event(
            events.REQUEST_REJECTED if rejected else policy_events.REQUEST_ADMITTED,
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
        self, work: Work, call: Call, on_chunk: OnChunk
    ) -> "Result[End, ServeError]":
        """Run an admitted request until it is answered or given up."""
        self._retries.record_request(time.monotonic())
        tried: set[UpstreamId] = set()
        worst = Execution.NOT_RUN
        attempts = 0
        while True:
            link = self._choose(work, tried)
            if link is None:
                return Err(self._explain_no_upstream(worst))
            attempts += 1
            result = await self._attempt(link, work, call, on_chunk)
            if isinstance(result, Ok):
                return Ok(result.ok_value)
            failure = result.err_value
            tried.add(failure.upstream)
            if failure.execution is not Execution.NOT_RUN:
                worst = Execution.UNKNOWN
            decision = self._retries.next(attempts, work, failure, time.monotonic())
            if isinstance(decision, GiveUp):
                return Err(self._explain_give_up(work, failure, decision, worst))

    def _choose(self, work: Work, tried: set[UpstreamId]) -> "AgentLink | None":
        assert self.links is not None
        views = self._list_eligible(work, tried) or self._list_eligible(work, set())
        route = self._routing.choose(work, views, time.monotonic(), self._rng)
        if route is None:
            return None
        reason = route.explanation.reason
        self._metrics.decisions.inc({"kind": "routing", "reason": reason})
        return self.links.find(route.upstream)

    def _list_eligible(self, work: Work, tried: set[UpstreamId]) -> list[UpstreamView]:
        assert self.links is not None
        return [
            view
            for view in self.links.list_views()
            if view.upstream not in tried and is_eligible(work, view)
        ]

    async def _attempt(
        self, link: "AgentLink", work: Work, call: Call, on_chunk: OnChunk
    ) -> "Result[End, AttemptFailure]":
        attempt_id = AttemptId(uuid.uuid4().hex)
        attempt = EntryAttempt(attempt_id, link, work, call)
        self._attempts[attempt_id] = attempt
        cached_tokens = _count_cached(link.view, work)
        link.count_sent(work)
        finished = False
        try:
            result = await attempt.run(on_chunk)
            finished = True
        finally:
            del self._attempts[attempt_id]
            if not finished:
                attempt.cancel()
        outcome = "ok" if isinstance(result, Ok) else result.err_value.kind.value
        self._metrics.attempts.inc({"result": outcome})
        if isinstance(result, Ok):
            self._observe(link, work, result.ok_value, cached_tokens)
        if isinstance(result, Err):
            log_event(
                events.ATTEMPT_FAILED,
                request=work.request,
                attempt=attempt_id,
                peer=link.host.process,
                reason=outcome,
                execution=result.err_value.execution.value,
            )
        return result

    def _observe(
        self, link: "AgentLink", work: Work, end: "End", cached_tokens: int
    ) -> None:
        if self._estimator is None or link.view is None:
            return
        if end.status >= FIRST_ERROR_STATUS:
            return
        observation = Observation(
            work=work,
            upstream=link.view.upstream,
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
            peer=link.host.process,
            wait_s=end.wait_s,
            prefill_s=end.prefill_s,
            decode_s=end.decode_s,
            output_tokens=end.output_tokens,
        )

    def _explain_no_upstream(self, worst: Execution) -> ServeError:
        return ServeError(
            code=ErrorCode.NO_UPSTREAM,
            message="no upstream can take the request now",
            execution=worst,
            step="routing",
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )

    def _explain_give_up(
        self, work: Work, failure: AttemptFailure, decision: GiveUp, worst: Execution
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


def _count_cached(view: UpstreamView | None, work: Work) -> int:
    if view is None:
        return 0
    return view.cached.count_cached(work.prefix_blocks) * view.block_tokens
