"""Pass on an event stream in whole events and in order."""

from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, read_event_id

_END = b"\n\n"


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
        self._rest = b""
        self._head: Answer | None = None

    def begin_attempt(self, head: Answer) -> None:
        """Take the head of an attempt's answer; the first one's reaches the caller."""
        self._rest = b""
        if not self.started:
            self._head = head

    def take(self, data: bytes) -> int:
        """Pass on the complete events in some bytes and return their number."""
        self._rest += data
        whole, separator, rest = self._rest.rpartition(_END)
        if not separator:
            return 0
        self._rest = rest
        events = [event + _END for event in whole.split(_END)]
        return sum(self._pass_on(event) for event in events)

    def finish(self) -> None:
        """End the stream after its last event."""
        if self._rest:
            raise BrokenStreamError("the stream ended within an event")
        self._start()
        self.connection.finish_answer()

    def _pass_on(self, event: bytes) -> bool:
        number = read_event_id(event)
        if number is not None:
            if number <= self.last_event:
                return False
            self.last_event = number
        self._start()
        self.connection.write_body(event)
        self.events += 1
        return True

    def _start(self) -> None:
        if self.started or self._head is None:
            return
        self.started = True
        headers = encode_answer_headers(self._head.headers)
        self.connection.start_answer(self._head.status, self._head.reason, headers)
