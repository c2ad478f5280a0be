"""Define faults that the search must find, each put into the gateway by hand.

All private names of the gateway that the search depends on stand in this module and in
`_search.py`.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Final

import pytest

from bramleyport.fleet import StagePlanner
from bramleyport.gateway import (
    _attempt,
    _exchange,
    _forward,
    _placement,
    _plain,
    _prefill,
    _reply,
    _retries,
    _return_queue,
    _stream_attempt,
    _version_choice,
)
from bramleyport.gateway._attempt_record import (
    AttemptRecord,
    Attempts,
    AttemptState,
)
from bramleyport.http1 import (
    CallerConnection,
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    UpstreamConnection,
)
from tests.order_search._profiles import ENDING, REPEATING, Profile

Apply = Callable[[pytest.MonkeyPatch], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Mutation:
    """Describe a fault that is put into the gateway."""

    apply: Apply
    # It shows with this profile only; None for those that seeds choose.
    profile: Profile | None


MUTATIONS: Final[dict[str, Mutation]] = {}
# These lose streams whose engines are away for a while.
VERSION_MUTATIONS: Final[dict[str, Apply]] = {}


def mutation(apply: Apply, profile: Profile | None = None) -> Apply:
    """Add a mutation under the name of its function."""
    MUTATIONS[apply.__name__] = Mutation(apply=apply, profile=profile)
    return apply


def version_mutation(apply: Apply) -> Apply:
    """Add a mutation that loses streams under the name of its function."""
    VERSION_MUTATIONS[apply.__name__] = apply
    return apply


def _forget_sending(
    patch: pytest.MonkeyPatch, is_meant: Callable[[str | Exception], bool]
) -> None:
    """Let attempts that ended for some causes count as unsent."""
    for module in (_plain, _stream_attempt):
        make_failed = module.make_failed

        def make_unsent(
            upstream: Any,
            record: Any,
            cause: str | Exception,
            *,
            make_failed: Callable[..., Any] = make_failed,
            **details: Any,
        ) -> Any:
            if is_meant(cause):
                record._state = AttemptState.UNSENT
            return make_failed(upstream, record, cause, **details)

        patch.setattr(module, "make_failed", make_unsent)


@mutation
def running_attempt_counts_as_not_run(patch: pytest.MonkeyPatch) -> None:
    lost = property(lambda record: record.state is AttemptState.LOST)
    patch.setattr(AttemptRecord, "may_have_run", lost)


@mutation
def sending_is_recorded_with_the_answer(patch: pytest.MonkeyPatch) -> None:
    send = UpstreamConnection.send
    read_head = UpstreamConnection.read_head

    def send_first(
        connection: Any, request: Any, matches: Any = None, on_write: Any = None
    ) -> None:
        connection.on_write = on_write
        send(connection, request, matches)

    async def read_head_and_record(connection: Any) -> Any:
        answer = await read_head(connection)
        if connection.on_write is not None:
            connection.on_write()
        return answer

    patch.setattr(UpstreamConnection, "send", send_first)
    patch.setattr(UpstreamConnection, "read_head", read_head_and_record)


@mutation
def every_exchange_error_counts_as_unsent(patch: pytest.MonkeyPatch) -> None:
    _forget_sending(patch, lambda cause: isinstance(cause, ExchangeError))


@mutation
def missing_answer_counts_as_unsent(patch: pytest.MonkeyPatch) -> None:
    def is_missing(cause: str | Exception) -> bool:
        if not isinstance(cause, ExchangeError):
            return False
        return cause.failure is ExchangeFailure.NO_ANSWER

    _forget_sending(patch, is_missing)


@mutation
def silent_stream_is_given_up_as_unsent(patch: pytest.MonkeyPatch) -> None:
    _forget_sending(patch, lambda cause: cause == "no event in time")
    attempts = _stream_attempt.StreamAttempts
    patch.setattr(attempts, "_can_resume", lambda self, context: True)
    patch.setattr(_retries.AttemptRetry, "reserve", lambda self: True)


@mutation
def error_of_own_request_counts_for_the_call(patch: pytest.MonkeyPatch) -> None:
    """Let the error of a request that is sent inside an attempt cross the attempt."""
    raise_in_attempts(patch)
    _forget_sending(
        patch, lambda cause: isinstance(cause, ExchangeError) and cause.unsent
    )


@mutation
def only_the_last_attempt_counts(patch: pytest.MonkeyPatch) -> None:
    def may_have_run(attempts: Any) -> bool:
        return bool(attempts._records) and attempts._records[-1].may_have_run

    patch.setattr(Attempts, "may_have_run", property(may_have_run))


@partial(mutation, profile=ENDING)
def call_is_sent_after_its_refusal(patch: pytest.MonkeyPatch) -> None:
    outlive_calls(patch)
    patch.setattr(AttemptRecord, "close", lambda record: None)


@mutation
def lost_attempt_counts_as_refused(patch: pytest.MonkeyPatch) -> None:
    def record_refused(record: Any) -> None:
        if record.state is AttemptState.SENT:
            record._state = AttemptState.REFUSED

    patch.setattr(AttemptRecord, "record_end", record_refused)


@mutation
def refusal_without_id_is_believed_on_used_connection(
    patch: pytest.MonkeyPatch,
) -> None:
    patch.setattr(UpstreamConnection, "may_carry_other_answers", False)


@mutation
def refusal_of_another_call_is_believed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_exchange, "_matches_request", lambda answer, request: True)


@mutation
def call_is_sent_again_on_its_connection(patch: pytest.MonkeyPatch) -> None:
    acquire = ConnectionPool.acquire

    async def acquire_any(
        pool: ConnectionPool, *, excluded: Any = (), **options: Any
    ) -> UpstreamConnection:
        return await acquire(pool, **options)

    patch.setattr(ConnectionPool, "acquire", acquire_any)


@partial(mutation, profile=REPEATING)
def repeated_call_is_sent_on_its_earlier_connection(patch: pytest.MonkeyPatch) -> None:
    def contains(connections: Any, connection: Any) -> bool:
        return connection in connections.used

    patch.setattr(_exchange._UnusableConnections, "__contains__", contains)


@mutation
def refusal_status_without_statement_is_relayed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_reply, "REFUSAL_STATUSES", frozenset())


@mutation
def refusal_status_counts_as_statement(patch: pytest.MonkeyPatch) -> None:
    decode = _exchange.decode_answer

    def decode_by_status(status: int, headers: Any) -> Any:
        head = decode(status, headers)
        if status in _reply.REFUSAL_STATUSES:
            object.__setattr__(head, "not_run", True)
        return head

    patch.setattr(_exchange, "decode_answer", decode_by_status)


@mutation
def deadline_is_answered_with_a_refusal(patch: pytest.MonkeyPatch) -> None:
    give_up = _attempt.AttemptSupport.give_up

    def refuse_late(support: Any, context: Any, reason: str) -> None:
        if reason == "deadline":
            context.attempts._records.clear()
        give_up(support, context, reason)

    patch.setattr(_attempt.AttemptSupport, "give_up", refuse_late)


@mutation
def ended_call_is_answered_with_a_refusal(patch: pytest.MonkeyPatch) -> None:
    answer = _forward.answer_failed_call

    def refuse(connection: Any, request: Any, attempts: Any) -> None:
        attempts._records.clear()
        answer(connection, request, attempts)

    patch.setattr(_forward, "answer_failed_call", refuse)


@mutation
def served_request_is_refused_at_the_end(patch: pytest.MonkeyPatch) -> None:
    def refuse(connection: Any) -> None:
        if not connection.idle and connection.answerable:
            connection.state = type(connection.state).READING
            connection._refuse(503)

    patch.setattr(CallerConnection, "end_request", refuse)


@version_mutation
def stages_are_planned_without_versions(patch: pytest.MonkeyPatch) -> None:
    plan = StagePlanner.plan

    def plan_as_one(
        planner: Any, engines: Any, slots: int, now_s: float, versions: Any = None
    ) -> Any:
        views = [
            replace(view, registration=replace(view.registration, version="v1"))
            for view in engines
        ]
        return plan(planner, views, slots, now_s)

    patch.setattr(StagePlanner, "plan", plan_as_one)


@version_mutation
def calls_wait_for_no_upstream(patch: pytest.MonkeyPatch) -> None:
    async def refuse_to_wait(*_: Any) -> bool:
        return False

    patch.setattr(_placement.Placement, "_wait_for_return", refuse_to_wait)


@version_mutation
def crashed_upstreams_count_as_gone(patch: pytest.MonkeyPatch) -> None:
    find_group = _version_choice.find_serving_group

    def find_present(*arguments: Any) -> Any:
        return replace(find_group(*arguments), absent=())

    for module in (_version_choice, _return_queue):
        patch.setattr(module, "find_serving_group", find_present)


@mutation
def call_that_may_have_run_is_retried(patch: pytest.MonkeyPatch) -> None:
    find_obstacle = _retries.RetryDecider._find_obstacle

    def ignore_runs(decider: Any, context: Any, **lost: int) -> Any:
        obstacle = find_obstacle(decider, context, **lost)
        return None if obstacle == "not_repeatable" else obstacle

    patch.setattr(_retries.RetryDecider, "_find_obstacle", ignore_runs)


@mutation
def lost_answer_is_asked_for_again(patch: pytest.MonkeyPatch) -> None:
    """Send a request again if its connection ends early, as HTTP clients do."""
    exchange = _plain.PlainServer._exchange

    async def exchange_again(
        server: Any, context: Any, choice: Any, record: Any
    ) -> Any:
        try:
            return await exchange(server, context, choice, record)
        except ExchangeError as error:
            if error.failure is not ExchangeFailure.NO_ANSWER:
                raise
            return await exchange(server, context, choice, context.attempts.begin())

    patch.setattr(_plain.PlainServer, "_exchange", exchange_again)


@mutation
def prefill_is_sent_as_a_call(patch: pytest.MonkeyPatch) -> None:
    encode = _prefill.encode_forward_headers

    def encode_without_stage(headers: Any, options: Any) -> Any:
        encoded = encode(headers, options)
        return [pair for pair in encoded if pair[0] != b"Stage"]

    patch.setattr(_prefill, "encode_forward_headers", encode_without_stage)


def outlive_calls(patch: pytest.MonkeyPatch) -> None:
    """Let the attempts of a call go on after the call has ended."""
    run = _forward.Forwarder._run

    async def run_to_its_end(*arguments: Any) -> None:
        # Its caller has an answer already, or is gone.
        with contextlib.suppress(Exception):
            await run(*arguments)

    async def run_apart(*arguments: Any) -> None:
        await asyncio.shield(asyncio.ensure_future(run_to_its_end(*arguments)))

    patch.setattr(_forward.Forwarder, "_run", run_apart)


def raise_in_attempts(patch: pytest.MonkeyPatch) -> None:
    """Raise the error of another exchange, which was not sent, inside attempts."""

    async def ask_first(*_: Any) -> Any:
        raise ExchangeError(ExchangeFailure.NOT_SENT, "report", "", "pool is full")

    patch.setattr(_stream_attempt.StreamAttempts, "_classify_answer", ask_first)
    patch.setattr(_stream_attempt.StreamAttempts, "_is_registered", ask_first)
