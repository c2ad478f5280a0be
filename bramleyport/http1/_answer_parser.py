"""Parse the answers on one connection within bounds.

A faulty upstream may send any number of interim answers, answers to other requests,
headers or bytes of framing. Each of them is bounded, and each call does a bounded
amount of work.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Final

import h11

from bramleyport.http1._messages import Answer, HttpRequest

# Applies to the status line with the headers, to trailers, and to the line that starts
# a chunk.
MAX_HEAD_BYTES: Final = 16_384
MAX_INTERIM_ANSWERS: Final = 8
# The protocol has no higher status; the library accepts three digits of any value.
MAX_STATUS: Final = 599
# Answers to other requests that are skipped before the expected answer.
MAX_FOREIGN_ANSWERS: Final = 4
MAX_FOREIGN_BYTES: Final = 1_048_576


class MalformedAnswerError(ValueError):
    """Report bytes that are not valid HTTP or exceed a bound."""


class SkippedEvent(Enum):
    """Classify events that are not part of the expected answer."""

    INTERIM = "interim"
    # Part of an answer to another request.
    FOREIGN = "foreign"


AnswerEvent = h11.Response | h11.Data | h11.EndOfMessage


class AnswerParser:
    """Represent the parser state of one connection to an upstream."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._http = _make_connection()
        self._request: HttpRequest | None = None
        self._matches: Callable[[Answer], bool] | None = None
        self._foreign = False
        self._foreign_answers = 0
        self._foreign_bytes = 0
        self._interim_answers = 0
        # Whether the end of the connection may be the end of the answer.
        self._may_end_here = False
        self._is_success = False

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return self._http.our_state is h11.IDLE

    @property
    def began(self) -> bool:
        """Return whether the status line and headers of an answer were read."""
        return self._http.their_state is not h11.SEND_RESPONSE

    @property
    def ended(self) -> bool:
        """Return whether the answer is complete."""
        return self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def can_end_with_connection(self, *, has_request: bool) -> bool:
        """Return whether the peer may end the body by closing the connection.

        A success without any body looks the same as one whose upstream stopped after
        the head, so it is not complete unless its framing says so. Nor is a success
        of a request that the peer's host did not receive whole (`has_request`); errors
        may be answered before.
        """
        may_end = self._may_end_here and (has_request or not self._is_success)
        return self._http.their_state is h11.SEND_BODY and may_end

    def start(
        self, request: HttpRequest, matches: Callable[[Answer], bool] | None
    ) -> bytes:
        """Return the bytes of a request; answers that don't match it are skipped."""
        self._request = request
        self._matches = matches
        self._foreign = False
        self._foreign_answers = 0
        self._foreign_bytes = 0
        self._interim_answers = 0
        return self._encode(request)

    def receive(self, data: bytes) -> None:
        """Add bytes from the peer; empty bytes mean the end of the connection."""
        self._http.receive_data(data)

    def parse_next(self) -> AnswerEvent | SkippedEvent | None:
        """Return the next event, or None if more bytes are needed."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedAnswerError(str(error)) from error
        if event in (h11.NEED_DATA, h11.PAUSED):
            return None
        if isinstance(event, h11.ConnectionClosed):
            return None
        if isinstance(event, h11.InformationalResponse):
            return self._skip_interim()
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise MalformedAnswerError(f"invalid status {event.status_code}")
            self._may_end_here = event.status_code >= 300
            self._is_success = event.status_code < 300
        elif isinstance(event, h11.Data):
            self._may_end_here = True
        return self._skip_foreign(event)

    def finish(self) -> bool:
        """Prepare for the next request; return whether bytes follow the answer."""
        rest, _ = self._http.trailing_data
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return bool(rest)

    def _skip_foreign(self, event: Any) -> AnswerEvent | SkippedEvent:
        """Return events of the expected answer and skip those of other answers."""
        if isinstance(event, h11.Response) and self._matches is not None:
            self._foreign = not self._matches(make_answer(event))
        if not self._foreign:
            assert isinstance(event, AnswerEvent)
            return event
        if isinstance(event, h11.Data):
            self._foreign_bytes += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._end_foreign()
        if self._foreign_bytes > MAX_FOREIGN_BYTES:
            raise MalformedAnswerError("the answer of another request is too long")
        return SkippedEvent.FOREIGN

    def _skip_interim(self) -> SkippedEvent:
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            raise MalformedAnswerError("too many interim answers")
        return SkippedEvent.INTERIM

    def _end_foreign(self) -> None:
        """Skip the end of another request's answer and expect the answer again."""
        assert self._request is not None
        self._foreign = False
        self._foreign_answers += 1
        if self._foreign_answers > MAX_FOREIGN_ANSWERS:
            raise MalformedAnswerError("too many answers of other requests")
        rest, _ = self._http.trailing_data
        self._http = _make_connection()
        self._encode(self._request)
        if rest:
            self._http.receive_data(rest)

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"DELETE", b"HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        if not any(name.lower() == b"host" for name, _ in headers):
            headers.append((b"Host", self._host.encode()))
        head = self._http.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        body = self._http.send(h11.Data(data=request.body)) if request.body else b""
        end = self._http.send(h11.EndOfMessage())
        return (head or b"") + (body or b"") + (end or b"")


def make_answer(event: h11.Response) -> Answer:
    """Return the status and headers of an answer."""
    return Answer(event.status_code, bytes(event.reason), list(event.headers))


def _make_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
