"""Interface of retry policies and their decisions."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from bramleyport.core import Execution, Explanation, Registry, UpstreamId, Work


class FailureKind(str, Enum):
    """Represent the kinds of failed attempts."""

    REFUSED = "refused"
    DISCONNECTED = "disconnected"
    UPSTREAM_ERROR = "upstream_error"
    BAD_ANSWER = "bad_answer"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """Describe one failed attempt of a request."""

    upstream: UpstreamId
    kind: FailureKind
    execution: Execution
    frames_delivered: int = 0
    retry_after_s: float = 0.0
    # The reason that the agent gave for a refusal or a failure.
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RetryNow:
    """Represent the decision to retry a request on another upstream."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Represent the decision to answer a request with its last failure."""

    explanation: Explanation
    execution: Execution
    retry_after_s: float


class RetryPolicy(Protocol):
    """Decide whether a failed attempt is retried."""

    def record_request(self, now_s: float) -> None:
        """Count a first attempt towards the retry budget."""
        ...

    def decide(
        self, attempts: int, work: Work, failure: AttemptFailure, now_s: float
    ) -> RetryNow | GiveUp:
        """Decide whether to retry after the given number of attempts."""
        ...


RETRY_POLICIES: Final[Registry[RetryPolicy]] = Registry("retry policy")


def is_repeatable(work: Work, failure: AttemptFailure) -> bool:
    """Return whether a retry is safe.

    A retry must neither run work twice that is not idempotent, nor contradict a part of
    an answer that the caller already has.
    """
    if failure.execution is Execution.NOT_RUN:
        return True
    return work.idempotent and failure.frames_delivered == 0
