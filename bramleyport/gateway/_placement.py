"""Choose the upstreams of calls, and hold calls until one can be chosen."""

import asyncio
from typing import Final

from result import Err

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet import (
    Choice,
    Registration,
    ServingGroup,
    Transfer,
    admit,
    may_still_run,
    renew_account,
)
from bramleyport.gateway._call_context import WAIT_FRACTION, CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._rate_limits import OVER_LIMIT, Reservation
from bramleyport.gateway._reply import UNKNOWN_KEY
from bramleyport.gateway._retries import MIN_REMAINING_S, RetryDecider
from bramleyport.gateway._return_queue import ReturnQueue
from bramleyport.gateway._sharing_queue import SharingQueue
from bramleyport.gateway._state import PAUSED, GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.telemetry import gateway_events, log_event

# Shortest wait for a permit, so that calls that wait for the same one do not poll.
MIN_PERMIT_WAIT_S: Final = 0.02
# Time after which a call that finds no upstream at hand is sent again by its caller.
AWAY_RETRY_S: Final = 1.0
# Why a call is refused whose upstreams are away, and may be back.
UPSTREAMS_AWAY: Final = "upstreams_away"
# Other shares may give a stream that has not begun a version that serves.
SHARES_POLL_S: Final = 0.2
# Another upstream may take calls before the pause ends.
MAX_PAUSE_POLL_S: Final = 0.1


class Placement:
    """Decide to which upstream a call is sent, or why to none."""

    def __init__(
        self,
        state: GatewayState,
        guard: CrashGuard,
        versions: VersionChooser,
        processes: ProcessChecker,
        retries: RetryDecider,
        sharing: SharingQueue,
    ) -> None:
        self._state = state
        self._guard = guard
        self._versions = versions
        self._retries = retries
        self._sharing = sharing
        self._returns = ReturnQueue(state, processes)

    async def place(self, context: CallContext) -> Choice | Rejected:
        """Choose an upstream, or return why none can answer in time.

        A call that may have run fails if it is not retried, so it waits for a permit if
        only rate limits keep it from being sent. Others are refused at once.
        """
        reserved = context.reserved_choice
        context.reserved_choice = None
        await self._guard.request_trial(context.call)
        while True:
            await self._versions.settle(context)
            if not self._renew_account(context):
                return _refuse_key()
            refusal = await self._sharing.enter(context)
            if not self._may_still_run(context):
                # Its key was taken away meanwhile, or names another account.
                continue
            if refusal is not None:
                return refusal
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

    def _may_still_run(self, context: CallContext) -> bool:
        configuration = self._state.configuration
        return configuration is None or may_still_run(configuration, context.call)

    def _renew_account(self, context: CallContext) -> bool:
        """Return whether a call may run, under the account that its key names now."""
        if self._may_still_run(context):
            return True
        configuration = self._state.configuration
        assert configuration is not None
        renewed = renew_account(configuration, context.call)
        if isinstance(renewed, Err):
            return False
        context.call = renewed.ok_value
        return True

    async def _wait_for_return(self, context: CallContext, decision: Rejected) -> bool:
        """Wait for an upstream that is away; return whether one may be back."""
        if decision.explanation.reason != UPSTREAMS_AWAY:
            return False
        now_s = read_now()
        until_s = context.find_wait_end()
        # The call begins a stream that may be resumed, at a version that may change.
        begins = context.version is None and context.preferred_version is not None
        if begins and now_s < context.find_change_time():
            until_s = context.find_change_time()
        group = self._versions.find_group(context, now_s)
        due_s = group.find_due_s(now_s)
        if due_s is None or due_s >= until_s:
            return False
        if not context.was_held:
            context.was_held = True
            log_event(
                gateway_events.CALL_HELD,
                request=context.call.request,
                priority=context.call.priority,
                version=context.version or context.preferred_version or "",
                absent=len(group.absent),
                due_s=round(due_s - now_s, 3),
                left_s=round(context.remaining_s, 3),
            )
        scope = self._versions.find_scope(context)
        if begins:
            until_s = min(until_s, now_s + SHARES_POLL_S)
        await self._returns.wait(scope, context.call, until_s)
        self._retries.postpone(context)
        # Connections that are idle now may be of processes that have ended.
        context.lost_s = read_now()
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
        ready = self._versions.find_group(context, now_s).ready
        wait_s = self._state.rate_limiter.forecast_wait(ready, now_s)
        if wait_s + MIN_REMAINING_S > context.remaining_s:
            return None
        return max(MIN_PERMIT_WAIT_S, wait_s)

    def _can_use_reserved(self, context: CallContext, choice: Choice) -> bool:
        """Return whether the upstream of a reserved retry still takes calls."""
        if self._guard.find_refusal(context.call) is not None:
            return False
        service = context.call.service
        blocked = self._state.list_limited(service)
        blocked |= self._state.list_paused(service, read_now())
        blocked |= self._versions.list_excluded(context)
        ready = self._state.members.list_ready(service)
        return choice.upstream in ready and choice.upstream.upstream not in blocked

    def _choose_now(self, context: CallContext) -> Choice | Rejected:
        now_s = read_now()
        call = context.call
        context.is_trial = self._guard.take_trial(call)
        refusal = self._guard.find_refusal(call)
        if refusal is not None and not context.is_trial:
            return refusal
        group = self._versions.find_group(context, now_s)
        if context.tried:
            # The rank was considered when the call was accepted.
            blocked = self._state.list_exhausted(call.service, now_s)
        else:
            blocked = self._state.list_blocked(call, group, now_s)
        decision = self._decide(context, group, now_s, blocked=blocked)
        if isinstance(decision, Rejected):
            if context.is_trial:
                self._guard.return_trial(call)
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
        excluded = blocked | self._versions.list_excluded(context)
        choice = self._choose_stepwise(context, group, excluded, now_s)
        if choice is None:
            absent = self._versions.find_obstacle(context, group)
            if absent is not None:
                return absent
            if blocked:
                return self._state.refuse_blocked(group, now_s)
        decision = admit(call, choice, now_s, tried=bool(context.tried))
        if isinstance(decision, Rejected):
            return decision
        assert choice is not None
        return choice

    def _take_permits(self, context: CallContext, choice: Choice, now_s: float) -> None:
        limiter = self._state.rate_limiter
        context.reservation = limiter.take_choice(context.call, choice, now_s)
        for target in (choice.upstream, choice.prefill):
            if target is not None:
                self._state.pauses.record_sent(target.upstream, now_s)

    def _choose_stepwise(
        self,
        context: CallContext,
        group: ServingGroup,
        excluded: set[UpstreamId],
        now_s: float,
    ) -> Choice | None:
        """Choose an upstream, one that is avoided or was tried if there is no other."""
        service = context.call.service
        avoided = self._state.list_avoided(service, now_s) | excluded
        choice = self._choose(context, group, avoided | context.tried, now_s)
        if choice is None and context.tried:
            choice = self._choose(context, group, avoided, now_s)
        if choice is None:
            ejected = self._state.list_ejected(service, now_s, group.names)
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
            excluded = excluded | self._state.list_busier(group)
        return self._state.chooser.choose(
            context.call,
            context.engine,
            excluded,
            now_s,
            may_split=may_split,
            limited=self._state.list_limited(context.call.service),
        )

    def choose_transfer(
        self, context: CallContext, prefill_engine: Registration
    ) -> Transfer | None:
        """Choose the engine that decodes a call after its prefill on another one."""
        refusal = self._guard.find_refusal(context.call)
        if context.engine is None or refusal is not None:
            return None
        if not self._may_still_run(context):
            return None
        now_s = read_now()
        call = context.call
        reservation = self._find_reservation(context, now_s)
        exhausted = self._state.list_exhausted(call.service, now_s)
        if reservation is not None:
            exhausted.discard(reservation.target.upstream)
        avoided = self._state.list_avoided(call.service, now_s) | context.tried
        exhausted |= self._versions.list_excluded(context)
        chooser = self._state.chooser
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
            self.give_back_permit(context, now_s)
        return context.reservation

    def _take_transfer(
        self, context: CallContext, target: Registration, now_s: float
    ) -> None:
        self._state.pauses.record_sent(target.upstream, now_s)
        reservation = context.reservation
        if reservation is not None and reservation.target.upstream == target.upstream:
            context.reservation = None
            return
        self.give_back_permit(context, now_s)
        self._state.rate_limiter.take(target, now_s)

    def give_back_permit(self, context: CallContext, now_s: float) -> None:
        """Give back the permit that is kept for the decode of a call."""
        if context.reservation is not None:
            self._state.rate_limiter.give_back(context.reservation, now_s)
            context.reservation = None


def _refuse_key() -> Rejected:
    return Rejected(Explanation(reason=UNKNOWN_KEY), 0.0)


def _refuse_away(group: ServingGroup, now_s: float) -> Rejected:
    """Return the refusal of a call whose upstreams are all away."""
    due_s = group.find_due_s(now_s)
    wait_s = AWAY_RETRY_S if due_s is None else max(AWAY_RETRY_S, due_s - now_s)
    numbers = {"absent": float(len(group.absent))}
    return Rejected(Explanation(reason=UPSTREAMS_AWAY, numbers=numbers), wait_s)
