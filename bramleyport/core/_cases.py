"""Outcomes of requests, and records of requests that did not end as expected."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bramleyport.core._ids import ProcessId, RequestId, Revision, ServiceName
from bramleyport.core._states import Execution, Rank


class Outcome(str, Enum):
    """Classify how a request ended, as counted in the status of its service record."""

    IN_TIME = "in_time"
    LATE = "late"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class CaseKind(str, Enum):
    """Classify why a request is recorded for explanation."""

    UNKNOWN = "unknown"
    LATE = "late"
    REJECTED = "rejected"
    RETRIED = "retried"


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSummary:
    """Describe how one attempt of a request ended."""

    upstream: str
    result: str = "ok"
    reason: str = ""
    execution: Execution = Execution.COMPLETED


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionSummary:
    """Describe one decision by its reason code and its numbers."""

    kind: str
    reason: str
    numbers: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestCase:
    """Describe one request that was rejected, retried, late or of unknown outcome."""

    request: RequestId
    service: ServiceName
    rank: Rank
    kind: CaseKind
    # In seconds since the Unix epoch, by the clock of the entry.
    ended_at: int
    entry: ProcessId
    code: str = "ok"
    step: str = ""
    message: str = ""
    execution: Execution = Execution.COMPLETED
    first_token_s: float = 0.0
    answer_s: float = 0.0
    target_first_token_s: float = 0.0
    target_answer_s: float = 0.0
    attempts: tuple[AttemptSummary, ...] = ()
    decisions: tuple[DecisionSummary, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LaggingProcess:
    """Identify a process that still uses an old revision of the records."""

    process: ProcessId
    revision: Revision
