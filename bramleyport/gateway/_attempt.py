"""Choose upstreams, retries and final answers for plain and streamed calls."""

import asyncio
from http import HTTPStatus
from typing import Any, Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet import (
    Call,
    Choice,
    Registration,
    ServingGroup,
    Transfer,
    admit,
)
from bramleyport.gateway._attempt_record import InvalidTransitionError
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._metrics import CallMetrics
from bramleyport.gateway._outcome import AttemptEnd, FailedAttempt
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._rate_limits import OVER_LIMIT, Reservation
from bramleyport.gateway._reply import OwnStatus, refuse, relay_answer, reply
from bramleyport.gateway._retries import MIN_REMAINING_S, RetryDecider
from bramleyport.gateway._return_queue import ReturnQueue
from bramleyport.gateway._state import PAUSED, GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.gateway._work_tracker import WorkTracker
from bramleyport.telemetry import gateway_events, log_event

# A full upstream usually has capacity again after this time.
RETRY_WHEN_FULL_S: Final = 0.3
# Shortest wait for a permit, so that calls that wait for the same one do not poll.
MIN_PERMIT_WAIT_S: Final = 0.02
# Fraction of the time left that a call may wait for the end of a pause or for an
# upstream that will be back, which then has enough time to answer it.
WAIT_FRACTION: Final = 0.5
# Time after which a call that finds no upstream at hand is sent again by its caller.
AWAY_RETRY_S: Final = 1.0
# Why a call is refused whose upstreams are away, and may be back.
UPSTREAMS_AWAY: Final = "upstreams_away"
# Another upstream may take calls before the pause ends.
MAX_PAUSE_POLL_S: Final = 0.1


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
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.tracker = tracker
        self.metrics = metrics
        self.versions = versions
        self.processes = processes
        self.retries = RetryDecider(state, versions)
        self._returns = ReturnQueue(state)
        self.guard = guard

    async def place(self, context: CallContext) -> Choice | Rejected:
        """Choose an upstream, or return why none can answer in time.

        A call that may have run fails if it is not retried, so it waits for a permit if
        only rate limits keep it from being sent. Others are refused at once.
        """
        reserved = context.reserved_choice
        context.reserved_choice = None
        await self.guard.request_trial(context.call)
        while True:
            await self.versions.settle(context)
            decision = self._choose_now(context)
            if not isinstance(decision, Rejected):
                return decision
            if reserved is not None and self._can_use_reserved(context, reserved):
                return reserved
            wait_s = self._find_permit_wait(context, decision)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
            elif not await self._wait_for_return(context, decision):
                return decision

    async def _wait_for_return(self, context: CallContext, decision: Rejected) -> bool:
        """Wait for an upstream that is away; return whether one may be back."""
        if decision.explanation.reason != UPSTREAMS_AWAY:
            return False
        now_s = read_now()
        until_s = context.find_wait_end(WAIT_FRACTION)
        group = self.versions.find_group(context, now_s)
        due_s = group.find_due_s(now_s)
        if due_s is None or due_s >= until_s:
            return False
        if not context.was_held:
            context.was_held = True
            log_event(
                gateway_events.CALL_HELD,
                request=context.call.request,
                priority=context.call.route.priority,
                version=context.version or context.preferred_version or "",
                absent=len(group.absent),
                due_s=round(due_s - now_s, 3),
                left_s=round(context.remaining_s, 3),
            )
        scope = self.versions.find_scope(context)
        await self._returns.wait(scope, context.call, until_s)
        return True

    def _find_permit_wait(
        self, context: CallContext, decision: Rejected
    ) -> float | None:
        """Return how long a call waits for a permit; None if it does not wait."""
        reason = decision.explanation.reason
        if reason == PAUSED:
            wait_s = decision.retry_after_s
            if wait_s > WAIT_FRACTION * context.remaining_s:
                return None
            return min(MAX_PAUSE_POLL_S, max(MIN_PERMIT_WAIT_S, wait_s))
        if reason != OVER_LIMIT or not context.attempts.may_have_run:
            return None
        now_s = read_now()
        ready = self.versions.find_group(context, now_s).ready
        wait_s = self.state.rate_limiter.forecast_wait(ready, now_s)
        if wait_s + MIN_REMAINING_S > context.remaining_s:
            return None
        return max(MIN_PERMIT_WAIT_S, wait_s)

    def _can_use_reserved(self, context: CallContext, choice: Choice) -> bool:
        """Return whether the upstream of a reserved retry still takes calls."""
        if self.guard.find_refusal(context.call) is not None:
            return False
        service = context.call.service
        blocked = self.state.list_limited(service)
        blocked |= self.state.list_paused(service, read_now())
        blocked |= self.versions.list_excluded(context)
        ready = self.state.members.list_ready(service)
        return choice.upstream in ready and choice.upstream.upstream not in blocked

    def _choose_now(self, context: CallContext) -> Choice | Rejected:
        now_s = read_now()
        call = context.call
        context.is_trial = self.guard.take_trial(call)
        refusal = self.guard.find_refusal(call)
        if refusal is not None and not context.is_trial:
            return refusal
        group = self.versions.find_group(context, now_s)
        if context.tried:
            # The rank was considered when the call was accepted.
            blocked = self.state.list_exhausted(call.service, now_s)
        else:
            blocked = self.state.list_blocked(call, group, now_s)
        decision = self._decide(context, group, now_s, blocked=blocked)
        if isinstance(decision, Rejected):
            if context.is_trial:
                self.guard.return_trial(call)
            return decision
        self._take_permits(context, decision, now_s)
        return decision

    def _decide(
        self,
        context: CallContext,
        group: ServingGroup,
        now_s: float,
        *,
        blocked: set[UpstreamId],
    ) -> Choice | Rejected:
        """Choose among the upstreams that are not blocked, or return why not."""
        call = context.call
        if group.is_returning and call.route.repeatability.streams:
            return _refuse_away(group, now_s)
        excluded = blocked | self.versions.list_excluded(context)
        choice = self._choose_stepwise(context, group, excluded, now_s)
        if choice is None:
            absent = self.versions.find_obstacle(context, group)
            if absent is not None:
                return absent
            if blocked:
                return self.state.refuse_blocked(group, now_s)
        decision = admit(call, choice, now_s, tried=bool(context.tried))
        if isinstance(decision, Rejected):
            return decision
        assert choice is not None
        return choice

    def _take_permits(self, context: CallContext, choice: Choice, now_s: float) -> None:
        limiter = self.state.rate_limiter
        context.reservation = limiter.take_choice(context.call, choice, now_s)
        for target in (choice.upstream, choice.prefill):
            if target is not None:
                self.state.pauses.record_sent(target.upstream, now_s)

    def _choose_stepwise(
        self,
        context: CallContext,
        group: ServingGroup,
        excluded: set[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        """Choose an upstream, one that is avoided or was tried if there is no other."""
        service = context.call.service
        avoided = self.state.list_avoided(service, now_s) | excluded
        choice = self._choose(context, group, avoided | context.tried, now_s)
        if choice is None and context.tried:
            choice = self._choose(context, group, avoided, now_s)
        if choice is None:
            ejected = self.state.list_ejected(service, now_s, group.names)
            choice = self._choose(context, group, ejected | excluded, now_s)
        return choice

    def _choose(
        self,
        context: CallContext,
        group: ServingGroup,
        excluded: set[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        # At most one separate prefill per call: another one would count as a repeat.
        may_split = not context.prefill_elapsed_s and not context.is_trial
        if context.is_trial:
            excluded = excluded | self.state.list_busier(group)
        return self.state.chooser.choose(
            context.call,
            context.engine,
            excluded,
            now_s,
            may_split=may_split,
            limited=self.state.list_limited(context.call.service),
        )

    def choose_transfer(
        self, context: CallContext, prefill_engine: Registration
    ) -> Transfer | None:
        """Choose the engine that decodes a call after its prefill on another one."""
        refusal = self.guard.find_refusal(context.call)
        if context.engine is None or refusal is not None:
            return None
        now_s = read_now()
        call = context.call
        reservation = self._find_reservation(context, now_s)
        exhausted = self.state.list_exhausted(call.service, now_s)
        if reservation is not None:
            exhausted.discard(reservation.target.upstream)
        avoided = self.state.list_avoided(call.service, now_s) | context.tried
        exhausted |= self.versions.list_excluded(context)
        chooser = self.state.chooser
        # Fall back to engines that recently declined or failed a call.
        for excluded in (avoided | exhausted, exhausted):
            transfer = chooser.choose_transfer(
                call, context.engine, prefill_engine, excluded, now_s
            )
            if transfer is not None:
                break
        if transfer is not None:
            self._take_transfer(context, transfer.target, now_s)
        return transfer

    def _find_reservation(
        self, context: CallContext, now_s: float
    ) -> Reservation | None:
        """Return the permit that is kept for a call, or give back one kept too long."""
        if context.reservation is not None and now_s > context.reservation.until_s:
            self._give_back_permit(context, now_s)
        return context.reservation

    def _take_transfer(
        self, context: CallContext, target: Registration, now_s: float
    ) -> None:
        self.state.pauses.record_sent(target.upstream, now_s)
        reservation = context.reservation
        if reservation is not None and reservation.target.upstream == target.upstream:
            context.reservation = None
            return
        self._give_back_permit(context, now_s)
        self.state.rate_limiter.take(target, now_s)

    def _give_back_permit(self, context: CallContext, now_s: float) -> None:
        if context.reservation is not None:
            self.state.rate_limiter.give_back(context.reservation, now_s)
            context.reservation = None

    def record_failure(self, context: CallContext, failure: FailedAttempt) -> None:
        """Record a failed attempt."""
        context.last_failure = failure
        context.tried.add(failure.upstream)
        now_s = read_now()
        self._give_back_permit(context, now_s)
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


def _refuse_away(group: ServingGroup, now_s: float) -> Rejected:
    """Return the refusal of a call whose upstreams are all away."""
    due_s = group.find_due_s(now_s)
    wait_s = AWAY_RETRY_S if due_s is None else max(AWAY_RETRY_S, due_s - now_s)
    numbers = {"absent": float(len(group.absent))}
    return Rejected(Explanation(reason=UPSTREAMS_AWAY, numbers=numbers), wait_s)


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
