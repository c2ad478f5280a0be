"""HTTP/1.1 client that exposes the state of its connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import h11
from twisted.internet import error as network_errors
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientCreator, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from bramleyport.fleet import Address
from bramleyport.http1._answer_parser import (
    AnswerEvent,
    AnswerParser,
    MalformedAnswerError,
    SkippedEvent,
    make_answer,
)
from bramleyport.http1._messages import (
    Answer,
    ExchangeError,
    ExchangeFailure,
    Headers,
    HttpRequest,
)
from bramleyport.http1._receiving import DEFAULT_MAX_BYTES, ReceiveContext
from bramleyport.http1._socket_options import (
    count_unacknowledged_bytes,
    count_unsent_bytes,
    enable_peer_timeout,
)

# Events of one connection that are processed before the event loop serves others.
EVENTS_PER_BATCH: Final = 64
# Unread bytes of answers at which reading from the peer is paused.
MAX_QUEUED_BYTES: Final = 262_144
# Names of requests that a connection keeps.
MAX_REQUEST_NAMES: Final = 8
# A larger answer counts as an error of its upstream, unless it is read in chunks.
MAX_ANSWER_BYTES: Final = 8_388_608


@implementer(IHalfCloseableProtocol)
class UpstreamConnection(Protocol):
    """Represent a connection to an upstream that carries one exchange at a time."""

    # Twisted declares its transports as interfaces without their methods.
    transport: Any = None

    def __init__(
        self,
        peer: Address,
        on_closed: "Callable[[UpstreamConnection], None] | None" = None,
        context: ReceiveContext | None = None,
    ) -> None:
        self.peer = peer
        self._on_closed = on_closed
        self._context = context or ReceiveContext()
        # Whether the body that an answer declares follows its head.
        self._expects_body = True
        # What the answer says of the length of its body, and what was read of it. The
        # frame of a reader would keep it for as long as the traceback of an error.
        self._declared_bytes: int | None = None
        self._body: list[bytes] = []
        self._read_bytes = 0
        self.opened_s = 0.0
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self.closed = False
        # Whether the peer's host had the whole request when the peer ended its side.
        self._peer_has_request = True
        # Set after bytes that belong to no exchange, or to one that the answer does not
        # name; the connection is not reused then.
        self.tainted = False
        # When it was shown which process the peer is, on this connection or, shortly
        # before this one opened, on another; None if it was not.
        self.process_shown_s: float | None = None
        # Headers after the body of the last answer that was read to its end.
        self.trailers: Headers = []
        # Requests that were sent on this connection, and the names of the last ones as
        # far as they have any. An answer that comes after the next one is not used.
        self.exchange_count = 0
        self.request_names: deque[str] = deque(maxlen=MAX_REQUEST_NAMES)
        self._parser = AnswerParser(str(peer))
        self._events: deque[AnswerEvent] = deque()
        self._queued_bytes = 0
        # Set while reading from the peer is paused.
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._error: ExchangeError | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the options of the socket."""
        enable_peer_timeout(self.transport)

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may start on this connection."""
        return (
            not self.closed
            and not self.tainted
            and self._error is None
            and self._parser.idle
        )

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a part of the last request waits for the peer to read."""
        return count_unsent_bytes(self.transport) > 0

    @property
    def may_carry_other_answers(self) -> bool:
        """Return whether an answer may belong to another than the last request."""
        return self.tainted or self.exchange_count > 1

    def send(
        self,
        request: HttpRequest,
        matches: Callable[[Answer], bool] | None = None,
        on_write: Callable[[], None] | None = None,
    ) -> None:
        """Send a request; answers that don't match it are skipped.

        `on_write` is called when its first byte is about to be written.
        """
        self._drop_received()
        self._declared_bytes = None
        self._expects_body = request.method != b"HEAD"
        data = self._parser.start(request, matches)
        self.exchange_count += 1
        self.trailers = []
        if on_write is not None:
            on_write()
        self.transport.write(data)

    async def read_head(self) -> Answer:
        """Wait for the status and headers of the answer."""
        event = await self._wait_for_event("read answer head")
        assert isinstance(event, h11.Response)
        return make_answer(event)

    async def read_chunk(self) -> bytes | None:
        """Wait for the next bytes of the body; return None at its end."""
        event = await self._wait_for_event("read answer body")
        if isinstance(event, h11.EndOfMessage):
            self.trailers = list(event.headers)
            self._finish()
            return None
        assert isinstance(event, h11.Data)
        return bytes(event.data)

    async def read_body(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Wait for the complete body."""
        self._check_size(self._declared_bytes or 0, max_bytes)
        while (chunk := await self.read_chunk()) is not None:
            self._body.append(chunk)
            self._read_bytes += len(chunk)
            self._check_size(self._read_bytes, max_bytes)
            self._report_held()
        body = b"".join(self._body)
        self._drop_received()
        return body

    def _check_size(self, size: int, max_bytes: int) -> None:
        if size > max_bytes:
            reason = f"over {max_bytes} bytes"
            raise self._make_error(ExchangeFailure.BROKEN, "read body", reason)

    @property
    def all_read(self) -> bool:
        """Return whether all bytes of the answer that have arrived were read."""
        return not self._events and not self._paused

    @property
    def length_is_known(self) -> bool:
        """Return whether the answer has said how long it is."""
        return self._declared_bytes is not None

    def give_way(self) -> None:
        """Drop the answer, since memory is used up."""
        held = self._queued_bytes + self._read_bytes
        self._fail(ExchangeFailure.BROKEN, f"memory is used up, {held} bytes dropped")
        self._drop_received()
        self._abort_transport()

    def _report_held(self) -> None:
        """Report what is held; this may drop the answer."""
        self._context.budget.hold(self, self._queued_bytes + self._read_bytes)

    def _drop_received(self) -> None:
        """Drop what was received, since nobody reads it any more."""
        self._events.clear()
        self._body.clear()
        self._queued_bytes = self._read_bytes = 0
        self._report_held()

    def abort(self) -> None:
        """Close the connection at once, so that the peer stops its work."""
        # A call keeps the connections that it has used until it ends.
        self.tainted = True
        self._drop_received()
        self._parser = AnswerParser(str(self.peer))
        self._abort_transport()

    def _abort_transport(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        if not self.closed:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the peer."""
        if self._error is not None:
            return
        if self._parser.idle:
            # Bytes after a complete answer belong to no request.
            self.tainted = True
            self.transport.abortConnection()
            return
        if self._parser.ended:
            # The reader has not consumed the answer yet, so the bytes after it stay
            # unread.
            self.tainted = True
            self._set_reading(reading=False)
            return
        self._parser.receive(data)
        self._process_events()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection of a peer that has ended its side."""
        unread = count_unacknowledged_bytes(self.transport)
        self._peer_has_request = not (unread or self.has_unsent_bytes)
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side does not end before the peer."""

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: N802, B008
        """Process the end of the connection."""
        self.closed = True
        self._context.turns.discard(self)
        if self._error is None and not self._parser.idle:
            self._handle_close(
                clean=bool(reason.check(ConnectionDone)), text=str(reason.value)
            )
        if self._on_closed is not None:
            self._on_closed(self)

    def _handle_close(self, *, clean: bool, text: str) -> None:
        try:
            self._process_all()
            if clean and self._parser.can_end_with_connection(
                has_request=self._peer_has_request
            ):
                self._parser.receive(b"")
                self._process_all()
        except MalformedAnswerError as error:
            text = str(error)
        if self._parser.ended:
            self._wake_reader()
            return
        began = self._parser.began
        failure = ExchangeFailure.BROKEN if began else ExchangeFailure.NO_ANSWER
        self._fail(failure, text)

    def _process_events(self) -> None:
        """Process a batch of events, then schedule the next one or wait for bytes."""
        self._context.turns.discard(self)
        try:
            more = self._process_batch()
        except MalformedAnswerError as error:
            self._fail(ExchangeFailure.BROKEN, str(error))
            # What was received before is still read.
            self._abort_transport()
            return
        self._wake_reader()
        full = self._queued_bytes >= MAX_QUEUED_BYTES
        self._set_reading(reading=not (more or full))
        if more and not full:
            self._context.turns.add(self, self._process_events)

    def _process_batch(self) -> bool:
        """Process up to one batch of events; return whether there may be more."""
        for _ in range(EVENTS_PER_BATCH):
            if self._error is not None:
                return False
            if self._queued_bytes >= MAX_QUEUED_BYTES:
                return True
            if not self._process_one():
                return False
        return True

    def _process_all(self) -> None:
        while self._error is None and self._process_one():
            continue

    def _process_one(self) -> bool:
        event = self._parser.parse_next()
        if event is None:
            return False
        if isinstance(event, SkippedEvent):
            self.tainted |= event is SkippedEvent.FOREIGN
            return True
        self._events.append(event)
        if isinstance(event, h11.Data):
            self._queued_bytes += len(event.data)
            self._report_held()
        elif isinstance(event, h11.Response) and self._expects_body:
            self._declared_bytes = _read_length(event)
        return True

    def _set_reading(self, *, reading: bool) -> None:
        if self.closed or reading != self._paused:
            return
        self._paused = not reading
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _finish(self) -> None:
        """Prepare the connection for the next exchange if it can be reused."""
        self.tainted |= self._parser.finish()
        self._set_reading(reading=True)

    async def _wait_for_event(self, step: str) -> AnswerEvent:
        while not self._events:
            if self._error is not None:
                raise self._error.copy()
            if self.closed:
                raise self._make_error(ExchangeFailure.BROKEN, step, "closed")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._record_read(len(event.data))
        return event

    def _record_read(self, size: int) -> None:
        was_full = self._queued_bytes >= MAX_QUEUED_BYTES
        self._queued_bytes -= size
        self._report_held()
        if was_full and self._queued_bytes < MAX_QUEUED_BYTES and not self.closed:
            self._context.turns.add(self, self._process_events)

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, failure: ExchangeFailure, reason: str) -> None:
        if self._error is None:
            self._error = self._make_error(failure, "read answer", reason)
        self._wake_reader()

    def _make_error(
        self, failure: ExchangeFailure, step: str, reason: str
    ) -> ExchangeError:
        return ExchangeError(failure, step, str(self.peer), reason)


def _read_length(event: h11.Response) -> int | None:
    """Return the length that an answer declares; the parser has checked it."""
    if event.status_code in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return None
    for name, value in event.headers:
        if name == b"content-length":
            return int(value)
    return None


class HttpClient:
    """Represent the client side of HTTP on one reactor."""

    def __init__(self, reactor: Any, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._reactor = reactor
        self._context = ReceiveContext(max_bytes)

    @property
    def received_bytes(self) -> int:
        """Return the bytes of answers that all connections hold."""
        return self._context.budget.used_bytes

    def make_connection(
        self,
        peer: Address,
        on_closed: Callable[[UpstreamConnection], None] | None = None,
    ) -> UpstreamConnection:
        """Return a connection that is not open yet."""
        return UpstreamConnection(peer, on_closed, self._context)

    async def connect(self, peer: Address, timeout_s: float) -> UpstreamConnection:
        """Return a new connection; if that fails, nothing was sent."""
        connection = self.make_connection(peer)
        await self.open(connection, timeout_s)
        return connection

    async def open(self, connection: UpstreamConnection, timeout_s: float) -> None:
        """Open a connection; if that fails, nothing was sent."""
        loop = asyncio.get_running_loop()
        peer = connection.peer
        # Twisted's endpoints would load TLS libraries, which take memory and time at
        # startup.
        creator = ClientCreator(self._reactor, lambda: connection)
        try:
            await creator.connectTCP(peer.host, peer.port, timeout=timeout_s).asFuture(
                loop
            )
        except Exception as error:  # Twisted raises many types for a failed connect
            refused = isinstance(error, network_errors.ConnectionRefusedError)
            failure = ExchangeFailure.REFUSED if refused else ExchangeFailure.NOT_SENT
            raise ExchangeError(failure, "connect", str(peer), repr(error)) from error
        if connection.closed:
            reason = "closed by the peer as it opened"
            raise ExchangeError(ExchangeFailure.NOT_SENT, "connect", str(peer), reason)
        connection.opened_s = loop.time()
