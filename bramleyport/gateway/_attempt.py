"""Record attempts and send final answers of plain and streamed calls."""

from http import HTTPStatus
from typing import Any, Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation
from bramleyport.fleet import (
    Call,
    Choice,
    Registration,
    Transfer,
)
from bramleyport.gateway._attempt_record import InvalidTransitionError
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._metrics import CallMetrics
from bramleyport.gateway._outcome import AttemptEnd, FailedAttempt
from bramleyport.gateway._placement import Placement
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._reply import (
    UNKNOWN_KEY,
    OwnStatus,
    refuse,
    relay_answer,
    reply,
    reply_unknown_key,
)
from bramleyport.gateway._retries import RetryDecider
from bramleyport.gateway._sharing_queue import SharingQueue
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.gateway._work_tracker import WorkTracker
from bramleyport.telemetry import gateway_events, log_event

# A full upstream usually has capacity again after this time.
RETRY_WHEN_FULL_S: Final = 0.3


class AttemptSupport:
    """Decide on the upstreams, retries and final answers of calls."""

    def __init__(
        self,
        state: GatewayState,
        exchanger: Exchanger,
        tracker: WorkTracker,
        metrics: CallMetrics,
        guard: CrashGuard,
        versions: VersionChooser,
        processes: ProcessChecker,
        sharing: SharingQueue,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.tracker = tracker
        self.metrics = metrics
        self.versions = versions
        self.processes = processes
        self.retries = RetryDecider(state, versions)
        self.guard = guard
        self.sharing = sharing
        self._placement = Placement(
            state, guard, versions, processes, self.retries, sharing
        )

    async def place(self, context: CallContext) -> Choice | Rejected:
        """Choose an upstream, or return why none can answer in time."""
        return await self._placement.place(context)

    def choose_transfer(
        self, context: CallContext, prefill_engine: Registration
    ) -> Transfer | None:
        """Choose the engine that decodes a call after its prefill on another one."""
        return self._placement.choose_transfer(context, prefill_engine)

    def record_run(self, call: Call, began_s: float) -> None:
        """Record that an upstream began to run a call, for the usage of its account."""
        if self.state.on_run is not None and call.account_name is not None:
            self.state.on_run(call.account_name, began_s)

    def record_failure(self, context: CallContext, failure: FailedAttempt) -> None:
        """Record a failed attempt."""
        context.last_failure = failure
        context.tried.add(failure.upstream)
        now_s = read_now()
        self._placement.give_back_permit(context, now_s)
        self.metrics.count_attempt(failure.end.value)
        if failure.end is AttemptEnd.UNSENT:
            event = gateway_events.ATTEMPT_NOT_RUN
            self._record_unsent(context, failure, now_s)
        elif failure.end is AttemptEnd.NOT_RUN:
            event = gateway_events.ATTEMPT_NOT_RUN
            self._record_declined(failure, now_s)
        else:
            event = gateway_events.ATTEMPT_LOST
            context.lost_s = now_s
            self.state.record_result(failure.upstream, failed=True, now_s=now_s)
        log_event(
            event,
            request=context.call.request,
            upstream=failure.upstream,
            end=failure.end.value,
            reason=failure.reason,
            **_describe_refusal(failure),
            events=failure.events,
            parts=_list_shared_parts(context.call),
            identity=_describe_identity(context.call, failure),
            left_s=round(context.remaining_s, 3),
        )

    def _record_unsent(
        self, context: CallContext, failure: FailedAttempt, now_s: float
    ) -> None:
        context.attempts.unsent += 1
        self._record_declined(failure, now_s)

    def _record_declined(self, failure: FailedAttempt, now_s: float) -> None:
        self.state.record_declined(failure.upstream, now_s)
        if failure.refused:
            self.tracker.report_refused(failure.upstream)
            self.guard.record_refused(failure.upstream)

    def give_up(
        self,
        context: CallContext,
        reason: str,
        retry_after_s: float = RETRY_WHEN_FULL_S,
    ) -> None:
        """Send the final answer to a call whose attempts have failed."""
        failure = context.last_failure
        call = context.call
        if failure is not None and failure.answer is not None:
            relay_answer(context.connection, failure.answer)
            self._log_failed(context, reason, failure.answer.answer.status)
            return
        if context.attempts.may_have_run:
            late = context.remaining_s <= 0
            if late:
                status: OwnStatus = HTTPStatus.GATEWAY_TIMEOUT
            else:
                status = HTTPStatus.BAD_GATEWAY
            reply(context.connection, status, call.request, reason)
            self._log_failed(context, reason, status.value)
            return
        self.refuse(context, Rejected(Explanation(reason=reason), retry_after_s))

    def refuse(self, context: CallContext, decision: Rejected) -> None:
        """Refuse a call that has not run, and tell the caller when to retry."""
        request = context.call.request
        reason = decision.explanation.reason
        if reason == UNKNOWN_KEY:
            self._refuse_key(context)
            return
        retry_after_s = decision.retry_after_s
        proof = context.attempts.close_unless_run()
        if proof is None:
            raise InvalidTransitionError(f"{reason}, but the call may have run")
        refuse(context.connection, proof, request, reason, retry_after_s)
        self.metrics.count_refusal(reason)
        self._count_result(context, "refused")
        log_event(
            gateway_events.CALL_REFUSED,
            request=request,
            route=context.call.route.name,
            reason=reason,
            retry_after_s=round(retry_after_s, 2),
            sends=context.attempts.sends,
            unsent=context.attempts.unsent,
            basis=proof.basis.value,
            **decision.explanation.numbers,
        )

    def _refuse_key(self, context: CallContext) -> None:
        """Answer a call whose key was taken away while it waited."""
        call = context.call
        context.attempts.close()
        reply_unknown_key(context.connection, call.request)
        self.metrics.count_refusal(UNKNOWN_KEY)
        self._count_result(context, "refused")
        log_event(
            gateway_events.KEY_REFUSED,
            request=call.request,
            route=call.route.name,
            has_key=call.key is not None,
        )

    def log_retry(self, context: CallContext, decision: Explanation) -> None:
        """Log the retry of a call."""
        log_event(
            gateway_events.CALL_RETRIED,
            request=context.call.request,
            **decision.numbers,
        )

    def log_sent(self, context: CallContext, choice: Choice) -> None:
        """Log where a call is sent and why."""
        log_event(
            gateway_events.CALL_SENT,
            request=context.call.request,
            route=context.call.route.name,
            upstream=choice.upstream.upstream,
            version=choice.upstream.version,
            version_source=context.version_source.value,
            origin=context.call.origin or "",
            prefill=choice.prefill.upstream if choice.prefill else "",
            reason=choice.explanation.reason,
            left_s=round(context.remaining_s, 3),
            tokens_out=context.call.prompt.tokens_out if context.call.prompt else 0,
            **choice.explanation.numbers,
            **self._describe_limit(choice),
        )

    def _describe_limit(self, choice: Choice) -> dict[str, Any]:
        """Return the limit that a choice uses, that of the last upstream first."""
        for target in (choice.upstream, choice.prefill):
            figures = target and self.state.rate_limiter.describe(target, read_now())
            if target and figures:
                return {"limited": target.upstream, **figures}
        return {}

    def log_answered(self, context: CallContext, status: int) -> None:
        """Log and count a call that an upstream has answered."""
        now_s = read_now()
        self._count_result(context, "answered")
        if context.first_event_s:
            self.metrics.observe_first_event(context.call, context.first_event_s)
        log_event(
            gateway_events.CALL_ANSWERED,
            request=context.call.request,
            status=status,
            took_s=round(now_s - context.call.arrived_s, 3),
            first_event_s=round(context.first_event_s, 3),
            prefill_s=round(context.prefill_elapsed_s, 3),
            sends=context.attempts.sends,
        )

    def _count_result(self, context: CallContext, result: str) -> None:
        now_s = read_now()
        elapsed_s = now_s - context.call.arrived_s
        self.metrics.count_result(context.call, result, elapsed_s)

    def _log_failed(self, context: CallContext, reason: str, status: int) -> None:
        self._count_result(context, "failed")
        log_event(
            gateway_events.CALL_FAILED,
            request=context.call.request,
            route=context.call.route.name,
            reason=reason,
            status=status,
            sends=context.attempts.sends,
            runs=context.attempts.runs,
        )


def _list_shared_parts(call: Call) -> list[str]:
    """Return the parts of a prompt that other calls may have, too."""
    return [part.prefix for part in call.prompt.parts[:-1]] if call.prompt else []


def _describe_refusal(failure: FailedAttempt) -> dict[str, Any]:
    """Return on what it rests that an attempt counts as not run."""
    if failure.refusal is None:
        return {}
    refusal = failure.refusal
    return {"named": refusal.named, "exchanges": refusal.exchanges}


def _describe_identity(call: Call, failure: FailedAttempt) -> str:
    """Return what repeats of a request that was lost have in common."""
    if call.identity is None or failure.end is not AttemptEnd.LOST:
        return ""
    return call.identity.trait
