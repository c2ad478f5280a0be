"""Requests and answers as they pass over a connection, and how exchanges fail."""

from dataclasses import dataclass
from enum import Enum

from bramleyport.core import StepError

Headers = list[tuple[bytes, bytes]]


class ExchangeFailure(str, Enum):
    """Classify failed exchanges by what the peer may have done."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # Likewise: no process listens at the peer's address.
    REFUSED = "refused"
    # The request was sent, no answer began.
    NO_ANSWER = "no_answer"
    # The answer broke off or was not HTTP.
    BROKEN = "broken"
    TIMEOUT = "timeout"


class ExchangeError(StepError):
    """Report an exchange without a complete answer."""

    def __init__(
        self, failure: ExchangeFailure, step: str, peer: str, reason: str
    ) -> None:
        super().__init__(step, peer, reason)
        self.failure = failure

    @property
    def unsent(self) -> bool:
        """Return whether no byte of the request was sent."""
        return self.failure in (ExchangeFailure.NOT_SENT, ExchangeFailure.REFUSED)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Hold one request as it is sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the status and headers of an answer, and its body where it was read."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""
