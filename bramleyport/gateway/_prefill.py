"""Prefill a prompt on another engine than the one that decodes the call."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bramleyport.core import StepError, UpstreamId
from bramleyport.fleet import Choice, Registration
from bramleyport.gateway._attempt_record import AttemptRecord, AttemptState
from bramleyport.gateway._attempt_timeout import (
    FIRST_EVENT_SLACK_S,
    FORECAST_FACTOR,
    AttemptTimeout,
)
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._outcome import AttemptEnd, FailedAttempt, make_failed
from bramleyport.gateway._retries import AttemptRetry, RetryDecider
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._work_tracker import WorkTracker
from bramleyport.http1 import ExchangeError, HttpRequest
from bramleyport.platform import (
    ForwardOptions,
    MalformedDocumentError,
    decode_prefill,
    encode_forward_headers,
    make_handle_path,
)
from bramleyport.telemetry import gateway_events, log_event


class PrefillError(StepError):
    """Report that a separate prefill failed, so that the call has not run."""

    def __init__(self, attempt: FailedAttempt) -> None:
        super().__init__("prefill", attempt.upstream, attempt.reason)
        self.attempt = attempt


def make_prefill_error(upstream: UpstreamId, reason: str) -> PrefillError:
    """Return the error for an upstream that did not run a prefill."""
    return PrefillError(
        FailedAttempt(upstream=upstream, end=AttemptEnd.NOT_RUN, reason=reason)
    )


def _make_error(
    prefill_engine: Registration, record: AttemptRecord, cause: str | Exception
) -> PrefillError:
    """Return the error for a prefill without an answer; it is no run of the call."""
    upstream = prefill_engine.upstream
    if record.state is AttemptState.UNSENT:
        return PrefillError(make_failed(upstream, record, cause))
    return make_prefill_error(upstream, str(cause))


class Prefiller:
    """Represent the separate prefills that this gateway runs."""

    def __init__(
        self,
        state: GatewayState,
        exchanger: Exchanger,
        tracker: WorkTracker,
        retries: RetryDecider,
    ) -> None:
        self._state = state
        self._exchanger = exchanger
        self._tracker = tracker
        self._retries = retries
        self._tasks: set[asyncio.Task[None]] = set()

    async def run_prefill(self, context: CallContext, choice: Choice) -> str:
        """Run the prefill and return the handle of its KV cache."""
        prefill_engine = choice.prefill
        assert prefill_engine is not None
        self._tracker.start(
            context.call,
            prefill_engine,
            prefill_s=choice.prefill_s,
            prefill_cost=choice.prefill_cost,
            transfer_s=choice.fetch_s,
        )
        started_s = read_now()
        # A prefill is no run of the call, so its record is not among the attempts.
        record = AttemptRecord()
        try:
            async with self._limit_prefill_time(
                context, choice, prefill_engine, record
            ):
                handle = await self._request(
                    context, prefill_engine, choice.prefix_source, record
                )
        except TimeoutError as error:
            self._record_result(prefill_engine, failed=True)
            raise _make_error(prefill_engine, record, "no answer in time") from error
        except (ExchangeError, MalformedDocumentError) as error:
            self._record_result(prefill_engine, failed=True)
            log_event(
                gateway_events.PREFILL_FAILED,
                request=context.call.request,
                upstream=prefill_engine.upstream,
                reason=str(error),
            )
            raise _make_error(prefill_engine, record, error) from error
        else:
            self._tracker.finish_prefill(context.call, prefill_engine)
        finally:
            self._tracker.end(context.call, prefill_engine)
        self._record_result(prefill_engine, failed=False)
        context.prefill_elapsed_s = read_now() - started_s
        return handle

    @asynccontextmanager
    async def _limit_prefill_time(
        self,
        context: CallContext,
        choice: Choice,
        prefill_engine: Registration,
        record: AttemptRecord,
    ) -> AsyncIterator[None]:
        """Limit the time of a prefill, extended while its engine is busy."""
        call = context.call
        forecast_s = FORECAST_FACTOR * (choice.wait_s + choice.prefill_s)
        limit_s = max(call.route.objective_s, forecast_s + FIRST_EVENT_SLACK_S)
        upstream = prefill_engine.upstream
        # A prefill is not a run of the call.
        retry = AttemptRetry(self._retries, context, upstream, record, lost_runs=0)
        async with asyncio.timeout_at(call.deadline_s) as limit:
            attempt_timeout = AttemptTimeout(self._state, upstream, limit, retry)
            attempt_timeout.expect_first_event(read_now() + limit_s, call.deadline_s)
            try:
                yield
            finally:
                attempt_timeout.stop()

    def free_handle(self, prefill_engine: Registration, handle: str) -> None:
        """Free an unused handle in the background."""
        task = asyncio.ensure_future(self._delete_handle(prefill_engine, handle))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self,
        context: CallContext,
        prefill_engine: Registration,
        source: Registration | None,
        record: AttemptRecord,
    ) -> str:
        request = context.request
        options = ForwardOptions(
            has_accounts=context.call.has_accounts,
            account=context.call.account_name,
            upstream=prefill_engine.upstream,
            remaining_time_s=context.remaining_s,
            priority=context.call.priority,
            prefill_only=True,
            prefix_address=source.address if source else None,
        )
        sent = HttpRequest(
            method=request.method,
            target=request.target,
            headers=encode_forward_headers(request.headers, options),
            body=request.body,
        )
        async with self._exchanger.open(
            prefill_engine,
            sent,
            context.call.request,
            fresh=False,
            used_connections=context.used_connections,
            record=record,
        ) as opened:
            body = await opened.connection.read_body()
            status = opened.answer.status
        if status != 200:
            raise make_prefill_error(prefill_engine.upstream, f"declined with {status}")
        return decode_prefill(body).handle

    async def _delete_handle(self, prefill_engine: Registration, handle: str) -> None:
        path = make_handle_path(handle)
        request = HttpRequest(method=b"DELETE", target=path, headers=[])
        try:
            await self._exchanger.call(prefill_engine, request)
        except ExchangeError as error:
            # The engine frees the handle when its lifetime ends.
            log_event(
                gateway_events.HANDLE_NOT_FREED,
                upstream=prefill_engine.upstream,
                reason=str(error),
            )

    def _record_result(self, prefill_engine: Registration, *, failed: bool) -> None:
        now_s = read_now()
        self._state.record_result(prefill_engine.upstream, failed=failed, now_s=now_s)
