"""Errors that state the step and the peer at which they occurred."""

import math
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Final

from bramleyport.core._states import Execution

MAX_NUMBERS: Final = 8


class ErrorCode(str, Enum):
    """Classify the errors that callers receive."""

    MALFORMED = "malformed_request"
    TOO_LARGE = "request_too_large"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_RANK = "unknown_rank"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "request_in_progress"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    STORE_UNAVAILABLE = "store_unavailable"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE = "deadline_exceeded"
    STOPPING = "stopping"


_STATUSES = {
    ErrorCode.MALFORMED: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_RANK: 400,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.DEADLINE: 504,
    ErrorCode.STOPPING: 503,
}


# Callers take these statuses as a promise that the request was not and won't be run.
REFUSAL_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServeError:
    """Describe why a request got no answer, and whether it was run."""

    code: ErrorCode
    message: str
    execution: Execution
    step: str
    peer: str = ""
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status that the caller receives.

        An error of a request that may have run has no status of a refusal.
        """
        status = _STATUSES[self.code]
        if status in REFUSAL_STATUSES and self.execution is not Execution.NOT_RUN:
            return HTTPStatus.BAD_GATEWAY
        return status


class StepError(Exception):
    """Report the step and the peer at which an operation failed."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} with {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class SettingsError(StepError, ValueError):
    """Report settings that contradict each other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Describe a decision by its reason code and the numbers behind it."""

    reason: str
    numbers: dict[str, float] = field(default_factory=dict)

    def shorten(self) -> "Explanation":
        """Return a copy with few, rounded numbers, to be stored or sent to peers."""
        finite = [pair for pair in self.numbers.items() if math.isfinite(pair[1])]
        return Explanation(
            reason=self.reason,
            numbers={
                name: float(f"{value:.4g}") for name, value in finite[:MAX_NUMBERS]
            },
        )
