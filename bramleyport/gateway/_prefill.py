"""Have one engine read a prompt for another."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bramleyport.core import StepError, UpstreamId
from bramleyport.fleet import Choice, Registration
from bramleyport.gateway._attempt import CallContext
from bramleyport.gateway._attempt_timeout import (
    FIRST_EVENT_SLACK_S,
    FORECAST_FACTOR,
    AttemptTimeout,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._outcome import AttemptEnd, FailedAttempt, make_unsent
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._tracker import Tracker
from bramleyport.http1 import ExchangeError, HttpRequest
from bramleyport.platform import (
    Delivery,
    MalformedDocumentError,
    decode_prefill,
    encode_delivery,
    make_handle_path,
)
from bramleyport.telemetry import gateway_events, log_event


class PrefillError(StepError):
    """Report that an engine did not read a prompt; the call has not run."""

    def __init__(self, attempt: FailedAttempt) -> None:
        super().__init__("prefill", attempt.upstream, attempt.reason)
        self.attempt = attempt


def refuse_prefill(upstream: UpstreamId, reason: str) -> PrefillError:
    """Return the error of an upstream that did not read a prompt."""
    return PrefillError(
        FailedAttempt(upstream=upstream, end=AttemptEnd.NOT_RUN, reason=reason)
    )


class Prefiller:
    """Read prompts ahead of the upstreams that answer."""

    def __init__(
        self, state: GatewayState, exchanger: Exchanger, tracker: Tracker
    ) -> None:
        self._state = state
        self._exchanger = exchanger
        self._tracker = tracker
        self._tasks: set[asyncio.Task[None]] = set()

    async def read(self, context: CallContext, choice: Choice) -> str:
        """Return the handle under which the reader keeps the KV cache."""
        reader = choice.prefill
        assert reader is not None
        self._tracker.start(
            context.call,
            reader,
            prefill_s=choice.prefill_s,
            prefill_cost=choice.prefill_cost,
            transfer_s=choice.fetch_s,
        )
        started_s = read_now()
        try:
            async with self._bound(context, choice, reader):
                handle = await self._request(context, reader, choice.prefix_source)
        except TimeoutError as error:
            self._note(reader, failed=True)
            raise refuse_prefill(reader.upstream, "no answer in time") from error
        except (ExchangeError, MalformedDocumentError) as error:
            self._note(reader, failed=True)
            log_event(
                gateway_events.PREFILL_FAILED,
                request=context.call.request,
                upstream=reader.upstream,
                reason=str(error),
            )
            if isinstance(error, ExchangeError) and error.unsent:
                raise PrefillError(make_unsent(reader.upstream, error)) from error
            raise refuse_prefill(reader.upstream, str(error)) from error
        else:
            self._tracker.finish_prefill(context.call, reader)
        finally:
            self._tracker.end(context.call, reader)
        self._note(reader, failed=False)
        context.prefill_elapsed_s = read_now() - started_s
        return handle

    @asynccontextmanager
    async def _bound(
        self, context: CallContext, choice: Choice, reader: Registration
    ) -> AsyncIterator[None]:
        """Bound the time of a prefill, longer while its reader is busy."""
        call = context.call
        forecast_s = FORECAST_FACTOR * (choice.wait_s + choice.prefill_s)
        limit_s = max(call.route.objective_s, forecast_s + FIRST_EVENT_SLACK_S)
        now_s = read_now()
        async with asyncio.timeout_at(call.deadline_s) as limit:
            attempt_timeout = AttemptTimeout(self._state, reader.upstream, limit)
            if now_s + limit_s < call.deadline_s:
                attempt_timeout.expect_first_event(now_s + limit_s, call.deadline_s)
            try:
                yield
            finally:
                attempt_timeout.stop()

    def free(self, reader: Registration, handle: str) -> None:
        """Free a handle that nobody takes, without waiting for it."""
        task = asyncio.ensure_future(self._free(reader, handle))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self,
        context: CallContext,
        reader: Registration,
        source: Registration | None,
    ) -> str:
        request = context.request
        delivery = Delivery(
            upstream=reader.upstream,
            time_left_s=context.left_s,
            priority=context.call.route.priority,
            prefill_only=True,
            prefix_at=source.address if source else None,
        )
        sent = HttpRequest(
            method=request.method,
            target=request.target,
            headers=encode_delivery(request.headers, delivery),
            body=request.body,
        )
        async with self._exchanger.open(
            reader, sent, context.call.request, fresh=False
        ) as opened:
            body = await opened.connection.read_body()
            status = opened.answer.status
        if status != 200:
            raise refuse_prefill(reader.upstream, f"declined with {status}")
        return decode_prefill(body).handle

    async def _free(self, reader: Registration, handle: str) -> None:
        path = make_handle_path(handle)
        request = HttpRequest(method=b"DELETE", target=path, headers=[])
        try:
            await self._exchanger.call(reader, request)
        except ExchangeError as error:
            # The engine drops the handle by itself after its lifetime.
            log_event(
                gateway_events.HANDLE_NOT_FREED,
                upstream=reader.upstream,
                reason=str(error),
            )

    def _note(self, reader: Registration, *, failed: bool) -> None:
        now_s = read_now()
        self._state.record_result(reader.upstream, failed=failed, now_s=now_s)
