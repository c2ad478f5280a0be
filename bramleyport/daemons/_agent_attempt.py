"""One attempt of a request as its agent runs it."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from bramleyport.answers import FrameLog
from bramleyport.core import Execution
from bramleyport.telemetry import events, log_event
from bramleyport.upstreams import (
    Completion,
    Done,
    EngineClient,
    PlainClient,
    Token,
    UpstreamError,
)
from bramleyport.wire import Failed

if TYPE_CHECKING:
    from bramleyport.transport import Connection
    from bramleyport.wire import Execute, Message

Upstream = EngineClient | PlainClient


class AgentAttempt:
    """Run one attempt and send its frames over whichever connection is current."""

    def __init__(self, execute: "Execute", connection: "Connection") -> None:
        self.execute = execute
        self.connection = connection
        self.log = FrameLog(execute.attempt)
        self.failed: Failed | None = None
        self.task: asyncio.Task[None] | None = None
        self.output_tokens = 0
        self.cached_tokens = 0
        self._queued_s = time.monotonic()
        self._started_s = self._queued_s
        self._first_token_s = 0.0
        self._last_token_s = 0.0
        self.on_interval: Callable[[float, float], None] | None = None
        self._was_blocked = False
        self._room = asyncio.Event()
        self._room.set()

    async def run(self, upstream: Upstream) -> None:
        """Run the attempt on the upstream until its answer is whole or failed."""
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
        """End the attempt without a whole answer."""
        self.failed = Failed(
            attempt=self.execute.attempt, execution=execution, reason=reason
        )
        self.connection.post(self.failed)

    def acknowledge(self, next_frame: int) -> None:
        """Drop acknowledged frames and read on if the window was full."""
        self.log.acknowledge(next_frame)
        if not self.log.full:
            self._room.set()

    def resume(self, connection: "Connection", next_frame: int) -> None:
        """Continue on another connection from a frame number."""
        held = self.log.replay(next_frame)
        self.connection = connection
        self._room.set()
        if held is None:
            self.fail(Execution.UNKNOWN, f"frame {next_frame} is no longer held")
            return
        pending: list[Message] = list(held)
        if self.log.end is not None:
            pending.append(self.log.end)
        elif self.failed is not None:
            pending.append(self.failed)
        for item in pending:
            connection.post(item)

    async def _run_completion(self, engine: EngineClient) -> None:
        work = self.execute.work
        body = json.loads(self.execute.body)
        completion = Completion(
            job=self.execute.attempt,
            prompt=body["prompt"],
            max_tokens=work.max_output_tokens,
            priority=work.rank.priority,
            model=work.model,
            adapter=work.adapter,
        )
        async for event in engine.complete(completion):
            if isinstance(event, Token):
                self.output_tokens += 1
                self._time_token()
                await self._append(event.text.encode())
            elif isinstance(event, Done):
                self._finish(200, {})

    def _time_token(self) -> None:
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
            self._room.clear()
            await self._room.wait()

    def _finish(self, status: int, headers: dict[str, str]) -> None:
        now_s = time.monotonic()
        first_s = self._first_token_s or self._started_s
        # A slow reader holds the frames back, so the time says nothing of the engine.
        decode_s = 0.0 if self._was_blocked else now_s - first_s
        end = self.log.finish(
            status,
            headers,
            self.output_tokens,
            wait_s=self._started_s - self._queued_s,
            prefill_s=first_s - self._started_s,
            decode_s=decode_s,
        )
        self.connection.post(end)
