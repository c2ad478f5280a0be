"""Send one attempt of a stream and pass its events on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.fleet import Choice, Registration, Repeatability
from bramleyport.gateway._attempt import AttemptSupport, CallContext
from bramleyport.gateway._attempt_timeout import (
    FIRST_EVENT_SLACK_S,
    FORECAST_FACTOR,
    AttemptTimeout,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._events import BrokenStreamError, EventRelay
from bramleyport.gateway._exchange import Opened
from bramleyport.gateway._outcome import AttemptEnd, FailedAttempt, make_unsent
from bramleyport.gateway._prefill import Prefiller, PrefillError, refuse_prefill
from bramleyport.http1 import Answer, ExchangeError, HttpRequest
from bramleyport.platform import Delivery, encode_delivery

# A stream that can go on elsewhere is given up after a pause of this many times the
# longest one that is in time, and well before its caller gives up.
PAUSE_FACTOR: Final = 4.0
MIN_PAUSE_S: Final = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepared:
    """Hold how a call is sent once its prompt was read, if it is read apart."""

    choice: Choice
    delivery: Delivery
    # Time for which a KV cache comes over the link of the upstream.
    transfer_s: float


class StreamAttempts:
    """Run the attempts of streams, one upstream at a time."""

    def __init__(self, support: AttemptSupport, prefiller: Prefiller) -> None:
        self._support = support
        self._prefiller = prefiller

    async def run(
        self, context: CallContext, choice: Choice, relay: EventRelay
    ) -> FailedAttempt | None:
        """Send a call; return how it failed, or None once its answer is whole."""
        try:
            prepared = await self._prepare(context, choice)
        except PrefillError as error:
            return error.attempt
        if relay.started or relay.last_event:
            prepared = self._continue_from(prepared, relay)
        done = False
        try:
            failure = await self._send(context, prepared, relay)
            done = failure is None
        finally:
            if choice.prefill is not None and not done:
                self._prefiller.free(choice.prefill, prepared.delivery.cache_handle)
        return failure

    async def _prepare(self, context: CallContext, choice: Choice) -> Prepared:
        """Return how the call is sent, after its prompt was read where it is split."""
        self._support.log_sent(context, choice)
        if choice.prefill is not None:
            return await self._read_apart(context, choice, choice.prefill)
        source = choice.prefix_source
        delivery = Delivery(
            upstream=choice.upstream.upstream,
            time_left_s=context.left_s,
            priority=context.call.route.priority,
            prefix_at=source.address if source else None,
        )
        return Prepared(choice=choice, delivery=delivery, transfer_s=choice.fetch_s)

    async def _read_apart(
        self, context: CallContext, choice: Choice, reader: Registration
    ) -> Prepared:
        handle = await self._prefiller.read(context, choice)
        # While the prompt was read, the upstream chosen before may have begun to leave.
        move = self._support.choose_transfer(context, reader)
        if move is None:
            self._prefiller.free(reader, handle)
            raise refuse_prefill(choice.upstream.upstream, "no engine to run the call")
        target = move.target
        delivery = Delivery(
            upstream=target.upstream,
            time_left_s=context.left_s,
            priority=context.call.route.priority,
            cache_at=reader.address,
            cache_handle=handle,
        )
        chosen = replace(choice, upstream=target)
        return Prepared(choice=chosen, delivery=delivery, transfer_s=move.transfer_s)

    def _continue_from(self, prepared: Prepared, relay: EventRelay) -> Prepared:
        delivery = replace(prepared.delivery, last_event=relay.last_event)
        return replace(prepared, delivery=delivery)

    async def _send(
        self, context: CallContext, prepared: Prepared, relay: EventRelay
    ) -> FailedAttempt | None:
        self._support.begin(context)
        choice = prepared.choice
        apart = choice.prefill is not None
        self._support.tracker.start(
            context.call,
            choice.upstream,
            prefill_s=0.0 if apart else choice.prefill_s,
            prefill_cost=0.0 if apart else choice.prefill_cost,
            transfer_s=prepared.transfer_s,
        )
        failure = await self._run(context, choice, prepared.delivery, relay)
        context.attempts.in_flight = False
        return failure

    async def _run(
        self,
        context: CallContext,
        choice: Choice,
        delivery: Delivery,
        relay: EventRelay,
    ) -> FailedAttempt | None:
        tracker = self._support.tracker
        try:
            return await self._exchange(context, choice, delivery, relay)
        except TimeoutError:
            return _fail(choice, AttemptEnd.LOST, "no event in time")
        except BrokenStreamError as error:
            return _fail(choice, AttemptEnd.LOST, str(error))
        except ExchangeError as error:
            if error.unsent:
                context.attempts.sends -= 1
                self._record(choice, failed=True)
                return make_unsent(choice.upstream.upstream, error)
            return _fail(choice, AttemptEnd.LOST, str(error))
        finally:
            tracker.end(context.call, choice.upstream)

    async def _exchange(
        self,
        context: CallContext,
        choice: Choice,
        delivery: Delivery,
        relay: EventRelay,
    ) -> FailedAttempt | None:
        request = context.request
        sent = HttpRequest(
            method=request.method,
            target=request.target,
            headers=encode_delivery(request.headers, delivery),
            body=request.body,
        )
        fresh = not context.call.route.repeatability.may_repeat
        async with (
            asyncio.timeout_at(context.call.deadline_s) as limit,
            self._wait_first(context, choice, limit) as attempt_timeout,
            self._support.exchanger.open(
                choice.upstream, sent, context.call.request, fresh=fresh
            ) as opened,
        ):
            if opened.answer.status != 200 or not opened.head.signed:
                return await self._judge(context, choice, opened)
            relay.begin_attempt(opened.answer)
            await self._relay_events(context, choice, opened, relay, attempt_timeout)
        self._record(choice, failed=False)
        return None

    async def _relay_events(
        self,
        context: CallContext,
        choice: Choice,
        opened: Opened,
        relay: EventRelay,
        attempt_timeout: AttemptTimeout,
    ) -> None:
        first = True
        while (data := await opened.connection.read_chunk()) is not None:
            if relay.take(data):
                now_s = read_now()
                if first:
                    self._note_first_event(context, choice)
                    first = False
                self._support.state.record_received(choice.upstream.upstream, now_s)
                attempt_timeout.expect_next_event(self._limit_pause(context, now_s))
            await context.connection.drain()
        relay.finish()

    async def _judge(
        self, context: CallContext, choice: Choice, opened: Opened
    ) -> FailedAttempt | None:
        """Take an answer that is no stream."""
        answer = opened.answer
        if opened.head.not_run:
            return _fail(choice, AttemptEnd.NOT_RUN, f"declined with {answer.status}")
        body = await opened.connection.read_body()
        whole = Answer(answer.status, answer.reason, answer.headers, body)
        if not opened.head.signed or answer.status < 300:
            return _fail(choice, AttemptEnd.LOST, f"unusable answer {answer.status}")
        return FailedAttempt(
            upstream=choice.upstream.upstream,
            end=AttemptEnd.FAILED,
            reason=f"failed with {answer.status}",
            answer=whole,
        )

    def _note_first_event(self, context: CallContext, choice: Choice) -> None:
        self._support.tracker.finish_prefill(context.call, choice.upstream)
        now_s = read_now()
        context.first_event_s = now_s - context.call.arrived_s

    @asynccontextmanager
    async def _wait_first(
        self, context: CallContext, choice: Choice, limit: asyncio.Timeout
    ) -> AsyncIterator[AttemptTimeout]:
        """Bound the time to the first event."""
        attempt_timeout = AttemptTimeout(
            self._support.state, choice.upstream.upstream, limit
        )
        now_s = read_now()
        until_s = self._limit_first_event(context, choice, now_s)
        if until_s < context.call.deadline_s:
            attempt_timeout.expect_first_event(until_s, context.call.deadline_s)
        try:
            yield attempt_timeout
        finally:
            attempt_timeout.stop()

    def _limit_first_event(
        self, context: CallContext, choice: Choice, now_s: float
    ) -> float:
        call = context.call
        if not self._can_move(context):
            return call.deadline_s
        forecast_s = FORECAST_FACTOR * choice.forecast_s + FIRST_EVENT_SLACK_S
        return min(call.deadline_s, now_s + max(call.route.objective_s, forecast_s))

    def _limit_pause(self, context: CallContext, now_s: float) -> float:
        call = context.call
        if not self._can_move(context):
            return call.deadline_s
        pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * call.route.max_pause_s)
        return min(call.deadline_s, now_s + pause_s)

    def _can_move(self, context: CallContext) -> bool:
        route = context.call.route
        resumable = route.repeatability is Repeatability.STREAM_RESUMABLE
        return resumable and context.attempts.runs + 1 < route.max_attempts

    def _record(self, choice: Choice, *, failed: bool) -> None:
        now_s = read_now()
        self._support.state.record_result(
            choice.upstream.upstream, failed=failed, now_s=now_s
        )


def _fail(choice: Choice, end: AttemptEnd, reason: str) -> FailedAttempt:
    return FailedAttempt(upstream=choice.upstream.upstream, end=end, reason=reason)
