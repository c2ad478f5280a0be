"""Parse the requests of one connection, and count what they hold."""

from collections.abc import Callable
from typing import Any, Final

import h11

from bramleyport.http1._caller_messages import CallerRequest, ConnectionLimits

# What one parsed header takes besides its bytes: a tuple and two or three objects.
HEADER_OVERHEAD_BYTES: Final = 256
# Queued bytes that the parser gets at a time; it copies what it has more than once.
PIECE_BYTES: Final = 16_384


class RequestParser:
    """Represent the parser of a caller's connection and the request it reads."""

    def __init__(self, read_limits: Callable[[], ConnectionLimits]) -> None:
        self._read_limits = read_limits
        self._max_header_bytes = read_limits().max_header_bytes
        self.http = _make_parser(self._max_header_bytes)
        self.head: h11.Request | None = None
        # One buffer, since a list of tiny chunks takes many times their size.
        self._body = bytearray()
        # Received behind what the parser has, which gets them in pieces.
        self._queue = bytearray()
        # Bytes that the parser had left when it last waited or ended a request.
        self._rest_bytes = 0
        self.began_s = 0.0

    @property
    def has_buffered_bytes(self) -> bool:
        """Return whether bytes were received that were not parsed."""
        return bool(self._queue or self.http.trailing_data[0])

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait behind what the parser has."""
        return len(self._queue)

    @property
    def held_bytes(self) -> int:
        """Return how much memory the bytes and the unfinished request take."""
        buffered = self._rest_bytes + len(self._queue)
        return buffered + len(self._body) + _weigh_head(self.head)

    @property
    def exceeds_body_limit(self) -> bool:
        """Return whether the body is longer than allowed."""
        return len(self._body) > self._read_limits().max_body_bytes

    def receive(self, data: bytes) -> None:
        """Add bytes to the request that is being read."""
        if self._queue:
            self._queue += data
        else:
            self.http.receive_data(data)

    def queue(self, data: bytes) -> None:
        """Keep bytes of further requests."""
        self._queue += data

    def parse_next(self) -> Any:
        """Return the next event of the request that is being read."""
        event = self.http.next_event()
        while event is h11.NEED_DATA and self._queue:
            self.http.receive_data(bytes(self._queue[:PIECE_BYTES]))
            del self._queue[:PIECE_BYTES]
            event = self.http.next_event()
        if event is h11.NEED_DATA:
            self._rest_bytes = len(self.http.trailing_data[0])
        return event

    def add(self, event: Any) -> None:
        """Add the head or a part of the body to the request."""
        if isinstance(event, h11.Request):
            self.head = event
        elif isinstance(event, h11.Data):
            self._body += event.data

    def take_request(self, received_s: float) -> CallerRequest:
        """Return the complete request."""
        assert self.head is not None
        request = CallerRequest(
            method=self.head.method,
            target=self.head.target,
            headers=list(self.head.headers),
            body=bytes(self._body),
            began_s=self.began_s,
            received_s=received_s,
        )
        self.drop_request()
        self._rest_bytes = len(self.http.trailing_data[0])
        return request

    def drop_request(self) -> None:
        """Forget the request that is being read."""
        self.head = None
        if self._body:
            self._body = bytearray()

    def drop_queue(self) -> None:
        """Discard the bytes of further requests."""
        self._queue = bytearray()

    def drop_all(self) -> None:
        """Discard all bytes, since no further request is read."""
        self.drop_queue()
        self.drop_request()
        self._rest_bytes = 0

    def apply_header_limit(self) -> None:
        """Read a request under the limit in force when it begins, or a larger one."""
        max_bytes = self._read_limits().max_header_bytes
        if max_bytes == self._max_header_bytes:
            return
        if max_bytes < self._max_header_bytes and self.has_buffered_bytes:
            return
        received, _ = self.http.trailing_data
        self._max_header_bytes = max_bytes
        self.http = _make_parser(max_bytes)
        if received:
            self.http.receive_data(received)


def weigh_request(request: CallerRequest) -> int:
    """Return how much memory a request takes while it runs.

    Its body is there once more while it is written to an upstream.
    """
    return 2 * len(request.body) + HEADER_OVERHEAD_BYTES * len(request.headers)


def _weigh_head(head: h11.Request | None) -> int:
    return HEADER_OVERHEAD_BYTES * len(head.headers) if head is not None else 0


def _make_parser(max_header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
