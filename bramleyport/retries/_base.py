"""Interface of retry policies and their decisions."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from bramleyport.core import Execution, Explanation, Registry, UpstreamId, Work


class FailureKind(str, Enum):
    """Classify failed attempts."""

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
    frames_shown: int = 0
    retry_after_s: float = 0.0
    # What the agent said of a refusal or a failure.
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RetryNow:
    """Try the request again on another upstream."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the request its final answer now."""

    explanation: Explanation
    execution: Execution
    retry_after_s: float


class RetryPolicy(Protocol):
    """Decide what follows a failed attempt."""

    def record_request(self, now_s: float) -> None:
        """Count a first attempt towards the retry budget."""
        ...

    def next(
        self, attempts: int, work: Work, failure: AttemptFailure, now_s: float
    ) -> RetryNow | GiveUp:
        """Decide whether to try again after the given number of attempts."""
        ...


RETRY_POLICIES: Final[Registry[RetryPolicy]] = Registry("retry policy")


def is_repeatable(work: Work, failure: AttemptFailure) -> bool:
    """Return whether another attempt can't run anything twice or contradict."""
    if failure.execution is Execution.NOT_RUN:
        return True
    return work.idempotent and failure.frames_shown == 0
