"""Attempts of requests, as the entry that sent them sees them."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from bramleyport.answers import Assembler, Violation
from bramleyport.charts import ChartMachine, load_chart
from bramleyport.core import AttemptId, Execution, RunRecord, Work
from bramleyport.links._agent_links import AgentLink
from bramleyport.retries import AttemptFailure, FailureKind
from bramleyport.transport import Connection
from bramleyport.wire import (
    Accepted,
    Ack,
    Cancel,
    End,
    Execute,
    Failed,
    Frame,
    Message,
    Prefilled,
    Refused,
    Resume,
)

ACK_INTERVAL_FRAMES: Final = 32
RECONNECT_TIMEOUT_S: Final = 5.0
POLL_INTERVAL_S: Final = 0.25

_EVENTS: Final[dict[type[Message], str]] = {
    Accepted: "accepted",
    Refused: "refused",
    Frame: "frame",
    End: "end",
    Failed: "failed",
}

OnChunk = Callable[[bytes], Awaitable[None]]
AttemptResult = Result[End, AttemptFailure]


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe the HTTP call that a request makes at its upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class EntryAttempt:
    """Represent one attempt that this entry sent to an agent."""

    def __init__(
        self,
        attempt: AttemptId,
        link: AgentLink,
        work: Work,
        call: Call,
        record: RunRecord,
        prefilled: Prefilled | None = None,
    ) -> None:
        self.attempt = attempt
        self.link = link
        self.frames_delivered = 0
        self._work = work
        self._call = call
        self._record = record
        self._prefilled = prefilled
        self._assembler = Assembler(attempt)
        # None stands for the loss of the connection.
        self._inbox: asyncio.Queue[Message | None] = asyncio.Queue()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._loss_reported = False
        self._connection: Connection | None = link.connection
        self._agent_run = ""
        self._resumed = False
        self._machine = ChartMachine(load_chart("attempt"))

    def deliver(self, connection: Connection, message: Message) -> None:
        """Queue a message unless it came over another connection than the attempt's."""
        if connection is self._connection:
            self._inbox.put_nowait(message)

    def cancel(self) -> None:
        """Ask the agent to stop the attempt."""
        if self._connection is not None:
            self._connection.post(Cancel(attempt=self.attempt))

    async def run(self, on_chunk: OnChunk) -> AttemptResult:
        """Run the attempt and pass its chunks to the handler in order."""
        if self._connection is None or self._connection.closed.is_set():
            return self.fail(FailureKind.DISCONNECTED)
        self._agent_run = self._connection.peer_run
        self._record.mark_sent()
        self._connection.post(self._make_execute())
        self._poll_connection()
        try:
            return await self._follow(on_chunk)
        finally:
            if self._poll_timer is not None:
                self._poll_timer.cancel()

    async def _follow(self, on_chunk: OnChunk) -> AttemptResult:
        while True:
            message = await self._inbox.get()
            event = "broken" if message is None else _EVENTS.get(type(message), "")
            result = (
                await self._handle_event(event, message, on_chunk) if event else None
            )
            if result is not None:
                return result

    async def _handle_event(
        self, event: str, message: Message | None, on_chunk: OnChunk
    ) -> AttemptResult | None:
        for action in self._machine.step(event):
            if action == "reconnect":
                found = await self._reconnect()
                following = "reconnected" if found else "lost"
                result = await self._handle_event(following, None, on_chunk)
            else:
                result = await self._execute_action(action, message, on_chunk)
            if result is not None:
                return result
        return None

    async def _execute_action(
        self, action: str, message: Message | None, on_chunk: OnChunk
    ) -> AttemptResult | None:
        if isinstance(message, Frame) and action == "take_frame":
            return await self._take_frame(message, on_chunk)
        if isinstance(message, End) and action == "finish":
            return self._finish(message)
        if isinstance(message, Refused) and action == "not_run":
            self._record_refusal()
            kind, retry_after_s = FailureKind.REFUSED, message.retry_after_s
            return self.fail(kind, retry_after_s, message.reason)
        if isinstance(message, Failed):
            if message.execution is Execution.NOT_RUN:
                self._record_refusal()
            return self.fail(FailureKind.UPSTREAM_ERROR, reason=message.reason)
        if action == "resume":
            self._resume()
            return None
        if action == "unknown":
            return self.fail(FailureKind.DISCONNECTED)
        return self._reject_answer()

    def _record_refusal(self) -> None:
        """Record that the attempt was not run, if the agent that got it says so.

        Another run of the agent, which took its place, can't know what became of it.
        """
        if not self._resumed or self._is_same_run():
            self._record.mark_refused()

    def _is_same_run(self) -> bool:
        assert self._connection is not None
        return self._agent_run != "" and self._connection.peer_run == self._agent_run

    def _poll_connection(self) -> None:
        # A timer per attempt, since a timeout around the receipt of each token took
        # a tenth of the entry's time per token.
        if self._is_lost() and not self._loss_reported:
            self._loss_reported = True
            self._inbox.put_nowait(None)
        self._poll_timer = asyncio.get_running_loop().call_later(
            POLL_INTERVAL_S, self._poll_connection
        )

    def _is_lost(self) -> bool:
        if self._connection is None or self._connection.closed.is_set():
            return True
        return self.link.connection not in (None, self._connection)

    async def _reconnect(self) -> bool:
        try:
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                await self.link.connected.wait()
        except TimeoutError:
            return False
        self._connection = self.link.connection
        self._loss_reported = False
        return self._connection is not None

    def _resume(self) -> None:
        assert self._connection is not None
        self._resumed = True
        self._connection.post(
            Resume(
                attempt=self.attempt,
                next_frame=self._assembler.next_frame,
                run=self._agent_run,
            )
        )

    def _finish(self, end: End) -> AttemptResult:
        if self._assembler.finish(end) is not None:
            return self._reject_answer()
        return Ok(end)

    def _reject_answer(self) -> AttemptResult:
        self.cancel()
        return self.fail(FailureKind.BAD_ANSWER)

    async def _take_frame(
        self, frame: Frame, on_chunk: OnChunk
    ) -> AttemptResult | None:
        self._record.mark_running()
        accepted = self._assembler.accept(frame)
        if isinstance(accepted, Violation):
            return self._reject_answer()
        for chunk in accepted:
            await on_chunk(chunk.payload)
            self.frames_delivered += 1
        if self._assembler.next_frame % ACK_INTERVAL_FRAMES == 0 and self._connection:
            next_frame = self._assembler.next_frame
            self._connection.post(Ack(attempt=self.attempt, next_frame=next_frame))
        return None

    def _make_execute(self) -> Execute:
        return Execute(
            attempt=self.attempt,
            work=self._work,
            method=self._call.method,
            path=self._call.path,
            headers=self._call.headers,
            body=self._call.body,
            time_left_s=self._work.answer_deadline_s - time.monotonic(),
            kv_source=self._prefilled.source if self._prefilled else "",
            kv_blocks=self._prefilled.blocks if self._prefilled else (),
        )

    def fail(
        self,
        kind: FailureKind,
        retry_after_s: float = 0.0,
        reason: str = "",
    ) -> AttemptResult:
        """Return a failed result of this attempt."""
        view = self.link.view
        assert view is not None
        return Err(
            AttemptFailure(
                upstream=view.upstream,
                kind=kind,
                execution=self._record.execution,
                frames_delivered=self.frames_delivered,
                retry_after_s=retry_after_s,
                reason=reason,
            )
        )
