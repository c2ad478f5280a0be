"""HTTP client of upstreams; its errors tell whether a call may have run."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from twisted.internet.error import ConnectError
from twisted.web.http_headers import Headers

from bramleyport.core import Execution, MalformedJsonError, parse_json
from bramleyport.transport import ConnectionEnd, make_http_client
from bramleyport.upstreams._body import (
    BodyReader,
    BodyTooLargeError,
    BodyTruncatedError,
)


class UpstreamError(Exception):
    """Report a failed call and whether it may have run."""

    def __init__(
        self,
        step: str,
        peer: str,
        reason: str,
        execution: Execution,
        status: int | None = None,
    ) -> None:
        super().__init__(f"{step} with {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.execution = execution
        self.status = status


# An error or a redirect may have no body; a success without one may have been cut.
MIN_BODILESS_STATUS: Final = 300
# Statuses by which an engine refuses a call before it begins to work on it. Others of
# the same class may follow work: 408 and 409 end a job that timed out, was cancelled or
# is there already.
REJECTION_STATUSES: Final = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.LENGTH_REQUIRED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.REQUEST_URI_TOO_LONG,
        HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.UNPROCESSABLE_ENTITY,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """Describe a response whose body is unread."""

    code: int
    headers: Headers
    original: Any
    end: ConnectionEnd

    def open_body(self) -> BodyReader:
        """Return a reader of the body."""
        may_be_empty = self.code >= MIN_BODILESS_STATUS
        reader = BodyReader(self.end, may_be_empty=may_be_empty)
        self.original.deliverBody(reader)
        return reader


class UpstreamHttpClient:
    """Represent one upstream to which HTTP requests are sent."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> UpstreamResponse:
        """Send a request and return the response with its body unread."""
        # The upstream may close a persistent connection at the moment when a call is
        # sent, which leaves open whether the call ran. Each call therefore opens its
        # own connection, whose end is recorded.
        end = ConnectionEnd()
        http, _ = make_http_client(persistent=False, end=end)
        deferred = http.request(
            method,
            self.base_url + path,
            headers=Headers({name: [text] for name, text in headers.items()}),
            data=body or None,
            unbuffered=True,
            allow_redirects=False,
        )
        try:
            response = await deferred.asFuture(asyncio.get_running_loop())
        except ConnectError as error:
            raise self._make_error(method, path, error, Execution.NOT_RUN) from error
        except Exception as error:  # Twisted raises many types for a failed exchange
            raise self._make_error(method, path, error, Execution.UNKNOWN) from error
        return UpstreamResponse(response.code, response.headers, response, end)

    async def request_json(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        rejections: frozenset[HTTPStatus] = REJECTION_STATUSES,
    ) -> Any:
        """Send a request and return its decoded JSON answer.

        An error status outside `rejections` leaves open whether the call ran.
        """
        headers = {"Content-Type": "application/json"}
        response = await self.request(method, path, headers, body)
        reader = response.open_body()
        try:
            content = await reader.read_all()
        except (BodyTooLargeError, BodyTruncatedError) as error:
            raise self._make_error(method, path, error, Execution.UNKNOWN) from error
        except asyncio.CancelledError:
            reader.stop()
            raise
        if response.code >= 400:
            raise UpstreamError(
                path,
                self.base_url,
                f"status {response.code}",
                determine_execution(response.code, rejections),
                response.code,
            )
        try:
            return parse_json(content)
        except MalformedJsonError as error:
            raise self._make_error(method, path, error, Execution.UNKNOWN) from error

    def _make_error(
        self, method: str, path: str, error: Exception, execution: Execution
    ) -> UpstreamError:
        return UpstreamError(f"{method} {path}", self.base_url, repr(error), execution)


def determine_execution(
    status: int, rejections: frozenset[HTTPStatus] = REJECTION_STATUSES
) -> Execution:
    """Return whether a call may have run that was answered with an error status."""
    return Execution.NOT_RUN if status in rejections else Execution.UNKNOWN
