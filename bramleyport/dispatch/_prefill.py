"""Prefills on other engines, as the entry that requested them sees them."""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from bramleyport.core import AttemptId, Execution, Work
from bramleyport.dispatch._attempt import POLL_INTERVAL_S
from bramleyport.retries import AttemptFailure, FailureKind
from bramleyport.wire import Cancel, Failed, Message, Prefill, Prefilled, Refused

if TYPE_CHECKING:
    from bramleyport.dispatch._attempt import Call
    from bramleyport.links._agent_links import AgentLink
    from bramleyport.transport import Connection

# Failures of a prefill that do not show that the engine fails whole requests.
PREFILL_ONLY_FAILURES: Final = frozenset(
    {FailureKind.UPSTREAM_ERROR, FailureKind.TIMEOUT}
)

PrefillResult = Result[Prefilled, AttemptFailure]


class EntryPrefill:
    """Represent one prefill that this entry requested from an agent.

    A failed prefill is always reported as not run, since it produces no answer.
    """

    def __init__(
        self, attempt: AttemptId, link: "AgentLink", work: Work, call: "Call"
    ) -> None:
        self.attempt = attempt
        self.link = link
        self._work = work
        self._call = call
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._connection: Connection | None = link.connection

    def deliver(self, connection: "Connection", message: Message) -> None:
        """Queue a message unless it came over another connection than the attempt's."""
        if connection is self._connection:
            self._inbox.put_nowait(message)

    def cancel(self) -> None:
        """Ask the agent to stop the prefill, over the newest connection."""
        connection = self.link.connection or self._connection
        if connection is not None:
            connection.post(Cancel(attempt=self.attempt))

    async def run(self, limit_s: float) -> PrefillResult:
        """Run the prefill and cancel it if it exceeds the limit."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._run()
        except TimeoutError:
            return self._fail(FailureKind.TIMEOUT)

    async def _run(self) -> PrefillResult:
        if self._connection is None or self._connection.closed.is_set():
            return self._fail(FailureKind.DISCONNECTED)
        self._connection.post(
            Prefill(
                attempt=self.attempt,
                work=self._work,
                body=self._call.body,
                time_left_s=self._work.answer_deadline_s - time.monotonic(),
            )
        )
        while True:
            message = await self._receive()
            if message is None:
                return self._fail(FailureKind.DISCONNECTED)
            if isinstance(message, Prefilled):
                return Ok(message)
            if isinstance(message, Refused):
                return self._fail(FailureKind.REFUSED, message.retry_after_s)
            if isinstance(message, Failed):
                return self._fail(FailureKind.UPSTREAM_ERROR)

    async def _receive(self) -> Message | None:
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    return await self._inbox.get()
            except TimeoutError:
                if self._connection is None or self._connection.closed.is_set():
                    return None
                if self.link.connection not in (None, self._connection):
                    return None

    def _fail(self, kind: FailureKind, retry_after_s: float = 0.0) -> PrefillResult:
        view = self.link.view
        assert view is not None
        if kind in {FailureKind.TIMEOUT, FailureKind.DISCONNECTED}:
            self.cancel()
        return Err(
            AttemptFailure(
                upstream=view.upstream,
                kind=kind,
                execution=Execution.NOT_RUN,
                retry_after_s=retry_after_s,
            )
        )
