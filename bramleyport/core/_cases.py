"""How requests ended, and what is kept of those that did not end well."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bramleyport.core._ids import ProcessId, RequestId, Revision, ServiceName
from bramleyport.core._states import Execution, Rank


class Outcome(str, Enum):
    """Name how a request ended, as its record's status counts it."""

    IN_TIME = "in_time"
    LATE = "late"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class CaseKind(str, Enum):
    """Name why a request is kept for explanation."""

    UNKNOWN = "unknown"
    LATE = "late"
    REJECTED = "rejected"
    RETRIED = "retried"


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNote:
    """Hold how one attempt of a request ended."""

    upstream: str
    result: str = "ok"
    reason: str = ""
    execution: Execution = Execution.COMPLETED


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionNote:
    """Hold the reason code of one decision and its numbers."""

    kind: str
    reason: str
    numbers: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestCase:
    """Explain one request that was rejected, retried, late or left unknown."""

    request: RequestId
    service: ServiceName
    rank: Rank
    kind: CaseKind
    # Seconds since the epoch, by the clock of the entry.
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
    attempts: tuple[AttemptNote, ...] = ()
    decisions: tuple[DecisionNote, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LaggingProcess:
    """Name a process that has an old revision of the records in force."""

    process: ProcessId
    revision: Revision
