"""Events that a claim log processes and actions that it returns."""

from dataclasses import dataclass

from bramleyport.claims._changes import ClaimChange, Decision
from bramleyport.claims._segment import Segment


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRequested:
    """Request a change; its decision has the same number."""

    number: int
    change: ClaimChange


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangesRequested:
    """Request several changes at once."""

    changes: tuple[ChangeRequested, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstNumberRead:
    """Report the number of the log's first segment; 0 before any was deleted."""

    op: int
    first: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentRead:
    """Report a segment as read; None if its object does not exist."""

    op: int
    segment: Segment | None
    version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentWritten:
    """Report that a write took effect."""

    op: int
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentConflict:
    """Report that another writer changed the segment first."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """Report a failed call that certainly had no effect."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteInDoubt:
    """Report a write that may have taken effect, now or later."""

    op: int


StoreEvent = (
    FirstNumberRead
    | SegmentRead
    | SegmentWritten
    | SegmentConflict
    | CallFailed
    | WriteInDoubt
)
LogEvent = ChangesRequested | StoreEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadFirstNumber:
    """Read the number of the log's first segment."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadSegment:
    """Read a segment."""

    op: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteSegment:
    """Write a segment if it has the expected version; version 0 creates it."""

    op: int
    number: int
    expected: int
    segment: Segment


@dataclass(frozen=True, slots=True, kw_only=True)
class Trim:
    """Record the number of the first segment, then delete the segments before it."""

    first: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportDecision:
    """Report the durable decision on a change."""

    number: int
    decision: Decision


@dataclass(frozen=True, slots=True, kw_only=True)
class FailChange:
    """Report that a change failed; if in doubt, it may have been recorded."""

    number: int
    in_doubt: bool


LogAction = (
    ReadFirstNumber | ReadSegment | WriteSegment | Trim | ReportDecision | FailChange
)
