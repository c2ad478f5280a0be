"""Relay an event stream to the caller in complete, ordered events."""

from typing import Final

from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, read_event_id

_SEPARATOR: Final = b"\n\n"
# A longer event is treated as a fault of the upstream.
MAX_EVENT_BYTES: Final = 262_144


class BrokenStreamError(ValueError):
    """Report a stream with an incomplete or oversized event."""


class EventRelay:
    """Represent the stream to one caller, fed by the events of one or more attempts."""

    def __init__(self, connection: CallerConnection, last_event: int) -> None:
        self.connection = connection
        # Number of the last event that the caller has received.
        self.last_event = last_event
        self.started = False
        self.events = 0
        self._buffer = b""
        self._answer_head: Answer | None = None

    def begin_attempt(self, head: Answer) -> None:
        """Start an attempt; the caller gets the answer head of the first one."""
        self._buffer = b""
        if not self.started:
            self._answer_head = head

    def relay_events(self, data: bytes) -> int:
        """Forward the complete events in the data and return how many are new.

        Events without a number, such as comments, are not counted: they do not show
        that the upstream is making progress.
        """
        # The buffer has no separator, but one may span the buffer and the new data.
        search_start = max(0, len(self._buffer) - len(_SEPARATOR))
        self._buffer += data
        end = self._buffer.rfind(_SEPARATOR, search_start)
        if end < 0:
            self._check_length()
            return 0
        complete = self._buffer[:end]
        self._buffer = self._buffer[end + len(_SEPARATOR) :]
        self._check_length()
        events = [event + _SEPARATOR for event in complete.split(_SEPARATOR)]
        return sum(self._forward_event(event) for event in events)

    def finish(self) -> None:
        """End the stream after its last event."""
        if self._buffer:
            raise BrokenStreamError("stream ended in the middle of an event")
        self._start()
        self.connection.finish_answer()

    def _check_length(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenStreamError(f"event is larger than {MAX_EVENT_BYTES} bytes")

    def _forward_event(self, event: bytes) -> bool:
        number = read_event_id(event)
        if number is not None:
            if number <= self.last_event:
                return False
            self.last_event = number
        self._start()
        self.connection.write_body(event)
        self.events += 1
        return number is not None

    def _start(self) -> None:
        if self.started or self._answer_head is None:
            return
        self.started = True
        headers = encode_answer_headers(self._answer_head.headers)
        self.connection.start_answer(
            self._answer_head.status, self._answer_head.reason, headers
        )
