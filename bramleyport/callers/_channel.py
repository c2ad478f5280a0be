"""HTTP connections of callers, with bounded bodies that are kept in memory."""

import asyncio
import io
import time
from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site
from zope.interface import implementer

from bramleyport.callers._render import render_error
from bramleyport.callers._request import make_refusal
from bramleyport.core import ErrorCode, ServeError

IDLE_TIMEOUT_S: Final = 60
# Age from which a connection that has carried no request counts as idle.
FIRST_REQUEST_S: Final = 1.0
POLL_INTERVAL_S: Final = 0.05


class CallerHttpRequest(Request):
    """Represent a request whose body is bounded and kept in memory.

    Twisted would write a body above 100 kB to a temporary file. Hosts have no disks.
    """

    max_body_bytes = 2_000_000
    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body of a known or unknown length."""
        self.content = io.BytesIO()
        if length is not None and length > self.max_body_bytes:
            self._refuse_size()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Add a part of the body, or refuse the request if the body is too large."""
        self._received_bytes += len(data)
        if self._received_bytes > self.max_body_bytes:
            self._refuse_size()
            return
        super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def _refuse_size(self) -> None:
        message = f"the body exceeds {self.max_body_bytes} bytes"
        _refuse_and_close(self.channel, make_refusal(ErrorCode.TOO_LARGE, message))


@implementer(IHalfCloseableProtocol)
class CallerChannel(HTTPChannel):
    """Represent a connection that answers invalid HTTP with JSON errors."""

    factory: "CallerSite"
    # Twisted declares its transports as interfaces without their methods.
    transport: Any
    _opened_s = 0.0
    _has_answered = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        self._opened_s = time.monotonic()
        self.factory.channels.add(self)
        super().connectionMade()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: N802, B008
        """Forget the connection."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Read the next request."""
        self._has_answered = True
        super().requestDone(request)  # type: ignore[no-untyped-call]

    def close_if_idle(self) -> None:
        """Close the connection, once its answers are written, if nothing is read."""
        if self._is_idle:
            # The next request may have arrived since the event loop read last.
            self.transport.doRead()
        age_s = time.monotonic() - self._opened_s
        if self._is_idle and (self._has_answered or age_s >= FIRST_REQUEST_S):
            self.loseConnection()  # type: ignore[no-untyped-call]

    def refuse_unread(self, error: ServeError) -> None:
        """Refuse a request that is not read to its end."""
        if not self._is_idle and not self._handlingRequest:
            _refuse_and_close(self, error)

    @property
    def _is_idle(self) -> bool:
        """Return whether no request is being read or served."""
        return not self.requests and not self._buffer

    def readConnectionLost(self) -> None:  # noqa: N802
        """Refuse a request if the caller stopped sending before its end."""
        if self.requests and not self._has_parsed_request():
            message = "the body ended before it was whole"
            _refuse_and_close(self, make_refusal(ErrorCode.MALFORMED, message))
        elif not self.requests:
            self.loseConnection()  # type: ignore[no-untyped-call]

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Close the connection when no more bytes can be written."""
        self.loseConnection()  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a request line or header that exceeds the line limit."""
        message = f"a header line exceeds {self.MAX_LENGTH} bytes"
        _refuse_and_close(self, make_refusal(ErrorCode.MALFORMED, message))

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        message = "the request is not valid HTTP"
        _refuse_and_close(self, make_refusal(ErrorCode.MALFORMED, message))

    def _has_parsed_request(self) -> bool:
        request: Any = self.requests[-1]
        return bool(getattr(request, "method", b"") not in (b"", b"(no method yet)"))


def _refuse_and_close(channel: Any, error: Any) -> None:
    body = render_error(error)
    head = (
        f"HTTP/1.1 {error.http_status} Refused\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    channel.transport.write(head.encode() + body)
    channel.transport.loseConnection()


class CallerSite(Site):
    """Track the connections of callers."""

    def __init__(self, resource: Any, **options: Any) -> None:
        super().__init__(resource, **options)  # type: ignore[no-untyped-call]
        self.channels: set[CallerChannel] = set()

    async def drain(self, until_s: float) -> None:
        """Close connections until none is open; return earlier if time is up."""
        while self.channels and time.monotonic() < until_s:
            for channel in list(self.channels):
                channel.close_if_idle()
            await asyncio.sleep(POLL_INTERVAL_S)

    def refuse_unread(self, error: ServeError) -> None:
        """Refuse the requests that are not read to their end."""
        for channel in list(self.channels):
            channel.refuse_unread(error)


def make_site(resource: Any, max_body_bytes: int) -> CallerSite:
    """Build the site that serves callers."""
    bounded_request = type(
        "BoundedRequest", (CallerHttpRequest,), {"max_body_bytes": max_body_bytes}
    )
    site = CallerSite(resource, requestFactory=bounded_request, timeout=IDLE_TIMEOUT_S)
    site.protocol = CallerChannel  # type: ignore[method-assign,assignment]
    return site
