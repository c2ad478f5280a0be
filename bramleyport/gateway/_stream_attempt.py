"""Send one attempt of a streamed call and relay its events."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.fleet import Choice, Registration, Repeatability, Transfer
from bramleyport.gateway._attempt import AttemptSupport
from bramleyport.gateway._attempt_record import AttemptRecord, AttemptState
from bramleyport.gateway._attempt_timeout import (
    FIRST_EVENT_SLACK_S,
    FORECAST_FACTOR,
    AttemptTimeout,
)
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import find_look_interval
from bramleyport.gateway._event_relay import BrokenStreamError, EventRelay
from bramleyport.gateway._exchange import OpenedExchange
from bramleyport.gateway._outcome import (
    FailedAttempt,
    make_declined,
    make_failed,
    make_failed_with,
)
from bramleyport.gateway._prefill import Prefiller, PrefillError, make_prefill_error
from bramleyport.gateway._reply import make_relayable
from bramleyport.gateway._retries import MIN_REMAINING_S, AttemptRetry
from bramleyport.gateway._writer_check import WriterCheck
from bramleyport.http1 import Answer, ExchangeError, HttpRequest
from bramleyport.platform import ForwardOptions, encode_forward_headers

# An attempt whose stream can resume at another upstream is given up after a pause of
# this many times the longest pause that meets the objective. That is well before the
# caller gives up.
PAUSE_FACTOR: Final = 4.0
MIN_PAUSE_S: Final = 0.6


@dataclass(slots=True)
class AttemptProgress:
    """Track how far the answer to one attempt has come."""

    # Events that the relay had from attempts before this one.
    events_before: int
    first_event_s: float | None = None

    def find_run(self, now_s: float) -> float | None:
        """Return the time since the first event, or None if there was none."""
        return None if self.first_event_s is None else now_s - self.first_event_s


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedCall:
    """Describe how a call is sent, after its separate prefill if there is one."""

    choice: Choice
    options: ForwardOptions
    # Time for which a KV cache is transferred over the link of the upstream.
    transfer_s: float


class StreamAttempts:
    """Decide how attempts of streamed calls are sent and when they have failed."""

    def __init__(self, support: AttemptSupport, prefiller: Prefiller) -> None:
        self._support = support
        self._prefiller = prefiller

    async def run(
        self, context: CallContext, choice: Choice, relay: EventRelay
    ) -> FailedAttempt | None:
        """Send a call; return how it failed, or None once its answer is complete."""
        try:
            prepared = await self._prepare(context, choice)
        except PrefillError as error:
            return error.attempt
        if relay.started or relay.last_event:
            prepared = self._resume_after(prepared, relay)
        done = False
        try:
            failure = await self._send(context, prepared, relay)
            done = failure is None
        finally:
            if choice.prefill is not None and not done:
                self._prefiller.free_handle(
                    choice.prefill, prepared.options.cache_handle
                )
        return failure

    async def _prepare(self, context: CallContext, choice: Choice) -> PreparedCall:
        """Return how the call is sent, after a separate prefill if one was chosen."""
        self._support.log_sent(context, choice)
        if choice.prefill is not None:
            return await self._prefill_separately(context, choice, choice.prefill)
        source = choice.prefix_source
        options = ForwardOptions(
            has_accounts=context.call.has_accounts,
            account=context.call.account_name,
            upstream=choice.upstream.upstream,
            remaining_time_s=context.remaining_s,
            priority=context.call.priority,
            prefix_address=source.address if source else None,
        )
        return PreparedCall(choice=choice, options=options, transfer_s=choice.fetch_s)

    async def _prefill_separately(
        self, context: CallContext, choice: Choice, prefill_engine: Registration
    ) -> PreparedCall:
        handle = await self._prefiller.run_prefill(context, choice)
        try:
            transfer = self._choose_transfer(context, choice, prefill_engine)
        except PrefillError:
            self._prefiller.free_handle(prefill_engine, handle)
            raise
        target = transfer.target
        options = ForwardOptions(
            has_accounts=context.call.has_accounts,
            account=context.call.account_name,
            upstream=target.upstream,
            remaining_time_s=context.remaining_s,
            priority=context.call.priority,
            cache_address=prefill_engine.address,
            cache_handle=handle,
        )
        chosen = replace(choice, upstream=target)
        return PreparedCall(
            choice=chosen, options=options, transfer_s=transfer.transfer_s
        )

    def _choose_transfer(
        self, context: CallContext, choice: Choice, prefill_engine: Registration
    ) -> Transfer:
        """Choose the engine that decodes; raise PrefillError if there is none in time.

        A call that is not sent any more can be refused, and one whose decode ends at
        the deadline may have run.
        """
        if context.remaining_s < MIN_REMAINING_S:
            reason = "no time left to decode the call"
            raise make_prefill_error(prefill_engine.upstream, reason)
        # The upstream that was chosen before the prefill may be draining by now.
        transfer = self._support.choose_transfer(context, prefill_engine)
        if transfer is None:
            reason = "no engine to decode the call"
            raise make_prefill_error(choice.upstream.upstream, reason)
        return transfer

    def _resume_after(self, prepared: PreparedCall, relay: EventRelay) -> PreparedCall:
        options = replace(prepared.options, last_event=relay.last_event)
        return replace(prepared, options=options)

    async def _send(
        self, context: CallContext, prepared: PreparedCall, relay: EventRelay
    ) -> FailedAttempt | None:
        record = context.attempts.begin()
        choice = prepared.choice
        prefilled_separately = choice.prefill is not None
        self._support.tracker.start(
            context.call,
            choice.upstream,
            prefill_s=0.0 if prefilled_separately else choice.prefill_s,
            prefill_cost=0.0 if prefilled_separately else choice.prefill_cost,
            transfer_s=prepared.transfer_s,
        )
        failure = await self._run_exchange(
            context, choice, prepared.options, relay, record
        )
        if failure is not None:
            record.record_end()
        return failure

    async def _run_exchange(
        self,
        context: CallContext,
        choice: Choice,
        options: ForwardOptions,
        relay: EventRelay,
        record: AttemptRecord,
    ) -> FailedAttempt | None:
        tracker = self._support.tracker
        upstream = choice.upstream.upstream
        progress = AttemptProgress(relay.events)
        check = self._make_check(context, choice)
        try:
            return await self._exchange(
                context, choice, options, relay, check, record, progress
            )
        except TimeoutError:
            if record.state is AttemptState.UNSENT:
                self._record_result(choice, failed=True)
            await check.settle()
            return make_failed(upstream, record, "no event in time")
        except BrokenStreamError as error:
            events = relay.events - progress.events_before
            await check.settle()
            await self._record_broken(context, choice, progress, answer_began=True)
            return make_failed(upstream, record, error, events=events)
        except ExchangeError as error:
            events = relay.events - progress.events_before
            if record.state is AttemptState.UNSENT:
                self._record_result(choice, failed=True)
            elif record.may_have_run:
                await check.settle()
                await self._record_broken(
                    context, choice, progress, answer_began=error.answer_began
                )
            return make_failed(upstream, record, error, events=events)
        finally:
            tracker.end(context.call, choice.upstream)

    def _make_check(self, context: CallContext, choice: Choice) -> WriterCheck:
        support = self._support
        return WriterCheck(
            support.state,
            support.processes,
            support.versions,
            context,
            choice.upstream,
        )

    async def _record_broken(
        self,
        context: CallContext,
        choice: Choice,
        progress: AttemptProgress,
        *,
        answer_began: bool,
    ) -> None:
        """Record an attempt that broke before its answer was complete."""
        await self._support.guard.record_broken(
            context.call,
            choice.upstream,
            answer_began=answer_began,
            ran_s=progress.find_run(read_now()),
        )

    async def _exchange(
        self,
        context: CallContext,
        choice: Choice,
        options: ForwardOptions,
        relay: EventRelay,
        check: WriterCheck,
        record: AttemptRecord,
        progress: AttemptProgress,
    ) -> FailedAttempt | None:
        request = context.request
        sent = HttpRequest(
            method=request.method,
            target=request.target,
            headers=encode_forward_headers(request.headers, options),
            body=request.body,
        )
        fresh = not context.call.route.repeatability.may_repeat
        async with (
            asyncio.timeout_at(context.call.deadline_s) as limit,
            self._limit_attempt_time(context, choice, limit, record) as attempt_timeout,
            self._support.exchanger.open(
                choice.upstream,
                sent,
                context.call.request,
                fresh=fresh,
                used_connections=context.used_connections,
                lost_s=context.lost_s,
                record=record,
            ) as opened,
        ):
            if not _is_stream(opened):
                return await self._classify_answer(context, choice, opened, record)
            if not await self._is_registered(context, choice, relay):
                raise BrokenStreamError("another process answers than is registered")
            if not (relay.started or relay.last_event):
                check.start(opened.connection)
            relay.begin_attempt(opened.answer)
            await self._relay_events(
                context, choice, opened, relay, attempt_timeout, check, progress
            )
        self._record_result(choice, failed=False)
        return None

    async def _is_registered(
        self, context: CallContext, choice: Choice, relay: EventRelay
    ) -> bool:
        """Return whether the version of the upstream is that of who answers."""
        if context.call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return True
        goes_on = relay.started or relay.last_event > 0
        processes = self._support.processes
        return await processes.is_registered(choice.upstream, goes_on=goes_on)

    async def _relay_events(
        self,
        context: CallContext,
        choice: Choice,
        opened: OpenedExchange,
        relay: EventRelay,
        attempt_timeout: AttemptTimeout,
        check: WriterCheck,
        progress: AttemptProgress,
    ) -> None:
        has_begun = False
        goes_on = relay.started or relay.last_event > 0
        connection = opened.connection
        next_look_s = 0.0
        while True:
            all_read = connection.all_read
            data = await connection.read_chunk()
            if data is None:
                break
            if all_read:
                self._check_writer(context, choice, goes_on=goes_on)
            try:
                new_events = relay.relay_events(data)
            finally:
                if relay.attempt_began and not has_begun:
                    has_begun = True
                    self._support.record_run(context.call, read_now())
            if relay.started:
                self._support.versions.record_begun(context, check.version)
            if new_events:
                now_s = read_now()
                if progress.first_event_s is None:
                    progress.first_event_s = now_s
                    self._record_first_event(context, choice)
                if now_s >= next_look_s:
                    guard = self._support.guard
                    guard.record_running(context.call, progress.first_event_s)
                    next_look_s = now_s + find_look_interval(context.call)
                self._support.state.record_received(choice.upstream.upstream, now_s)
                until_s = self._limit_pause(context, now_s)
                attempt_timeout.expect_next_data(until_s, context.call.deadline_s)
            await context.connection.drain()
        relay.finish()

    def _check_writer(
        self, context: CallContext, choice: Choice, *, goes_on: bool
    ) -> None:
        """Check which process wrote what has just arrived.

        If a later process has taken the place of the one that was meant, it wrote the
        whole answer: the connections of its predecessor have ended.
        """
        if context.call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return
        writer = self._support.state.find_successor(choice.upstream, read_now())
        if writer is None or writer.version == context.version:
            return
        if goes_on:
            raise BrokenStreamError("another process answers than was registered")
        self._support.versions.correct_begun(context, writer.upstream, writer.version)

    async def _classify_answer(
        self,
        context: CallContext,
        choice: Choice,
        opened: OpenedExchange,
        record: AttemptRecord,
    ) -> FailedAttempt:
        """Return how an attempt without a stream as its answer ended."""
        answer = opened.answer
        upstream = choice.upstream.upstream
        if opened.refusal is not None:
            return make_declined(upstream, opened.refusal)
        body = await opened.connection.read_body()
        complete = Answer(answer.status, answer.reason, answer.headers, body)
        if not opened.head.stamped or answer.status < 300:
            return make_failed(upstream, record, f"unusable answer {answer.status}")
        relayable = make_relayable(complete, context.call.route.repeatability)
        if relayable is None:
            reason = f"answered {answer.status}, but may have run"
            return make_failed(upstream, record, reason)
        return make_failed_with(upstream, relayable, answer.status)

    def _record_first_event(self, context: CallContext, choice: Choice) -> None:
        self._support.tracker.finish_prefill(context.call, choice.upstream)
        now_s = read_now()
        context.first_event_s = now_s - context.call.arrived_s

    @asynccontextmanager
    async def _limit_attempt_time(
        self,
        context: CallContext,
        choice: Choice,
        limit: asyncio.Timeout,
        record: AttemptRecord,
    ) -> AsyncIterator[AttemptTimeout]:
        """Limit the time of an attempt, first that to its first event."""
        upstream = choice.upstream.upstream
        retry = AttemptRetry(self._support.retries, context, upstream, record)
        attempt_timeout = AttemptTimeout(self._support.state, upstream, limit, retry)
        until_s = self._limit_first_event(context, choice, read_now())
        attempt_timeout.expect_first_event(until_s, context.call.deadline_s)
        try:
            yield attempt_timeout
        finally:
            attempt_timeout.stop()

    def _limit_first_event(
        self, context: CallContext, choice: Choice, now_s: float
    ) -> float:
        call = context.call
        if not self._can_resume(context):
            return call.deadline_s
        forecast_s = FORECAST_FACTOR * choice.forecast_s + FIRST_EVENT_SLACK_S
        return min(call.deadline_s, now_s + max(call.route.objective_s, forecast_s))

    def _limit_pause(self, context: CallContext, now_s: float) -> float:
        call = context.call
        if not self._can_resume(context):
            return call.deadline_s
        pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * call.route.max_pause_s)
        return min(call.deadline_s, now_s + pause_s)

    def _can_resume(self, context: CallContext) -> bool:
        route = context.call.route
        if route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return False
        return context.attempts.runs + 1 < route.max_attempts

    def _record_result(self, choice: Choice, *, failed: bool) -> None:
        now_s = read_now()
        self._support.state.record_result(
            choice.upstream.upstream, failed=failed, now_s=now_s
        )


def _is_stream(opened: OpenedExchange) -> bool:
    head = opened.head
    sound = head.stamped and not head.not_run and not head.encoded
    return sound and opened.answer.status == 200
