"""Attempts of requests, as the agent runs them."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from bramleyport.agent._scheduler import WorkPart
from bramleyport.agent._transfer import import_blocks
from bramleyport.answers import FrameLog
from bramleyport.core import Execution, UpstreamId
from bramleyport.estimate import Observation
from bramleyport.telemetry import authority_events, events, log_event
from bramleyport.upstreams import (
    Completion,
    CompletionEnd,
    EngineClient,
    PlainClient,
    Token,
    UpstreamError,
)
from bramleyport.wire import Failed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bramleyport.core import AttemptId
    from bramleyport.transport import Connection
    from bramleyport.wire import Execute, Message

PEER_LOSS_TIMEOUT_S: Final = 30.0
WINDOW_POLL_INTERVAL_S: Final = 1.0
FIRST_ERROR_STATUS: Final = 400

Upstream = EngineClient | PlainClient


class AgentAttempt:
    """Represent one attempt, whose frames go to the entry's newest connection."""

    def __init__(self, execute: "Execute", connection: "Connection") -> None:
        self.execute = execute
        self.connection = connection
        self.log = FrameLog(execute.attempt)
        self.failed: Failed | None = None
        self.task: asyncio.Task[None] | None = None
        self.output_tokens = 0
        self.cached_tokens = 0
        self.import_limit_s = 0.0
        self.on_import: Callable[[str], None] = lambda _: None
        self._queued_s = time.monotonic()
        self._started_s = self._queued_s
        self._first_token_s = 0.0
        self._last_token_s = 0.0
        self.on_interval: Callable[[float, float], None] | None = None
        self._was_blocked = False
        self._window_open = asyncio.Event()
        self._window_open.set()

    @property
    def part(self) -> WorkPart:
        """Return which part of the request runs on this engine."""
        return WorkPart.DECODE if self.execute.kv_source else WorkPart.WHOLE

    @property
    def answered(self) -> bool:
        """Return whether the attempt ended with a complete answer."""
        return self.log.end is not None

    def measure(self, upstream: UpstreamId) -> Observation | None:
        """Return the measured times, or None if they say nothing about the engine."""
        end = self.log.end
        if end is None or end.status >= FIRST_ERROR_STATUS:
            return None
        return Observation(
            work=self.execute.work,
            upstream=upstream,
            output_tokens=end.output_tokens,
            cached_tokens=self.cached_tokens,
            wait_s=end.wait_s,
            prefill_s=end.prefill_s,
            decode_s=end.decode_s,
        )

    @property
    def wait_s(self) -> float:
        """Return how long the attempt waited in the queue."""
        return self._started_s - self._queued_s

    @property
    def first_token_s(self) -> float | None:
        """Return the time from arrival to the first token, if there is one."""
        if not self._first_token_s:
            return None
        return self._first_token_s - self._queued_s

    async def run(self, upstream: Upstream) -> None:
        """Run the attempt on the upstream until it completes or fails."""
        self._started_s = time.monotonic()
        try:
            if isinstance(upstream, EngineClient):
                await self._run_completion(upstream)
            else:
                await self._run_call(upstream)
        except UpstreamError as error:
            log_event(
                events.UPSTREAM_CALL_FAILED,
                step=error.step,
                peer=error.peer,
                attempt=self.execute.attempt,
                reason=error.reason,
            )
            self.fail(error.execution, error.reason)

    def fail(self, execution: Execution, reason: str) -> None:
        """Record the attempt as failed and report it to the entry."""
        self.failed = Failed(
            attempt=self.execute.attempt, execution=execution, reason=reason
        )
        self.connection.post(self.failed)

    def acknowledge(self, next_frame: int) -> None:
        """Drop acknowledged frames and continue if the window was full."""
        self.log.acknowledge(next_frame)
        if not self.log.full:
            self._window_open.set()

    def resume(self, connection: "Connection", next_frame: int) -> None:
        """Continue on another connection, starting with the given frame."""
        retained = self.log.replay(next_frame)
        self.connection = connection
        self._window_open.set()
        if retained is None:
            self.fail(Execution.UNKNOWN, f"frame {next_frame} is no longer held")
            return
        pending: list[Message] = list(retained)
        if self.log.end is not None:
            pending.append(self.log.end)
        elif self.failed is not None:
            pending.append(self.failed)
        for item in pending:
            connection.post(item)

    async def _run_completion(self, engine: EngineClient) -> None:
        work = self.execute.work
        if self.part is WorkPart.DECODE:
            self.on_import(
                await import_blocks(engine, self.execute, self.import_limit_s)
            )
        completion = Completion(
            job=self.execute.attempt,
            prompt=self._parse_prompt(),
            max_tokens=work.max_output_tokens,
            priority=work.rank.priority,
            model=work.model,
            adapter=work.adapter,
        )
        try:
            await self._consume_tokens(engine.complete(completion))
        except UpstreamError as error:
            if error.execution is Execution.NOT_RUN:
                raise
            await self._resume_stream(engine, error)

    def _parse_prompt(self) -> str:
        return str(json.loads(self.execute.body)["prompt"])

    async def _consume_tokens(
        self, stream: "AsyncIterator[Token | CompletionEnd]"
    ) -> None:
        async for event in stream:
            if isinstance(event, Token):
                self.output_tokens += 1
                self._record_token_time()
                await self._append(event.text.encode())
            elif isinstance(event, CompletionEnd):
                self._finish(200, {})

    async def _resume_stream(self, engine: EngineClient, cause: UpstreamError) -> None:
        job = self.execute.attempt
        log_event(
            authority_events.STREAM_RESUMED,
            attempt=job,
            peer=cause.peer,
            next_token=self.output_tokens,
        )
        try:
            stream = engine.resume(job, self.output_tokens)
            await self._consume_tokens(self._check_count(stream, cause.peer))
        except UpstreamError as error:
            # The first stream broke after the request was sent, so the engine may have
            # run it.
            raise UpstreamError(
                error.step, error.peer, error.reason, Execution.UNKNOWN
            ) from cause

    async def _check_count(
        self, stream: "AsyncIterator[Token | CompletionEnd]", peer: str
    ) -> "AsyncIterator[Token | CompletionEnd]":
        """Yield the events of a resumed stream; fail if tokens lack or come twice.

        Tokens have no number, so only their count shows where the stream went on.
        """
        async for event in stream:
            if isinstance(event, CompletionEnd):
                made, received = event.output_tokens, self.output_tokens
                if made != received:
                    reason = f"{made} tokens were made, {received} received"
                    raise UpstreamError("resume", peer, reason, Execution.UNKNOWN)
            yield event

    def _record_token_time(self) -> None:
        now_s = time.monotonic()
        if self.output_tokens == 1:
            self._first_token_s = now_s
        elif self.on_interval is not None and not self._was_blocked:
            self.on_interval(now_s - self._last_token_s, now_s)
        self._last_token_s = now_s

    async def _run_call(self, service: PlainClient) -> None:
        execute = self.execute
        response = await service.call(
            execute.method, execute.path, execute.headers, execute.body
        )
        async for chunk in response.body:
            await self._append(chunk)
        self._finish(response.status, dict(response.headers))

    async def _append(self, payload: bytes) -> None:
        self.connection.post(self.log.append(payload))
        if self.log.full:
            self._was_blocked = True
            self._window_open.clear()
            await self._wait_for_window()

    async def _wait_for_window(self) -> None:
        disconnected_since_s: float | None = None
        while not self._window_open.is_set():
            try:
                async with asyncio.timeout(WINDOW_POLL_INTERVAL_S):
                    await self._window_open.wait()
            except TimeoutError:
                now_s = time.monotonic()
                disconnected_since_s = (
                    (disconnected_since_s or now_s)
                    if self.connection.closed.is_set()
                    else None
                )
                if (
                    disconnected_since_s is not None
                    and now_s - disconnected_since_s >= PEER_LOSS_TIMEOUT_S
                    and self.task
                ):
                    # The entry is taken as gone. Its attempt would otherwise occupy a
                    # slot for ever and keep the engine from draining.
                    self.fail(Execution.UNKNOWN, "the peer is gone")
                    self.task.cancel()

    def _finish(self, status: int, headers: dict[str, str]) -> None:
        now_s = time.monotonic()
        first_s = self._first_token_s or self._started_s
        # If a slow caller filled the window, this time says nothing about the engine.
        decode_s = 0.0 if self._was_blocked else now_s - first_s
        # If another engine computed the prompt, there was no prefill here to measure.
        prefilled_elsewhere = self.part is WorkPart.DECODE
        end = self.log.finish(
            status,
            headers,
            self.output_tokens,
            wait_s=self.wait_s,
            prefill_s=0.0 if prefilled_elsewhere else first_s - self._started_s,
            decode_s=decode_s,
        )
        self.connection.post(end)


async def cancel_attempt(engine: EngineClient, attempt: "AttemptId") -> None:
    """Cancel an attempt on its engine; a failure is only logged."""
    try:
        await engine.cancel(attempt)
    except UpstreamError as error:
        log_event(
            events.UPSTREAM_CALL_FAILED,
            step="cancel",
            peer=error.peer,
            reason=error.reason,
        )
