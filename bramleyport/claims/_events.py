"""Events that a claim log takes and actions that it returns."""

from dataclasses import dataclass

from bramleyport.claims._changes import ClaimChange, Decision
from bramleyport.claims._segment import Segment


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeAsked:
    """Ask for a change under a number that its decision will carry."""

    number: int
    change: ClaimChange


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangesAsked:
    """Ask for several changes at once."""

    changes: tuple[ChangeAsked, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstRead:
    """Report the number of the oldest segment that is kept, 0 at the beginning."""

    op: int
    first: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentRead:
    """Report a segment as read; None when there is no such object."""

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
    """Report a call that certainly had no effect."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteInDoubt:
    """Report a write that may have taken effect, now or later."""

    op: int


StoreEvent = (
    FirstRead
    | SegmentRead
    | SegmentWritten
    | SegmentConflict
    | CallFailed
    | WriteInDoubt
)
LogEvent = ChangesAsked | StoreEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadFirst:
    """Read the number of the oldest segment that is kept."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadSegment:
    """Read a segment."""

    op: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteSegment:
    """Write a segment if it has the version; version 0 creates it."""

    op: int
    number: int
    expected: int
    segment: Segment


@dataclass(frozen=True, slots=True, kw_only=True)
class Trim:
    """Delete the segments before a number, after recording it as the first."""

    first: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Decide:
    """Give the durable decision on a change."""

    number: int
    decision: Decision


@dataclass(frozen=True, slots=True, kw_only=True)
class FailChange:
    """Give up on a change; when in doubt, it may have been recorded."""

    number: int
    in_doubt: bool


LogAction = ReadFirst | ReadSegment | WriteSegment | Trim | Decide | FailChange
