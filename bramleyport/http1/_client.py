"""Make HTTP/1.1 exchanges on connections whose state the caller can see."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientCreator, Protocol
from twisted.python.failure import Failure

from bramleyport.core import StepError
from bramleyport.fleet import Address
from bramleyport.http1._sockets import watch_peer

Headers = list[tuple[bytes, bytes]]

MAX_HEADER_BYTES: Final = 65_536


class ExchangeFailure(str, Enum):
    """Classify failed exchanges by what the peer may have done."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # The request was sent, no answer began.
    NO_ANSWER = "no_answer"
    # The answer broke off or was not HTTP.
    BROKEN = "broken"
    TIMEOUT = "timeout"


class ExchangeError(StepError):
    """Report an exchange without a complete answer."""

    def __init__(
        self, failure: ExchangeFailure, step: str, peer: str, reason: str
    ) -> None:
        super().__init__(step, peer, reason)
        self.failure = failure


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Hold one request as it is sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the status and headers of an answer, and its body where it was read."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""


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
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._events: deque[Any] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._error: ExchangeError | None = None
        self._request: HttpRequest | None = None
        self._matches: Callable[[Answer], bool] | None = None
        self._skipping = False

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
            and self._http.our_state is h11.IDLE
        )

    def send(
        self,
        request: HttpRequest,
        matches: Callable[[Answer], bool] | None = None,
    ) -> None:
        """Send a request; answers that don't match it are skipped."""
        self._request = request
        self._matches = matches
        self._events.clear()
        self._write(self._encode(request))

    async def read_head(self) -> Answer:
        """Wait for the status and headers of the answer."""
        while True:
            event = await self._next("read answer head")
            if isinstance(event, h11.Response):
                return _make_answer(event)

    async def read_chunk(self) -> bytes | None:
        """Wait for the next bytes of the body; None after the last."""
        event = await self._next("read answer body")
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        return bytes(event.data)

    async def read_body(self) -> bytes:
        """Wait for the whole body."""
        chunks = []
        while (chunk := await self.read_chunk()) is not None:
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
        if self._http.our_state is h11.IDLE:
            # Bytes after a complete answer belong to no request.
            self.tainted = True
            self.transport.abortConnection()
            return
        try:
            self._http.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as error:
            self._fail(ExchangeFailure.BROKEN, str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: N802, B008
        """Take the end of the connection."""
        self.closed = True
        if self._error is None and self._http.our_state is not h11.IDLE:
            self._end(clean=bool(reason.check(ConnectionDone)), text=str(reason.value))
        if self.on_closed is not None:
            self.on_closed(self)

    def _end(self, *, clean: bool, text: str) -> None:
        state = self._http.their_state
        if clean and state is h11.SEND_BODY:
            text = self._end_body() or text
        if self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._wake()
            return
        began = state is not h11.SEND_RESPONSE
        failure = ExchangeFailure.BROKEN if began else ExchangeFailure.NO_ANSWER
        self._fail(failure, text)

    def _end_body(self) -> str:
        """End a body that has no length; return the error where it has one."""
        try:
            self._http.receive_data(b"")
            self._pump()
        except h11.RemoteProtocolError as error:
            return str(error)
        return ""

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"DELETE", b"HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        if not any(name.lower() == b"host" for name, _ in headers):
            headers.append((b"Host", str(self.peer).encode()))
        head = self._http.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        body = self._http.send(h11.Data(data=request.body)) if request.body else b""
        end = self._http.send(h11.EndOfMessage())
        return (head or b"") + (body or b"") + (end or b"")

    def _write(self, data: bytes) -> None:
        self.transport.write(data)

    def _pump(self) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.ConnectionClosed):
                break
            self._take(event)
        self._wake()

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Response) and self._matches is not None:
            self._skipping = not self._matches(_make_answer(event))
            self.tainted |= self._skipping
        if not self._skipping:
            self._events.append(event)
        elif isinstance(event, h11.EndOfMessage):
            self._skip()

    def _skip(self) -> None:
        """Expect the answer again after one that belongs to another request."""
        assert self._request is not None
        rest, _ = self._http.trailing_data
        self._skipping = False
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._encode(self._request)
        if rest:
            self._http.receive_data(rest)

    def _finish(self) -> None:
        """Make the connection ready for the next exchange, or leave it unusable."""
        rest, _ = self._http.trailing_data
        if rest:
            self.tainted = True
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    async def _next(self, step: str) -> Any:
        while not self._events:
            if self._error is not None:
                raise self._error
            if self.closed:
                raise self._make_error(ExchangeFailure.BROKEN, step, "closed")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._events.popleft()

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


def _make_answer(event: h11.Response) -> Answer:
    return Answer(event.status_code, bytes(event.reason), list(event.headers))


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
            raise ExchangeError(
                ExchangeFailure.NOT_SENT, "connect", str(peer), repr(error)
            ) from error
        connection.opened_s = loop.time()
        return connection
