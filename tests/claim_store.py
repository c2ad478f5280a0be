"""In-memory store of one claim log that tracks the expected claims."""

from typing import Any

from bramleyport.claims import (
    ChangeRequested,
    ChangesRequested,
    ClaimState,
    FirstNumberRead,
    ReadFirstNumber,
    ReadSegment,
    ReportDecision,
    Segment,
    SegmentConflict,
    SegmentRead,
    SegmentWritten,
    Trim,
    WriteSegment,
    read_segment,
    write_segment,
)
from bramleyport.claims._index import apply_entry
from tests.simulation import InvariantError

SEGMENT_BYTES = 900


class LogStore:
    """Store the segments and the claim of each key that results from them."""

    def __init__(self) -> None:
        self.first = 0
        self.objects: dict[int, tuple[int, Segment]] = {}
        self.rows_by_key: dict[str, Any] = {}
        # All states of a key, each with the number of the write that caused it.
        self.row_history: dict[str, list[tuple[int, Any]]] = {}
        self.durable: set[bytes] = set()
        self.writes = 0
        self.sealed = 0
        self.trimmed = 0

    def write(self, action: WriteSegment) -> Any:
        version, old = self.objects.get(action.number, (0, Segment()))
        if version != action.expected:
            return SegmentConflict(op=action.op)
        new = read_segment(write_segment(action.segment))
        self.check_c1_append_only(old, new)
        self.objects[action.number] = (version + 1, new)
        if action.number >= self.first:
            for entry in new.entries[len(old.entries) :]:
                self._apply(entry, action.number)
        self.sealed += new.sealed_s is not None
        return SegmentWritten(op=action.op, version=version + 1)

    def _apply(self, entry: Any, number: int) -> None:
        self.writes += 1
        row = self.rows_by_key.get(entry.key)
        self.check_c2_withdrawn_stays_withdrawn(entry, row)
        after = apply_entry(row, entry, number)
        if after is not None:
            self.rows_by_key[entry.key] = after
            self.row_history.setdefault(entry.key, []).append((self.writes, after))
        if entry.state is ClaimState.CLAIMED:
            self.durable.add(bytes.fromhex(entry.attempt))

    def trim(self, first: int) -> None:
        self.first = max(self.first, first)
        for number in [n for n in self.objects if n < self.first]:
            del self.objects[number]
            self.trimmed += 1

    def check_c1_append_only(self, old: Segment, new: Segment) -> None:
        """C1: a segment only grows, within its size limit, until it is sealed."""
        size = len(str(write_segment(new)))
        if old.sealed_s is not None or new.entries[: len(old.entries)] != old.entries:
            raise InvariantError("C1: a segment was rewritten")
        if size > SEGMENT_BYTES + 100:
            raise InvariantError(f"C1: a segment of {size} bytes")

    def check_c2_withdrawn_stays_withdrawn(self, entry: Any, row: Any) -> None:
        """C2: a late copy of a withdrawn claim does not claim the key again."""
        if (
            entry.state is ClaimState.CLAIMED
            and row is not None
            and row.state is ClaimState.RELEASED
            and row.attempt.hex() == entry.attempt
        ):
            raise InvariantError("C2: a withdrawn claim was recorded again")


def drive(log: Any, store: LogStore, changes: list[Any], now_s: float) -> list[Any]:
    """Process changes without faults and return their decisions."""
    requested = [ChangeRequested(number=n, change=c) for n, c in enumerate(changes)]
    events: list[Any] = [ChangesRequested(changes=tuple(requested))]
    decided: dict[int, Any] = {}
    while events:
        for action in log.step(events.pop(0), now_s):
            if isinstance(action, ReadFirstNumber):
                events.append(FirstNumberRead(op=action.op, first=store.first))
            elif isinstance(action, ReadSegment):
                version, found = store.objects.get(action.number, (0, None))
                events.append(SegmentRead(op=action.op, segment=found, version=version))
            elif isinstance(action, WriteSegment):
                events.append(store.write(action))
            elif isinstance(action, Trim):
                store.trim(action.first)
            else:
                assert isinstance(action, ReportDecision), action
                decided[action.number] = action.decision
    return [decided[number] for number in range(len(changes))]
