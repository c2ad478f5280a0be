"""Serve calls whose answers are event streams."""

import asyncio

from bramleyport.admission import Rejected
from bramleyport.gateway._attempt import RETRY_WHEN_FULL_S, AttemptSupport
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._event_relay import EventRelay
from bramleyport.gateway._prefill import Prefiller
from bramleyport.gateway._stream_attempt import StreamAttempts
from bramleyport.telemetry import gateway_events, log_event


class StreamServer:
    """Decide the attempts and the end of streamed calls."""

    def __init__(self, support: AttemptSupport, prefiller: Prefiller) -> None:
        self._support = support
        self._attempts = StreamAttempts(support, prefiller)

    async def serve(self, context: CallContext, last_event: int) -> None:
        """Answer a call; resume a broken stream at another upstream if permitted."""
        relay = EventRelay(context.connection, last_event)
        try:
            async with asyncio.timeout_at(context.call.deadline_s):
                refusal = await self._support.versions.prepare(context, last_event)
                if refusal is not None:
                    self._support.refuse(context, refusal)
                    return
                await self._serve(context, relay)
        except TimeoutError:
            self._fail(context, relay, "deadline")
        finally:
            self._support.retries.release(context)

    async def _serve(self, context: CallContext, relay: EventRelay) -> None:
        while True:
            choice = await self._support.place(context)
            if isinstance(choice, Rejected):
                self._end_unplaced(context, relay, choice)
                return
            failure = await self._attempts.run(context, choice, relay)
            if failure is None:
                self._record_decode_time(context)
                self._record_answered(context)
                self._support.log_answered(context, 200)
                return
            self._support.record_failure(context, failure)
            decision = self._support.retries.decide(context)
            if decision.reason != "retry":
                self._fail(context, relay, decision.reason)
                return
            self._support.log_retry(context, decision)
            if relay.started:
                log_event(
                    gateway_events.STREAM_RESUMED_ELSEWHERE,
                    request=context.call.request,
                    last_event=relay.last_event,
                )

    def _record_answered(self, context: CallContext) -> None:
        answered_s = context.call.arrived_s + context.first_event_s
        self._support.guard.record_answered(context.call, answered_s)

    def _record_decode_time(self, context: CallContext) -> None:
        """Record the decode time of a call that needed only one attempt."""
        if context.attempts.runs == 0 and context.first_event_s:
            began_s = context.call.arrived_s + context.first_event_s
            self._support.state.decode_times.record(context.call, read_now() - began_s)

    def _end_unplaced(
        self, context: CallContext, relay: EventRelay, decision: Rejected
    ) -> None:
        if context.last_failure is None:
            self._support.refuse(context, decision)
        else:
            reason = decision.explanation.reason
            self._fail(context, relay, reason, decision.retry_after_s)

    def _fail(
        self,
        context: CallContext,
        relay: EventRelay,
        reason: str,
        retry_after_s: float = RETRY_WHEN_FULL_S,
    ) -> None:
        if not relay.started:
            self._support.give_up(context, reason, retry_after_s)
            return
        log_event(
            gateway_events.STREAM_ABORTED,
            request=context.call.request,
            reason=reason,
            last_event=relay.last_event,
            left_s=round(context.remaining_s, 3),
        )
        self._support.metrics.count_refusal("broken_off")
        context.connection.truncate_answer()
