"""Decide whether calls are retried, before and after their attempts end."""

from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet import Choice, admit
from bramleyport.gateway._attempt_record import AttemptRecord, AttemptState
from bramleyport.gateway._attempt_timeout import INACTIVITY_TIMEOUT_S
from bramleyport.gateway._call_context import CallContext, ReservedRetry
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._outcome import AttemptEnd
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.telemetry import gateway_events, log_event

# Sends of one call, including those that upstreams declined without running it.
MAX_SENDS: Final = 3
# Attempts of one call that reach no upstream before the call is refused, for each
# upstream of its service, as many may crash together; and the least and most of them.
UNSENT_PER_UPSTREAM: Final = 2
MIN_UNSENT: Final = 6
MAX_UNSENT: Final = 24
# With less time to the deadline a further attempt is unlikely to be answered.
MIN_REMAINING_S: Final = 0.05


class RetryDecider:
    """Decide on retries within the bounds of the call and of its service."""

    def __init__(self, state: GatewayState, versions: VersionChooser) -> None:
        self._state = state
        self._versions = versions

    def decide(self, context: CallContext) -> Explanation:
        """Decide whether to retry a call; the reason is "retry" if so."""
        reason = self._find_obstacle(context) or "retry"
        # A retry of an attempt that never reached an upstream needs no retry budget.
        failure = context.last_failure
        is_repeat = failure is None or failure.end is not AttemptEnd.UNSENT
        if reason == "retry" and is_repeat and not self._take_repeat(context):
            reason = "budget_spent"
        budget = self._state.find_budget(context.call.service)
        usable = self._state.find_usable_repeats(read_now())
        numbers = {
            "sends": float(context.attempts.sends),
            "unsent": float(context.attempts.unsent),
            "runs": float(context.attempts.runs),
            "allowed": round(budget.allow(self._state.gateway_count, usable), 1),
            "left_s": round(context.remaining_s, 3),
        }
        return Explanation(reason=reason, numbers=numbers)

    def reserve(
        self,
        context: CallContext,
        upstream: UpstreamId,
        record: AttemptRecord,
        *,
        lost_runs: int,
    ) -> str | None:
        """Reserve the retry of a silent attempt; return why that is not possible.

        A call that has not run needs no retry to be ended: it can be refused.
        """
        if context.reserved_retry is not None:
            return None
        if record.state is AttemptState.UNSENT:
            return self._find_opening_obstacle(context, upstream)
        if not context.attempts.may_have_run:
            return None
        now_s = read_now()
        if self._is_busy(context, upstream, now_s):
            return "upstream_busy"
        obstacle = self._find_obstacle(context, lost_runs=lost_runs)
        if obstacle is not None:
            return obstacle
        budget = self._state.find_budget(context.call.service)
        usable = self._state.find_usable_repeats(now_s)
        if not budget.take(now_s, self._state.gateway_count, usable):
            return "budget_spent"
        choice = self._choose_alternative(context, upstream, now_s)
        if isinstance(choice, Rejected):
            budget.give_back(now_s)
            return choice.explanation.reason
        context.reserved_retry = ReservedRetry(taken_s=now_s, choice=choice)
        return None

    def _is_busy(
        self, context: CallContext, upstream: UpstreamId, now_s: float
    ) -> bool:
        """Return whether a plain upstream is heard of a service for which calls wait.

        A repeat would take capacity that other accounts ask for.
        """
        if context.engine or not self._state.waiting_calls[context.call.service]:
            return False
        last_received_s = self._state.last_received_s.get(upstream, 0.0)
        return now_s - last_received_s < INACTIVITY_TIMEOUT_S

    def _find_opening_obstacle(
        self, context: CallContext, upstream: UpstreamId
    ) -> str | None:
        """Return what forbids to give up an attempt whose connection still opens.

        Its retry is no repeat, but the connection may open before any other would.
        """
        obstacle = self._find_obstacle(context, lost_unsent=1)
        if obstacle is not None:
            return obstacle
        choice = self._choose_alternative(context, upstream, read_now())
        return choice.explanation.reason if isinstance(choice, Rejected) else None

    def release(self, context: CallContext) -> None:
        """Give back a reserved retry that is not needed."""
        reserved = context.reserved_retry
        if reserved is not None:
            context.reserved_retry = None
            budget = self._state.find_budget(context.call.service)
            budget.give_back(reserved.taken_s)

    def _take_repeat(self, context: CallContext) -> bool:
        reserved = context.reserved_retry
        if reserved is not None:
            context.reserved_retry = None
            context.reserved_choice = reserved.choice
            context.repeat_taken_s = reserved.taken_s
            return True
        budget = self._state.find_budget(context.call.service)
        now_s = read_now()
        usable = self._state.find_usable_repeats(now_s)
        if not budget.take(now_s, self._state.gateway_count, usable):
            return False
        context.repeat_taken_s = now_s
        return True

    def postpone(self, context: CallContext) -> None:
        """Count the repeat of a call that has waited when it is made."""
        if context.repeat_taken_s is None:
            return
        now_s = read_now()
        budget = self._state.find_budget(context.call.service)
        budget.postpone(context.repeat_taken_s, now_s)
        context.repeat_taken_s = now_s

    def _choose_alternative(
        self, context: CallContext, upstream: UpstreamId, now_s: float
    ) -> Choice | Rejected:
        """Choose another upstream that no rate limit keeps from taking the retry."""
        call = context.call
        excluded = self._state.list_avoided(call.service, now_s) | context.tried
        excluded |= self._state.list_limited(call.service) | {upstream}
        excluded |= self._state.list_paused(call.service, now_s)
        excluded |= self._versions.list_excluded(context)
        choice = self._state.chooser.choose(
            call,
            context.engine,
            excluded,
            now_s,
            may_split=not context.prefill_elapsed_s,
        )
        decision = admit(call, choice, now_s, tried=True)
        if choice is None or isinstance(decision, Rejected):
            assert isinstance(decision, Rejected)
            return decision
        return choice

    def _find_obstacle(
        self, context: CallContext, *, lost_runs: int = 0, lost_unsent: int = 0
    ) -> str | None:
        """Return what forbids a retry after so many more attempts are lost."""
        attempts = context.attempts
        route = context.call.route
        if context.remaining_s < MIN_REMAINING_S:
            return "deadline"
        if attempts.sends >= max(MAX_SENDS, route.max_attempts):
            return "sends_spent"
        if attempts.unsent + lost_unsent >= self._limit_unsent(context):
            return "unreachable"
        if not attempts.may_have_run:
            return None
        if not route.repeatability.may_repeat:
            return "not_repeatable"
        if attempts.runs + lost_runs >= route.max_attempts:
            return "attempts_spent"
        return None

    def _limit_unsent(self, context: CallContext) -> int:
        upstreams = len(self._state.members.list_ready(context.call.service))
        return min(MAX_UNSENT, max(MIN_UNSENT, UNSENT_PER_UPSTREAM * upstreams))


class AttemptRetry:
    """Represent the retry without which a silent attempt is not given up."""

    def __init__(
        self,
        retries: RetryDecider,
        context: CallContext,
        upstream: UpstreamId,
        record: AttemptRecord,
        *,
        lost_runs: int = 1,
    ) -> None:
        self._retries = retries
        self._context = context
        self._upstream = upstream
        self._record = record
        self._lost_runs = lost_runs
        self._logged = False

    def reserve(self) -> bool:
        """Reserve the retry, and return whether it is assured."""
        obstacle = self._retries.reserve(
            self._context, self._upstream, self._record, lost_runs=self._lost_runs
        )
        if obstacle is not None and not self._logged:
            self._logged = True
            log_event(
                gateway_events.SILENT_ATTEMPT_KEPT,
                request=self._context.call.request,
                upstream=self._upstream,
                reason=obstacle,
                left_s=round(self._context.remaining_s, 3),
            )
        return obstacle is None

    def release(self) -> None:
        """Give back the retry, since the attempt goes on."""
        self._retries.release(self._context)
