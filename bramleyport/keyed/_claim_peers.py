"""Forwarding of claim changes to the entry that writes their log."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from result import Ok

from bramleyport.claims import (
    ClaimChange,
    ClaimDecisionKind,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    Decision,
    StoredAnswer,
    choose_writer,
)
from bramleyport.core import ProcessId
from bramleyport.keyed._claim_writer import ClaimResult, ForwardResult
from bramleyport.links._hub import PeerHub
from bramleyport.membership import Host, HostState, ProcessRole
from bramleyport.objectapi import StoreFailure
from bramleyport.telemetry import claim_events, log_event
from bramleyport.transport import Connection
from bramleyport.wire import (
    ClaimAction,
    ClaimDecision,
    ClaimForward,
    ClaimReply,
    Message,
)

CONNECT_POLLS: Final = 50
CONNECT_POLL_S: Final = 0.01
# While a writer works on a change, it reports so before the sender times out.
PENDING_INTERVAL_S: Final = 0.4
SILENCE_TIMEOUT_S: Final = 1.0
# A writer may first have to load a whole log.
FORWARD_TIMEOUT_S: Final = 10.0
# Waits count polls in place of time: after this process stood still, messages of the
# writer may lie unread, and its silence is not shown.
REPLY_POLL_S: Final = 0.1
# Time for which nothing is forwarded to a writer that did not answer.
AVOID_WRITER_S: Final = 5.0
# A slower refusal shows that the store hangs, so a direct write would hang as well.
QUICK_REFUSAL_LIMIT_S: Final = 1.0
MAX_SERVED: Final = 2_000
KEY_CHARS: Final = 32
MAX_ATTEMPT_CHARS: Final = 128
MAX_UNSENT: Final = 16

_NOT_SENT: Final = ForwardResult()
_KINDS: Final = {kind.value: kind for kind in ClaimDecisionKind}


@dataclass(slots=True)
class PendingForward:
    """Track a forwarded change until its decision arrives."""

    writer: ProcessId
    silent_s: float = 0.0
    waited_s: float = 0.0
    reply: "asyncio.Future[ClaimDecision]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ClaimPeers:
    """Forward changes to the writers of their logs, and write changes from others.

    A decision that arrives late, or again, is dropped. This is safe: by then the sender
    has written the change itself under the same attempt, and the log decides each
    attempt only once.
    """

    def __init__(self, own: ProcessId, hub: PeerHub) -> None:
        self.write: Callable[[ClaimChange], Awaitable[ClaimResult]] | None = None
        self._own = own
        self._hub = hub
        self._pending: dict[int, PendingForward] = {}
        self._count = 0
        self._avoid_until_s: dict[ProcessId, float] = {}
        self._served: set[asyncio.Task[Any]] = set()
        self._hosts: tuple[Host, ...] = ()
        self._writers: dict[int, ProcessId | None] = {}
        hub.on_claims = self.handle

    async def forward(self, log: int, change: ClaimChange) -> ForwardResult:
        """Forward a change to the writer of its log and return the result."""
        writer = self.find_writer(log)
        now_s = time.monotonic()
        if writer is None or self._avoid_until_s.get(writer, 0.0) > now_s:
            return _NOT_SENT
        connection = await self._connect(writer)
        if connection is None:
            self._avoid_writer(writer, log, "not connected")
            return _NOT_SENT
        self._count += 1
        number = self._count
        pending = PendingForward(writer)
        self._pending[number] = pending
        try:
            connection.post(make_forward(number, change))
            decision = await self._wait(pending, connection)
        finally:
            del self._pending[number]
        if decision is None:
            self._avoid_writer(writer, log, "no decision in time")
            return ForwardResult(in_doubt=True)
        if decision.reply is ClaimReply.FAILED:
            slow = pending.waited_s > QUICK_REFUSAL_LIMIT_S
            return ForwardResult(in_doubt=decision.in_doubt, refused=slow)
        kind = _KINDS.get(decision.decision)
        if kind is None:
            return ForwardResult(in_doubt=True)
        return ForwardResult(decision=Decision(kind=kind, segment=decision.segment))

    def find_writer(self, log: int) -> ProcessId | None:
        """Return the entry that writes a log, or None if it is this one."""
        hosts = self._hub.membership.hosts
        if hosts is not self._hosts:
            self._hosts, self._writers = hosts, {}
        if log not in self._writers:
            live = {
                host.process
                for host in hosts
                if host.role is ProcessRole.ENTRY and host.state is HostState.LIVE
            }
            chosen = choose_writer(log, live | {self._own})
            self._writers[log] = None if chosen == self._own else chosen
        return self._writers[log]

    def handle(self, connection: Connection, message: Message) -> None:
        """Process a forwarded change or the decision on one."""
        if isinstance(message, ClaimForward):
            self._handle_forward(connection, message)
        elif isinstance(message, ClaimDecision):
            pending = self._pending.get(message.number)
            if pending is None or pending.writer != connection.peer:
                return
            if message.reply is ClaimReply.PENDING:
                pending.silent_s = 0.0
            elif not pending.reply.done():
                pending.reply.set_result(message)

    async def _connect(self, writer: ProcessId) -> Connection | None:
        self._hub.request_link(writer)
        for _ in range(CONNECT_POLLS):
            connection = self._hub.find_connection(writer)
            if connection is not None:
                return connection
            await asyncio.sleep(CONNECT_POLL_S)
        return None

    async def _wait(
        self, pending: PendingForward, connection: Connection
    ) -> ClaimDecision | None:
        closed = asyncio.ensure_future(connection.closed.wait())
        either: set[asyncio.Future[Any]] = {pending.reply, closed}
        try:
            while not pending.reply.done():
                is_silent = pending.silent_s >= SILENCE_TIMEOUT_S
                if is_silent or pending.waited_s >= FORWARD_TIMEOUT_S or closed.done():
                    return None
                started_s = time.monotonic()
                await asyncio.wait(
                    either, timeout=REPLY_POLL_S, return_when=asyncio.FIRST_COMPLETED
                )
                elapsed_s = min(time.monotonic() - started_s, REPLY_POLL_S)
                pending.silent_s += elapsed_s
                pending.waited_s += elapsed_s
            return pending.reply.result()
        finally:
            closed.cancel()

    def _avoid_writer(self, writer: ProcessId, log: int, reason: str) -> None:
        self._avoid_until_s[writer] = time.monotonic() + AVOID_WRITER_S
        log_event(
            claim_events.CLAIM_FORWARD_FAILED, peer=writer, log=log, reason=reason
        )

    def _handle_forward(self, connection: Connection, message: ClaimForward) -> None:
        change = read_forward(message)
        if change is None or self.write is None or len(self._served) >= MAX_SERVED:
            connection.post(
                ClaimDecision(number=message.number, reply=ClaimReply.FAILED)
            )
            return
        task = asyncio.ensure_future(
            self._serve(connection, message.number, self.write(change))
        )
        self._served.add(task)
        task.add_done_callback(self._served.discard)

    async def _serve(
        self, connection: Connection, number: int, write: Awaitable[ClaimResult]
    ) -> None:
        writing = asyncio.ensure_future(write)
        while not (await asyncio.wait({writing}, timeout=PENDING_INTERVAL_S))[0]:
            connection.post(ClaimDecision(number=number, reply=ClaimReply.PENDING))
        connection.post(make_decision(number, writing.result()))


def make_decision(number: int, result: ClaimResult) -> ClaimDecision:
    """Return the message that carries a decision or its failure."""
    if isinstance(result, Ok):
        decision = result.ok_value
        return ClaimDecision(
            number=number,
            reply=ClaimReply.DECIDED,
            decision=decision.kind.value,
            segment=decision.segment,
        )
    in_doubt = result.err_value.failure is StoreFailure.UNKNOWN
    return ClaimDecision(number=number, reply=ClaimReply.FAILED, in_doubt=in_doubt)


def make_forward(number: int, change: ClaimChange) -> ClaimForward:
    """Return the message that carries a change."""
    if isinstance(change, ClaimRequest):
        return ClaimForward(
            number=number,
            action=ClaimAction.CLAIM,
            key=change.key,
            attempt=change.attempt,
            body_digest=change.body_digest,
            answer_s=change.answer_s,
            unsent=change.unsent,
        )
    if isinstance(change, ClaimRelease):
        return ClaimForward(
            number=number,
            action=ClaimAction.RELEASE,
            key=change.key,
            attempt=change.attempt,
        )
    answer = change.answer or StoredAnswer(status=0)
    return ClaimForward(
        number=number,
        action=ClaimAction.OUTCOME,
        key=change.key,
        attempt=change.attempt,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def read_forward(message: ClaimForward) -> ClaimChange | None:
    """Return the change that a message carries, or None if it is malformed."""
    key, attempt = message.key, message.attempt
    is_key_valid = len(key) == KEY_CHARS and set(key) <= set("0123456789abcdef")
    if (
        not is_key_valid
        or len(attempt) > MAX_ATTEMPT_CHARS
        or len(message.unsent) > MAX_UNSENT
    ):
        return None
    if message.action is ClaimAction.CLAIM:
        return ClaimRequest(
            key=key,
            body_digest=message.body_digest,
            attempt=attempt,
            answer_s=message.answer_s,
            unsent=message.unsent,
        )
    if message.action is ClaimAction.RELEASE:
        return ClaimRelease(key=key, attempt=attempt)
    answer = None
    if message.status:
        answer = StoredAnswer(
            status=message.status, headers=message.headers, body=message.body
        )
    return ClaimOutcome(key=key, attempt=attempt, answer=answer)
