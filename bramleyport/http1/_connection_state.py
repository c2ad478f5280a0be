"""Name the states of a caller's connection."""

from enum import Enum


class ConnectionState(Enum):
    """Represent who may answer on a caller's connection."""

    # No handler has the next request, so the connection itself may refuse it.
    READING = "reading"
    # The next request is not begun before the caller has read more answers.
    WAITING = "waiting"
    # A handler was given the request and has not begun.
    ACCEPTED = "accepted"
    # The handler alone answers: the request may have run.
    SERVING = "serving"
    # What was written is sent, and nothing more is read.
    CLOSING = "closing"
    # Nothing can be written.
    CLOSED = "closed"

    @property
    def has_request(self) -> bool:
        """Return whether a handler has a request."""
        return self in (ConnectionState.ACCEPTED, ConnectionState.SERVING)
