"""Authenticated websocket connection between two processes."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from result import Err
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from bramleyport.core import ProcessId, RegionName, Revision, StepError, ZoneName
from bramleyport.telemetry import events, log_event
from bramleyport.transport._tls import TlsContexts
from bramleyport.wire import (
    BATCH_VERSION,
    PROTOCOL_MAX,
    CloseUnresponsive,
    Heartbeat,
    HeartbeatPolicy,
    Message,
    OpenReplacement,
    Received,
    SendHeartbeat,
    Sent,
    Session,
    Tick,
    decode_all,
    encode,
    join_batch,
)

MAX_POLL_INTERVAL_S: Final = 0.5
MAX_QUEUED_MESSAGES: Final = 20_000
# An engine emits the tokens of all its streams simultaneously. Their frames are sent in
# one websocket message, because a websocket message costs more than a frame.
MAX_BATCH_MESSAGES: Final = 64
MAX_BATCH_BYTES: Final = 64 * 1024

WebSocket = ClientConnection | ServerConnection
Handler = Callable[["Connection", Message], object]


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Describe this process to its peers."""

    process: ProcessId
    zone: ZoneName
    region: RegionName
    secret: bytes
    heartbeats: HeartbeatPolicy = field(default_factory=HeartbeatPolicy)
    incarnation: int = 0
    tls: TlsContexts | None = None


class Connection:
    """Represent a connection on which messages are exchanged with one peer."""

    def __init__(
        self,
        socket: WebSocket,
        peer: ProcessId,
        policy: HeartbeatPolicy,
        read_revision: Callable[[], Revision],
        incarnation: int = 0,
        version: int = PROTOCOL_MAX,
    ) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self.version = version
        self.make_heartbeat: Callable[[int], Heartbeat] | None = None
        self.closed = asyncio.Event()
        # The run of the agent at the other end, once received in `UpstreamInfo`.
        self.peer_run = ""
        self.on_suspect: Callable[[], None] | None = None
        self._socket = socket
        self._poll_interval_s = min(MAX_POLL_INTERVAL_S, policy.interval_s / 2)
        self._session = Session(policy, time.monotonic())
        self._read_revision = read_revision
        self._closing: asyncio.Future[None] | None = None
        self._sending = False
        self._outgoing: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    @property
    def suspect(self) -> bool:
        """Return whether the peer is unresponsive or the connection is closed."""
        return self.closed.is_set() or self._session.suspect

    def post(self, message: Message) -> None:
        """Queue a message for sending, or drop it if the connection is closed."""
        if self.closed.is_set():
            return
        try:
            self._outgoing.put_nowait(message)
        except asyncio.QueueFull:
            # Messages for a peer that reads nothing must not use up memory.
            self._closing = asyncio.ensure_future(self.close("send queue full"))

    async def run(self, handler: Handler) -> None:
        """Exchange messages until the connection closes."""
        tasks = [
            asyncio.ensure_future(self._receive(handler)),
            asyncio.ensure_future(self._send()),
            asyncio.ensure_future(self._run_heartbeats()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.closed.set()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.close("done")
            log_event(events.CONNECTION_CLOSED, peer=self.peer)

    async def flush(self) -> None:
        """Wait until all queued messages have been passed to the socket."""
        while self._sending or not self._outgoing.empty():
            if self.closed.is_set():
                return
            await asyncio.sleep(0.01)

    async def close(self, reason: str) -> None:
        """Close the socket and drop queued messages."""
        self.closed.set()
        # asyncio raises AttributeError when it aborts a transport that the peer reset
        # during a write.
        with suppress(AttributeError, ConnectionClosed):
            await self._socket.close(reason=reason[:100])

    async def _receive(self, handler: Handler) -> None:
        try:
            async for data in self._socket:
                self._session.step(Received(), time.monotonic())
                result = decode_all(data if isinstance(data, bytes) else data.encode())
                if isinstance(result, Err):
                    log_event(
                        events.MESSAGE_MALFORMED,
                        step="receive",
                        peer=self.peer,
                        reason=result.err_value,
                    )
                    return
                for message in result.ok_value:
                    handler(self, message)
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code == CloseCode.MESSAGE_TOO_BIG:
                log_event(
                    events.MESSAGE_MALFORMED,
                    step="receive",
                    peer=self.peer,
                    reason="frame exceeds the size limit",
                )
            return
        except Exception as error:  # a faulty message must not end the process
            log_event(events.HANDLER_FAILED, peer=self.peer, error=repr(error))

    async def _send(self) -> None:
        next_part: bytes | None = None
        try:
            while True:
                first = next_part or encode(await self._outgoing.get(), self.version)
                self._sending = True
                parts, next_part = self._collect_batch(first)
                await self._socket.send(join_batch(parts))
                self._session.step(Sent(), time.monotonic())
                self._sending = next_part is not None
        except ConnectionClosed:
            return

    def _collect_batch(self, first: bytes) -> tuple[list[bytes], bytes | None]:
        """Return the next messages to send, and one that no longer fitted, if any."""
        parts, size = [first], len(first)
        if self.version < BATCH_VERSION:
            return parts, None
        while len(parts) < MAX_BATCH_MESSAGES and not self._outgoing.empty():
            part = encode(self._outgoing.get_nowait(), self.version)
            size += len(part)
            if size > MAX_BATCH_BYTES:
                return parts, part
            parts.append(part)
        return parts, None

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._poll_interval_s)
            for action in self._session.step(Tick(), time.monotonic()):
                if isinstance(action, SendHeartbeat):
                    self.post(self._build_heartbeat(action.sequence))
                elif isinstance(action, OpenReplacement):
                    if self.on_suspect is not None:
                        self.on_suspect()
                elif isinstance(action, CloseUnresponsive):
                    log_event(
                        events.CONNECTION_TIMED_OUT,
                        step="heartbeat",
                        peer=self.peer,
                        silent_s=round(action.silent_s, 1),
                    )
                    return

    def _build_heartbeat(self, sequence: int) -> Heartbeat:
        if self.make_heartbeat is not None:
            return self.make_heartbeat(sequence)
        return Heartbeat(sequence=sequence, revision=self._read_revision())


def refuse_handshake(step: str, peer: str, reason: str) -> StepError:
    """Log a failed handshake step and return its error."""
    log_event(events.CONNECTION_REFUSED, step=step, peer=peer, reason=reason)
    return StepError(step, peer, reason)
