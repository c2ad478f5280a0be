"""HTTP connections of callers, with bounded bodies that are kept in memory."""

import io
from typing import Any, Final

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site
from zope.interface import implementer

from bramleyport.callers._render import render_error
from bramleyport.callers._request import make_refusal
from bramleyport.core import ErrorCode

IDLE_TIMEOUT_S: Final = 60


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


def make_site(resource: Any, max_body_bytes: int) -> Site:
    """Build the site that serves callers."""
    bounded_request = type(
        "BoundedRequest", (CallerHttpRequest,), {"max_body_bytes": max_body_bytes}
    )
    site = Site(resource, requestFactory=bounded_request, timeout=IDLE_TIMEOUT_S)
    site.protocol = CallerChannel  # type: ignore[method-assign,assignment]
    return site
