"""Requests, answers and failures of HTTP exchanges."""

from dataclasses import dataclass
from enum import Enum

from bramleyport.core import StepError

Headers = list[tuple[bytes, bytes]]


class ExchangeFailure(str, Enum):
    """Classify failed exchanges by how far they got."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # No byte was sent, since no process listens at the peer's address.
    REFUSED = "refused"
    # The request was sent, but no answer began.
    NO_ANSWER = "no_answer"
    # The answer was truncated or not valid HTTP.
    BROKEN = "broken"
    TIMEOUT = "timeout"


class ExchangeError(StepError):
    """Report an exchange that ended without a complete answer."""

    def __init__(
        self, failure: ExchangeFailure, step: str, peer: str, reason: str
    ) -> None:
        super().__init__(step, peer, reason)
        self._fields = (failure, step, peer, reason)
        self.failure = failure

    def copy(self) -> "ExchangeError":
        """Return an error to raise while this one is kept.

        Its traceback would keep the frames of the reader for as long as the error.
        """
        return ExchangeError(*self._fields)

    @property
    def unsent(self) -> bool:
        """Return whether no byte of this exchange's request was sent.

        The error may cross another exchange, of which it tells nothing.
        """
        return self.failure in (ExchangeFailure.NOT_SENT, ExchangeFailure.REFUSED)

    @property
    def answer_began(self) -> bool:
        """Return whether the head of an answer had arrived."""
        return self.failure is ExchangeFailure.BROKEN


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Describe one request to an upstream."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """Describe an answer; the body is empty if it was not read."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""
