"""Relay an event stream to the caller in complete, ordered events."""

from typing import Final

from bramleyport.http1 import Answer, CallerConnection
from bramleyport.platform import encode_answer_headers, is_comment, read_event_id

_SEPARATOR: Final = b"\n\n"
# A longer event is treated as a fault of the upstream.
MAX_EVENT_BYTES: Final = 262_144


class BrokenStreamError(ValueError):
    """Report a stream that is incomplete, malformed or does not continue another."""


class EventRelay:
    """Represent the stream to one caller, fed by the events of one or more attempts."""

    def __init__(self, connection: CallerConnection, last_event: int) -> None:
        self.connection = connection
        # Number of the last event that the caller has received.
        self.last_event = last_event
        self.started = False
        self.events = 0
        # Whether the attempt has sent an event, also one that the caller has already.
        self.attempt_began = False
        self._buffer = b""
        self._answer_head: Answer | None = None
        # Whether each event forwarded so far had the number after that of the last one.
        self._consecutive = True
        # Set for events that can't be matched with those of another attempt.
        self._has_unnumbered_event = False
        # Set until an attempt that goes on after an event has sent the next one.
        self._expects_next_event = False

    def begin_attempt(self, head: Answer) -> None:
        """Start an attempt; the caller gets the answer head of the first one.

        Raise BrokenStreamError if the answer can't continue the stream.
        """
        self._buffer = b""
        self.attempt_began = False
        self._expects_next_event = self.started or self.last_event > 0
        if not self.started:
            self._answer_head = head
            return
        assert self._answer_head is not None
        if self._has_unnumbered_event:
            raise BrokenStreamError("stream has events without a number")
        if _read_media_type(head) != _read_media_type(self._answer_head):
            raise BrokenStreamError("answer has another content type than the stream")

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
        if self.started and self._expects_next_event:
            raise BrokenStreamError("resumed stream has no events")
        self._start()
        self.connection.finish_answer()

    def _check_length(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenStreamError(f"event is larger than {MAX_EVENT_BYTES} bytes")

    def _forward_event(self, event: bytes) -> bool:
        number = read_event_id(event)
        self.attempt_began |= not is_comment(event)
        if self._expects_next_event:
            self._check_next_event(event, number)
        if number is None:
            self._has_unnumbered_event |= not is_comment(event)
        elif number <= self.last_event:
            return False
        else:
            self._consecutive &= number == self.last_event + 1
            self.last_event = number
        self._start()
        self.connection.write_body(event)
        self.events += 1
        return number is not None

    def _check_next_event(self, event: bytes, number: int | None) -> None:
        """Check that an attempt goes on where the stream of another one broke off."""
        if is_comment(event):
            return
        if number is None:
            raise BrokenStreamError("resumed stream starts with an unnumbered event")
        # Only the events forwarded so far show whether numbers may be left out.
        gap = self.started and self._consecutive and number != self.last_event + 1
        if gap or number <= self.last_event:
            raise BrokenStreamError(
                f"resumed stream starts with event {number} after {self.last_event}"
            )
        self._expects_next_event = False

    def _start(self) -> None:
        if self.started or self._answer_head is None:
            return
        self.started = True
        headers = encode_answer_headers(self._answer_head.headers)
        self.connection.start_answer(
            self._answer_head.status, self._answer_head.reason, headers
        )


def _read_media_type(head: Answer) -> bytes:
    for name, value in head.headers:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return b""
