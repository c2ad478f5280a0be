"""Serve calls whose answers are relayed as a whole."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.duties import RunTimes
from bramleyport.fleet import Call, Choice, RouteName
from bramleyport.gateway._attempt import AttemptSupport
from bramleyport.gateway._attempt_record import AttemptRecord, AttemptState
from bramleyport.gateway._attempt_timeout import AttemptTimeout
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import OpenedExchange
from bramleyport.gateway._outcome import (
    FailedAttempt,
    make_declined,
    make_failed,
    make_failed_with,
)
from bramleyport.gateway._reply import RelayableAnswer, make_relayable, relay_answer
from bramleyport.gateway._retries import AttemptRetry
from bramleyport.http1 import Answer, ExchangeError, HttpRequest
from bramleyport.platform import ForwardOptions, encode_forward_headers

# Fraction of the latency objective after which a repeatable call is tried elsewhere.
ATTEMPT_TIMEOUT_FRACTION: Final = 0.5
MIN_ATTEMPT_TIMEOUT_S: Final = 0.15
# The body of a refusal is not used, but one that ends soon lets the connection be kept.
REFUSAL_BODY_TIMEOUT_S: Final = 0.05


class PlainServer:
    """Decide the attempts and the answer of calls to plain services."""

    def __init__(self, support: AttemptSupport) -> None:
        self._support = support
        self._run_times: RunTimes[RouteName] = RunTimes()

    async def serve(self, context: CallContext) -> None:
        """Answer a call, and retry it where that is permitted."""
        try:
            async with asyncio.timeout_at(context.call.deadline_s):
                await self._serve(context)
        except TimeoutError:
            self._support.give_up(context, "deadline")
        finally:
            self._support.retries.release(context)

    async def _serve(self, context: CallContext) -> None:
        while True:
            choice = await self._support.place(context)
            if isinstance(choice, Rejected):
                if context.last_failure is None:
                    self._support.refuse(context, choice)
                else:
                    reason = choice.explanation.reason
                    self._support.give_up(context, reason, choice.retry_after_s)
                return
            result = await self._run_attempt(context, choice)
            if isinstance(result, RelayableAnswer):
                relay_answer(context.connection, result)
                self._support.log_answered(context, result.answer.status)
                return
            self._support.record_failure(context, result)
            decision = self._support.retries.decide(context)
            if decision.reason != "retry":
                self._support.give_up(context, decision.reason)
                return
            self._support.log_retry(context, decision)

    async def _run_attempt(
        self, context: CallContext, choice: Choice
    ) -> RelayableAnswer | FailedAttempt:
        support = self._support
        support.log_sent(context, choice)
        record = context.attempts.begin()
        support.tracker.start(context.call, choice.upstream)
        began_s = read_now()
        result = await self._run_exchange(context, choice, record)
        if isinstance(result, FailedAttempt):
            record.record_end()
        else:
            support.sharing.record_run(context.call, read_now() - began_s)
        return result

    async def _run_exchange(
        self, context: CallContext, choice: Choice, record: AttemptRecord
    ) -> RelayableAnswer | FailedAttempt:
        support = self._support
        upstream = choice.upstream.upstream
        sent_s = read_now()
        try:
            async with (
                asyncio.timeout(None) as limit,
                self._limit_attempt_time(context, choice, limit, record),
            ):
                return await self._exchange(context, choice, record)
        except TimeoutError:
            if record.state is AttemptState.UNSENT:
                self._record_unreachable(choice)
            return make_failed(upstream, record, "no answer in time")
        except ExchangeError as error:
            if record.state is AttemptState.UNSENT:
                self._record_unreachable(choice)
            elif record.may_have_run:
                await support.guard.record_broken(
                    context.call, choice.upstream, answer_began=error.answer_began
                )
            return make_failed(upstream, record, error)
        finally:
            support.tracker.end(context.call, choice.upstream)
            self._record_run(context.call, record, sent_s)

    def _record_run(self, call: Call, record: AttemptRecord, sent_s: float) -> None:
        """Record a run for the usage, unless nothing was sent or it was refused.

        Upstreams begin most calls at once, so one whose answer was lost has run in all
        likelihood.
        """
        if not record.may_have_run or self._support.state.on_run is None:
            return
        began_s = self._run_times.estimate_begin(call.route.name, sent_s, read_now())
        self._support.record_run(call, began_s)

    async def _exchange(
        self, context: CallContext, choice: Choice, record: AttemptRecord
    ) -> RelayableAnswer | FailedAttempt:
        request = context.request
        target = choice.upstream
        began_s = read_now()
        options = ForwardOptions(
            has_accounts=context.call.has_accounts,
            account=context.call.account_name,
            upstream=target.upstream,
            remaining_time_s=context.remaining_s,
        )
        sent = HttpRequest(
            method=request.method,
            target=request.target,
            headers=encode_forward_headers(request.headers, options),
            body=request.body,
        )
        fresh = not context.call.route.repeatability.may_repeat
        async with self._support.exchanger.open(
            target,
            sent,
            context.call.request,
            fresh=fresh,
            used_connections=context.used_connections,
            lost_s=context.lost_s,
            record=record,
        ) as opened:
            limit_s = None if opened.refusal is None else REFUSAL_BODY_TIMEOUT_S
            async with asyncio.timeout(limit_s):
                body = await opened.connection.read_body()
            if opened.refusal is None:
                self._run_times.record(context.call.route.name, read_now() - began_s)
            answer = opened.answer
            complete = Answer(answer.status, answer.reason, answer.headers, body)
        return self._classify_answer(context, choice, complete, opened, record)

    def _classify_answer(
        self,
        context: CallContext,
        choice: Choice,
        answer: Answer,
        opened: OpenedExchange,
        record: AttemptRecord,
    ) -> RelayableAnswer | FailedAttempt:
        upstream = choice.upstream.upstream
        if opened.refusal is not None:
            return make_declined(upstream, opened.refusal)
        if not opened.head.stamped or opened.head.encoded:
            return make_failed(upstream, record, f"unusable answer {answer.status}")
        repeatability = context.call.route.repeatability
        relayable = make_relayable(answer, repeatability)
        if relayable is None:
            reason = f"answered {answer.status}, but may have run"
            return make_failed(upstream, record, reason)
        if answer.status >= 500 and repeatability.may_repeat:
            return make_failed_with(upstream, relayable, answer.status)
        now_s = read_now()
        failed = answer.status >= 500
        if not failed:
            self._support.guard.record_answered(context.call, now_s)
        self._support.state.record_result(upstream, failed=failed, now_s=now_s)
        return relayable

    def _record_unreachable(self, choice: Choice) -> None:
        now_s = read_now()
        upstream = choice.upstream.upstream
        self._support.state.record_result(upstream, failed=True, now_s=now_s)

    @asynccontextmanager
    async def _limit_attempt_time(
        self,
        context: CallContext,
        choice: Choice,
        limit: asyncio.Timeout,
        record: AttemptRecord,
    ) -> AsyncIterator[None]:
        """Limit the time of an attempt while its call may be retried."""
        upstream = choice.upstream.upstream
        retry = AttemptRetry(self._support.retries, context, upstream, record)
        attempt_timeout = AttemptTimeout(self._support.state, upstream, limit, retry)
        route = context.call.route
        may_retry = context.attempts.runs + 1 < route.max_attempts
        if route.repeatability.may_repeat and may_retry:
            limit_s = ATTEMPT_TIMEOUT_FRACTION * route.objective_s
            until_s = read_now() + max(MIN_ATTEMPT_TIMEOUT_S, limit_s)
            # The deadline ends the call as a whole: it is no failure of the upstream.
            attempt_timeout.expect_next_data(until_s, None)
        try:
            yield
        finally:
            attempt_timeout.stop()
