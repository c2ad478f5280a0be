"""Run calls that carry an idempotency key at most once."""

import asyncio
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from bramleyport.claims import (
    ClaimDecisionKind,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    Decision,
    StoredAnswer,
    digest_body,
    keep_answer,
    make_key,
)
from bramleyport.core import AttemptId, ErrorCode, Execution, ServeError, Work
from bramleyport.daemons._entry_attempt import Call

if TYPE_CHECKING:
    from bramleyport.daemons._claims import ClaimWriter
    from bramleyport.daemons._dispatch import Dispatcher

RUNNING_POLL_S: Final = 0.5
STORE_RETRY_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """Hold the answer of a keyed call."""

    status: int
    headers: dict[str, str]
    body: bytes


KeyedResult = Result[WholeAnswer, ServeError]


class KeyedCalls:
    """Claim keys, run new calls once and give repeats the same answer."""

    def __init__(self, claims: "ClaimWriter", dispatcher: "Dispatcher") -> None:
        self._claims = claims
        self._dispatcher = dispatcher
        self._running: dict[str, asyncio.Future[KeyedResult]] = {}

    async def run(self, key: str, work: Work, call: Call) -> KeyedResult:
        """Run a keyed call or return the answer of its earlier run."""
        claim = ClaimRequest(
            key=make_key(work.account, work.service, key),
            body_digest=digest_body(call.method, call.path, call.body),
            attempt=AttemptId(uuid.uuid4().hex),
        )
        while True:
            result = await self._claims.change(claim)
            if isinstance(result, Err):
                return Err(_refuse_without_store(result.err_value.message))
            decision = result.ok_value
            if decision.kind is ClaimDecisionKind.NEW:
                return await self._run_new(claim, work, call)
            if decision.kind is not ClaimDecisionKind.RUNNING:
                return _answer_repeat(decision)
            running = self._running.get(claim.key)
            if running is not None:
                return await asyncio.shield(running)
            if time.monotonic() >= work.answer_deadline_s:
                return Err(_explain_running())
            await asyncio.sleep(RUNNING_POLL_S)

    async def _run_new(
        self, claim: ClaimRequest, work: Work, call: Call
    ) -> KeyedResult:
        future: asyncio.Future[KeyedResult] = asyncio.get_running_loop().create_future()
        self._running[claim.key] = future
        try:
            result = await self._run_once(claim, work, call)
            future.set_result(result)
            return result
        finally:
            del self._running[claim.key]
            if not future.done():
                future.set_result(Err(_explain_running()))

    async def _run_once(
        self, claim: ClaimRequest, work: Work, call: Call
    ) -> KeyedResult:
        body = bytearray()

        async def collect(chunk: bytes) -> None:
            body.extend(chunk)

        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            await self._release(claim)
            return Err(rejected)
        result = await self._dispatcher.run(work, call, collect)
        if isinstance(result, Err):
            if result.err_value.execution is Execution.NOT_RUN:
                await self._release(claim)
            else:
                await self._finish(claim, None)
            return Err(result.err_value)
        end = result.ok_value
        headers = dict(end.headers)
        await self._finish(claim, keep_answer(end.status, headers, bytes(body)))
        return Ok(WholeAnswer(status=end.status, headers=headers, body=bytes(body)))

    async def _release(self, claim: ClaimRequest) -> None:
        await self._claims.change(ClaimRelease(key=claim.key, attempt=claim.attempt))

    async def _finish(self, claim: ClaimRequest, answer: StoredAnswer | None) -> None:
        outcome = ClaimOutcome(key=claim.key, attempt=claim.attempt, answer=answer)
        await self._claims.change(outcome)


def _answer_repeat(decision: Decision) -> KeyedResult:
    if decision.kind is ClaimDecisionKind.MISMATCH:
        message = "the Idempotency-Key was used with another request"
        return Err(_fail(ErrorCode.KEY_REUSED, message, Execution.NOT_RUN))
    answer = decision.answer
    if decision.kind is ClaimDecisionKind.UNKNOWN or answer is None:
        message = "whether the first call with this key ran is not known"
        return Err(_fail(ErrorCode.UPSTREAM_FAILED, message, Execution.UNKNOWN))
    body = answer.read_body()
    if body is None:
        message = "the call completed; its answer was too large to keep"
        return Err(_fail(ErrorCode.UPSTREAM_FAILED, message, Execution.COMPLETED))
    headers = {**answer.headers, "Idempotency-Replayed": "true"}
    return Ok(WholeAnswer(status=answer.status, headers=headers, body=body))


def _explain_running() -> ServeError:
    message = "the first call with this key is still running"
    return _fail(ErrorCode.IN_PROGRESS, message, Execution.UNKNOWN, STORE_RETRY_S)


def _refuse_without_store(reason: str) -> ServeError:
    message = f"the claim could not be recorded: {reason}"
    return _fail(ErrorCode.STORE_UNAVAILABLE, message, Execution.NOT_RUN, STORE_RETRY_S)


def _fail(
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
