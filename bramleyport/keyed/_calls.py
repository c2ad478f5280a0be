"""Calls with an idempotency key, which run at most once."""

import asyncio
import time
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar

from result import Err, Ok, Result

from bramleyport.claims import (
    CLAIM_GRACE_S,
    ClaimChange,
    ClaimDecisionKind,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    Decision,
    digest_body,
    make_key,
    make_stored_answer,
)
from bramleyport.core import (
    AttemptId,
    ErrorCode,
    Execution,
    RunRecord,
    ServeError,
    Work,
)
from bramleyport.dispatch._attempt import Call
from bramleyport.keyed._known_calls import KnownCalls
from bramleyport.keyed._unsent_attempts import UnsentAttempts
from bramleyport.objectapi import StoreFailure
from bramleyport.telemetry import claim_events, events, log_event

if TYPE_CHECKING:
    from bramleyport.dispatch._dispatcher import Dispatcher
    from bramleyport.keyed._claim_writer import ClaimWriter

RUNNING_POLL_S: Final = 0.5
RUNNING_POLL_MAX_S: Final = 4.0
STORE_RETRY_S: Final = 2.0
STORE_RETRY_MAX_S: Final = 30.0
RECORD_WAIT_S: Final = 1.0
DRAIN_WAIT_S: Final = 5.0
MAX_TASKS: Final = 10_000
FULL_RETRY_S: Final = 60.0

# Decisions that show that a call with the same key and body holds the claim.
CLAIMED_DECISIONS: Final = frozenset(
    {
        ClaimDecisionKind.NEW,
        ClaimDecisionKind.RUNNING,
        ClaimDecisionKind.STORED,
        ClaimDecisionKind.UNKNOWN,
    }
)

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferedAnswer:
    """Describe the complete answer of a keyed call."""

    status: int
    headers: dict[str, str]
    body: bytes


KeyedResult = Result[BufferedAnswer, ServeError]


@dataclass(frozen=True, slots=True)
class RunningCall:
    """Track a call until its outcome is recorded."""

    attempt: AttemptId
    body_digest: str
    answer: "asyncio.Future[KeyedResult]"


class KeyedCalls:
    """Run the call of a new key once, and return its answer to repeated calls.

    A call runs in its own task, so its claim gets an outcome even if the caller
    disconnects or the request handler is cancelled.
    """

    def __init__(self, claims: "ClaimWriter", dispatcher: "Dispatcher") -> None:
        self._claims = claims
        self._dispatcher = dispatcher
        self._running: dict[str, RunningCall] = {}
        self._unsent = UnsentAttempts()
        self._known = KnownCalls()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, key: str, work: Work, call: Call) -> KeyedResult:
        """Run a keyed call or return the answer of its earlier run."""
        return await asyncio.shield(self._spawn(self._run(key, work, call)))

    async def drain(self, wait_s: float = 0.0) -> None:
        """Wait until the outcomes of all calls are recorded, within a limit."""
        if self._tasks:
            limit_s = max(wait_s, DRAIN_WAIT_S)
            await asyncio.wait(set(self._tasks), timeout=limit_s)
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coroutine: Coroutine[object, object, T]) -> "asyncio.Task[T]":
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, key: str, work: Work, call: Call) -> KeyedResult:
        scoped = make_key(work.account, work.service, key)
        digest = digest_body(call.method, call.path, call.body)
        attempt = AttemptId(uuid.uuid4().hex)
        poll_s = RUNNING_POLL_S
        while True:
            claim = ClaimRequest(
                key=scoped,
                body_digest=digest,
                attempt=attempt,
                answer_s=work.targets.answer_s,
                unsent=self._unsent.list_for(scoped),
            )
            result = await self._claims.change(claim)
            if isinstance(result, Err):
                self._unsent.add(scoped, attempt)
                if result.err_value.failure is StoreFailure.UNKNOWN:
                    self._withdraw(claim)
                return await self._answer_unclaimed(claim, result.err_value.message)
            decision = result.ok_value
            if decision.kind in CLAIMED_DECISIONS:
                self._known.add(scoped, digest)
            if decision.kind is ClaimDecisionKind.NEW:
                return await self._run_new(claim, work, call)
            # Nothing is sent for this attempt, but a copy of its claim may arrive.
            if decision.kind is not ClaimDecisionKind.RUNNING:
                self._unsent.add(scoped, attempt)
                return _make_repeat_result(decision)
            running = self._running.get(scoped)
            if running is not None:
                self._unsent.add(scoped, attempt)
                return await asyncio.shield(running.answer)
            if time.monotonic() >= work.answer_deadline_s:
                self._unsent.add(scoped, attempt)
                return Err(_make_running_error())
            await asyncio.sleep(poll_s)
            poll_s = min(poll_s * 2, RUNNING_POLL_MAX_S)

    async def _answer_unclaimed(self, claim: ClaimRequest, reason: str) -> KeyedResult:
        """Answer a call that could not be claimed, though its key may have run."""
        running = self._running.get(claim.key)
        if running is not None and running.body_digest == claim.body_digest:
            return await asyncio.shield(running.answer)
        if self._known.includes(claim.key, claim.body_digest):
            return Err(_make_unreadable_error(reason))
        return Err(_make_store_error(reason))

    async def _run_new(
        self, claim: ClaimRequest, work: Work, call: Call
    ) -> KeyedResult:
        future: asyncio.Future[KeyedResult] = asyncio.get_running_loop().create_future()
        self._running[claim.key] = RunningCall(claim.attempt, claim.body_digest, future)
        result, change = await self._run_claimed(claim, work, call)
        if isinstance(change, ClaimRelease):
            self._known.remove(claim.key)
        future.set_result(result)
        recorded = self._record(change)
        # A slow store must not delay the answer, so the wait is limited.
        await asyncio.wait({recorded}, timeout=RECORD_WAIT_S)
        return result

    async def _run_claimed(
        self, claim: ClaimRequest, work: Work, call: Call
    ) -> tuple[KeyedResult, ClaimChange]:
        record = RunRecord()
        try:
            result = await self._run_once(work, call, record)
        except (Exception, asyncio.CancelledError) as error:
            log_event(
                events.HANDLER_FAILED,
                step="keyed",
                request=work.request,
                error=repr(error),
            )
            result = Err(_make_fault_error(record.execution))
        return result, _make_change(claim, result, record)

    async def _run_once(self, work: Work, call: Call, record: RunRecord) -> KeyedResult:
        if time.monotonic() > work.answer_deadline_s + CLAIM_GRACE_S:
            # This process was paused, and the log may soon delete the claim.
            return Err(_make_late_error())
        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            return Err(rejected)
        body = bytearray()

        async def collect(chunk: bytes) -> None:
            body.extend(chunk)

        record.mark_sent()
        result = await self._dispatcher.run(work, call, collect, body.clear)
        if isinstance(result, Ok):
            end = result.ok_value
            headers = dict(end.headers)
            return Ok(
                BufferedAnswer(status=end.status, headers=headers, body=bytes(body))
            )
        error = result.err_value
        if error.execution is Execution.NOT_RUN:
            record.mark_refused()
        else:
            log_event(
                claim_events.CLAIM_IN_DOUBT,
                request=work.request,
                step=error.step,
                peer=error.peer,
            )
        return Err(error)

    def _withdraw(self, claim: ClaimRequest) -> None:
        # Above the limit, the claim is not released and later becomes `unknown`.
        if len(self._tasks) < MAX_TASKS:
            self._record(ClaimRelease(key=claim.key, attempt=claim.attempt))

    def _record(self, change: ClaimChange) -> "asyncio.Task[None]":
        if isinstance(change, ClaimRelease):
            self._unsent.add(change.key, change.attempt)
        return self._spawn(self._record_with_retries(change))

    async def _record_with_retries(self, change: ClaimChange) -> None:
        delay_s = STORE_RETRY_S
        try:
            while isinstance(result := await self._claims.change(change), Err):
                log_event(
                    claim_events.CLAIM_NOT_RECORDED,
                    key=change.key,
                    reason=result.err_value.message,
                )
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, STORE_RETRY_MAX_S)
        finally:
            self._remove(change.key, change.attempt)

    def _remove(self, key: str, attempt: AttemptId) -> None:
        running = self._running.get(key)
        if running is not None and running.attempt == attempt:
            del self._running[key]


def _make_change(
    claim: ClaimRequest, result: KeyedResult, record: RunRecord
) -> ClaimChange:
    """Return the change that ends the claim of a call."""
    if isinstance(result, Ok):
        ended = result.ok_value
        answer = make_stored_answer(ended.status, ended.headers, ended.body)
        return ClaimOutcome(key=claim.key, attempt=claim.attempt, answer=answer)
    if record.execution is Execution.NOT_RUN:
        return ClaimRelease(key=claim.key, attempt=claim.attempt)
    return ClaimOutcome(key=claim.key, attempt=claim.attempt, answer=None)


def _make_repeat_result(decision: Decision) -> KeyedResult:
    if decision.kind is ClaimDecisionKind.MISMATCH:
        message = "the Idempotency-Key was used with another request"
        return Err(_make_error(ErrorCode.KEY_REUSED, message, Execution.NOT_RUN))
    if decision.kind is ClaimDecisionKind.FULL:
        log_event(claim_events.CLAIM_LOG_FULL)
        message = "no room to record the claim"
        return Err(
            _make_error(
                ErrorCode.STORE_UNAVAILABLE,
                message,
                Execution.NOT_RUN,
                FULL_RETRY_S,
            )
        )
    answer = decision.answer
    if decision.kind is ClaimDecisionKind.STORED and answer is None:
        message = "the call completed; its answer can't be read now"
        return Err(
            _make_error(
                ErrorCode.STORE_UNAVAILABLE,
                message,
                Execution.COMPLETED,
                STORE_RETRY_S,
            )
        )
    if decision.kind is ClaimDecisionKind.UNKNOWN or answer is None:
        message = "whether the first call with this key ran is not known"
        return Err(_make_error(ErrorCode.UPSTREAM_FAILED, message, Execution.UNKNOWN))
    body = answer.read_body()
    if body is None:
        message = "the call completed; its answer was too large to keep"
        return Err(_make_error(ErrorCode.UPSTREAM_FAILED, message, Execution.COMPLETED))
    headers = {**answer.headers, "Idempotency-Replayed": "true"}
    return Ok(BufferedAnswer(status=answer.status, headers=headers, body=body))


def _make_running_error() -> ServeError:
    message = "the first call with this key is still running"
    return _make_error(ErrorCode.IN_PROGRESS, message, Execution.UNKNOWN, STORE_RETRY_S)


def _make_late_error() -> ServeError:
    message = "the claim was recorded too late"
    return _make_error(ErrorCode.DEADLINE, message, Execution.NOT_RUN, STORE_RETRY_S)


def _make_fault_error(execution: Execution) -> ServeError:
    return _make_error(ErrorCode.UPSTREAM_FAILED, "the entry failed", execution)


def _make_unreadable_error(reason: str) -> ServeError:
    message = f"a call with this key was claimed before: {reason}"
    return _make_error(
        ErrorCode.UPSTREAM_FAILED, message, Execution.UNKNOWN, STORE_RETRY_S
    )


def _make_store_error(reason: str) -> ServeError:
    message = f"the claim could not be recorded: {reason}"
    return _make_error(
        ErrorCode.STORE_UNAVAILABLE, message, Execution.NOT_RUN, STORE_RETRY_S
    )


def _make_error(
    code: ErrorCode,
    message: str,
    execution: Execution,
    retry_after_s: float | None = None,
) -> ServeError:
    return ServeError(
        code=code,
        message=message,
        execution=execution,
        step="claim",
        peer="object API",
        retry_after_s=retry_after_s,
    )
