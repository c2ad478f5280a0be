"""Make HTTP/1.1 exchanges on connections whose state the caller can see."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import h11
from twisted.internet import error as network_errors
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientCreator, Protocol
from twisted.python.failure import Failure

from bramleyport.fleet import Address
from bramleyport.http1._answers import (
    AnswerEvent,
    AnswerParser,
    MalformedAnswerError,
    Skipped,
    make_answer,
)
from bramleyport.http1._messages import (
    Answer,
    ExchangeError,
    ExchangeFailure,
    HttpRequest,
)
from bramleyport.http1._sockets import watch_peer

# Events that are taken from one connection before others have their turn.
EVENTS_PER_TURN: Final = 64
# Bytes that wait to be read, beyond which the peer is not listened to.
QUEUE_BYTES: Final = 262_144
# A whole answer beyond this is taken for a fault of its upstream.
MAX_ANSWER_BYTES: Final = 8_388_608


class UpstreamConnection(Protocol):
    """Carry one exchange at a time over one connection."""

    # Twisted declares its transports as interfaces without their methods.
    transport: Any

    def __init__(self, peer: Address) -> None:
        self.peer = peer
        self.opened_s = 0.0
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self.closed = False
        # Bytes that belong to no exchange make the connection unusable afterwards.
        self.tainted = False
        self.on_closed: Callable[[UpstreamConnection], None] | None = None
        self._parser = AnswerParser(str(peer))
        self._events: deque[AnswerEvent] = deque()
        self._queued_bytes = 0
        # Set while the peer is not listened to.
        self._paused = False
        self._turn: asyncio.Handle | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: ExchangeError | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the socket."""
        watch_peer(self.transport)

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may start."""
        return (
            not self.closed
            and not self.tainted
            and self._error is None
            and self._parser.idle
        )

    def send(
        self,
        request: HttpRequest,
        matches: Callable[[Answer], bool] | None = None,
    ) -> None:
        """Send a request; answers that don't match it are skipped."""
        self._events.clear()
        self._queued_bytes = 0
        self.transport.write(self._parser.start(request, matches))

    async def read_head(self) -> Answer:
        """Wait for the status and headers of the answer."""
        event = await self._next("read answer head")
        assert isinstance(event, h11.Response)
        return make_answer(event)

    async def read_chunk(self) -> bytes | None:
        """Wait for the next bytes of the body; None after the last."""
        event = await self._next("read answer body")
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        assert isinstance(event, h11.Data)
        return bytes(event.data)

    async def read_body(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Wait for the whole body."""
        chunks = []
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            size += len(chunk)
            if size > max_bytes:
                reason = f"over {max_bytes} bytes"
                raise self._make_error(ExchangeFailure.BROKEN, "read body", reason)
            chunks.append(chunk)
        return b"".join(chunks)

    def abort(self) -> None:
        """Close at once, so that the peer stops its work."""
        if not self.closed:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        if not self.closed:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the peer."""
        if self._error is not None:
            return
        if self._parser.idle:
            # Bytes after a complete answer belong to no request.
            self.tainted = True
            self.transport.abortConnection()
            return
        if self._parser.ended:
            # The answer is still being read; what follows it is left unread.
            self.tainted = True
            self._listen(listening=False)
            return
        self._parser.receive(data)
        self._pump()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: N802, B008
        """Take the end of the connection."""
        self.closed = True
        self._cancel_turn()
        if self._error is None and not self._parser.idle:
            self._end(clean=bool(reason.check(ConnectionDone)), text=str(reason.value))
        if self.on_closed is not None:
            self.on_closed(self)

    def _end(self, *, clean: bool, text: str) -> None:
        try:
            self._take_all()
            if clean and self._parser.ends_with_connection:
                self._parser.receive(b"")
                self._take_all()
        except MalformedAnswerError as error:
            text = str(error)
        if self._parser.ended:
            self._wake()
            return
        began = self._parser.began
        failure = ExchangeFailure.BROKEN if began else ExchangeFailure.NO_ANSWER
        self._fail(failure, text)

    def _pump(self) -> None:
        """Take events until there are no more, too many, or enough for one turn."""
        self._cancel_turn()
        try:
            more = self._take_some()
        except MalformedAnswerError as error:
            self._fail(ExchangeFailure.BROKEN, str(error))
            self.abort()
            return
        self._wake()
        full = self._queued_bytes >= QUEUE_BYTES
        self._listen(listening=not (more or full))
        if more and not full:
            self._turn = asyncio.get_running_loop().call_soon(self._pump)

    def _take_some(self) -> bool:
        """Take the events of one turn; return whether there may be more."""
        for _ in range(EVENTS_PER_TURN):
            if self._queued_bytes >= QUEUE_BYTES:
                return True
            if not self._take_one():
                return False
        return True

    def _take_all(self) -> None:
        while self._take_one():
            continue

    def _take_one(self) -> bool:
        event = self._parser.take()
        if event is None:
            return False
        if isinstance(event, Skipped):
            self.tainted |= event is Skipped.FOREIGN
            return True
        self._events.append(event)
        if isinstance(event, h11.Data):
            self._queued_bytes += len(event.data)
        return True

    def _listen(self, *, listening: bool) -> None:
        if self.closed or listening != self._paused:
            return
        self._paused = not listening
        if listening:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _cancel_turn(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None

    def _finish(self) -> None:
        """Make the connection ready for the next exchange, or leave it unusable."""
        self.tainted |= self._parser.finish()
        self._listen(listening=True)

    async def _next(self, step: str) -> AnswerEvent:
        while not self._events:
            if self._error is not None:
                raise self._error
            if self.closed:
                raise self._make_error(ExchangeFailure.BROKEN, step, "closed")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._note_read(len(event.data))
        return event

    def _note_read(self, size: int) -> None:
        was_full = self._queued_bytes >= QUEUE_BYTES
        self._queued_bytes -= size
        if was_full and self._queued_bytes < QUEUE_BYTES and not self.closed:
            self._turn = asyncio.get_running_loop().call_soon(self._pump)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, failure: ExchangeFailure, reason: str) -> None:
        if self._error is None:
            self._error = self._make_error(failure, "read answer", reason)
        self._wake()

    def _make_error(
        self, failure: ExchangeFailure, step: str, reason: str
    ) -> ExchangeError:
        return ExchangeError(failure, step, str(self.peer), reason)


class HttpClient:
    """Open connections to peers."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    async def connect(self, peer: Address, timeout_s: float) -> UpstreamConnection:
        """Open a connection; on failure nothing was sent."""
        loop = asyncio.get_running_loop()
        # Endpoints would load TLS libraries, which take time at start and memory.
        creator = ClientCreator(self._reactor, UpstreamConnection, peer)
        try:
            connection: UpstreamConnection = await creator.connectTCP(
                peer.host, peer.port, timeout=timeout_s
            ).asFuture(loop)
        except Exception as error:  # Twisted raises many types for a failed connect
            refused = isinstance(error, network_errors.ConnectionRefusedError)
            failure = ExchangeFailure.REFUSED if refused else ExchangeFailure.NOT_SENT
            raise ExchangeError(failure, "connect", str(peer), repr(error)) from error
        connection.opened_s = loop.time()
        return connection
