"""Pass on an event stream in whole events and in order."""

from typing import Final

from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, read_event_id

_END: Final = b"\n\n"
# A longer event is taken for a fault of its upstream.
MAX_EVENT_BYTES: Final = 262_144


class BrokenStreamError(ValueError):
    """Report a stream whose events are not whole or not in order."""


class EventRelay:
    """Write the events of one or more attempts to one caller."""

    def __init__(self, connection: CallerConnection, last_event: int) -> None:
        self.connection = connection
        # The last event that the caller has.
        self.last_event = last_event
        self.started = False
        self.events = 0
        self._buffer = b""
        self._head: Answer | None = None

    def begin_attempt(self, head: Answer) -> None:
        """Take the head of an attempt's answer; the first one's reaches the caller."""
        self._buffer = b""
        if not self.started:
            self._head = head

    def take(self, data: bytes) -> int:
        """Pass on the complete events in some bytes.

        Return how many of them are news: those without a number, such as comments,
        don't show that the upstream is getting on with its answer.
        """
        # Only the seam may complete a separator that began before.
        seen = max(0, len(self._buffer) - len(_END))
        self._buffer += data
        end = self._buffer.rfind(_END, seen)
        if end < 0:
            self._check_length()
            return 0
        whole = self._buffer[:end]
        self._buffer = self._buffer[end + len(_END) :]
        self._check_length()
        events = [event + _END for event in whole.split(_END)]
        return sum(self._pass_on(event) for event in events)

    def finish(self) -> None:
        """End the stream after its last event."""
        if self._buffer:
            raise BrokenStreamError("the stream ended within an event")
        self._start()
        self.connection.finish_answer()

    def _check_length(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenStreamError(f"an event is over {MAX_EVENT_BYTES} bytes")

    def _pass_on(self, event: bytes) -> bool:
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
        if self.started or self._head is None:
            return
        self.started = True
        headers = encode_answer_headers(self._head.headers)
        self.connection.start_answer(self._head.status, self._head.reason, headers)
