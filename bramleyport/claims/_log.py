"""State machine of one claim log: conditional appends of batches of changes."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from bramleyport.claims._changes import (
    CLOCK_SKEW_S,
    RETENTION_S,
    ClaimDecisionKind,
    Decision,
)
from bramleyport.claims._decisions import decide
from bramleyport.claims._events import (
    CallFailed,
    ChangeRequested,
    ChangesRequested,
    FailChange,
    FirstNumberRead,
    LogAction,
    LogEvent,
    ReadFirstNumber,
    ReadSegment,
    ReportDecision,
    SegmentRead,
    SegmentWritten,
    StoreEvent,
    Trim,
    WriteInDoubt,
    WriteSegment,
)
from bramleyport.claims._index import ClaimIndex, ClaimRow, apply_entry
from bramleyport.claims._segment import (
    MAX_SEGMENT_BYTES,
    SEGMENT_OVERHEAD_BYTES,
    LogEntry,
    Segment,
)

MAX_TRIES: Final = 8
# The index of a full log takes up to 12 MB. An entry otherwise takes 54 MB, so this
# about reaches its limit of 64 MB. 64 logs can keep 89 claims/s for 25 hours.
MAX_LOG_CLAIMS: Final = 125_000
# A sealed segment is kept for 25 hours. A store's answer is used only if the log was
# known to be current within this time before. Otherwise a writer that was paused for a
# day could create a segment that has been deleted, and use it as the head.
MAX_SYNC_AGE_S: Final = 3600.0
DROP_INTERVAL_S: Final = 60.0
# Bytes of memory for each byte of the head segment's document.
HEAD_MEMORY_FACTOR: Final = 3


class ClaimLog:
    """Decide on the changes of one log, and report decisions once they are durable.

    The head is the newest segment, to which entries are appended. Applying a change
    twice has the effect of applying it once. Therefore, if a write is in doubt and the
    segment as read has another token, the batch is decided again on the segment read.
    """

    def __init__(
        self,
        make_token: Callable[[], str],
        max_claims: int = MAX_LOG_CLAIMS,
        segment_bytes: int = MAX_SEGMENT_BYTES,
    ) -> None:
        self.index = ClaimIndex()
        self.loads = 0
        self._make_token = make_token
        self._max_claims = max_claims
        self._segment_bytes = segment_bytes
        self._waiting: list[ChangeRequested] = []
        self._batch: list[ChangeRequested] = []
        self._decisions: list[Decision] = []
        # The head as last read or written; the number is None before the first read.
        self._number: int | None = None
        self._head = Segment()
        self._head_bytes = 0
        self._version = 0
        self._written: Segment | None = None
        self._sealed_s: dict[int, float] = {}
        # A segment may be created only if it has never existed. That is known if this
        # writer sealed its predecessor, or if the number of the log's first segment was
        # read after this segment was found missing.
        self._may_create = False
        self._missing = False
        self._confirmed = False
        self._in_doubt = False
        self._was_in_doubt = False
        self._split = False
        self._tries = 0
        self._op = 0
        self._sent_s = 0.0
        self._synced_s: float | None = None
        self._dropped_s: float | None = None

    @property
    def idle(self) -> bool:
        """Return whether no change is waiting for its decision."""
        return not self._batch and not self._waiting

    @property
    def bytes_held(self) -> int:
        """Return the approximate memory of the index and the head."""
        return self.index.bytes_held + HEAD_MEMORY_FACTOR * self._head_bytes

    def step(self, event: LogEvent, now_s: float) -> list[LogAction]:
        """Process an event at a wall clock time and return the resulting actions."""
        if isinstance(event, ChangesRequested):
            self._waiting += event.changes
            return [] if self._batch else self._start_batch(now_s)
        if event.op != self._op or not self._batch:
            return []  # the answer to an abandoned call
        if isinstance(event, CallFailed):
            return self._give_up(now_s)
        return self._handle(event, now_s)

    def _handle(self, event: StoreEvent, now_s: float) -> list[LogAction]:
        if isinstance(event, FirstNumberRead):
            return self._handle_first(event, now_s)
        if self._is_stale(now_s):
            self._record_doubt(isinstance(event, SegmentWritten | WriteInDoubt))
            return [self._read_first(now_s)]
        if isinstance(event, SegmentRead):
            return self._handle_read(event, now_s)
        if isinstance(event, SegmentWritten):
            return self._handle_written(event, now_s)
        self._record_doubt(isinstance(event, WriteInDoubt))
        return [self._read(now_s)]

    def _start_batch(self, now_s: float) -> list[LogAction]:
        self._batch, self._waiting = self._waiting, []
        self._tries = 0
        self._confirmed = self._in_doubt = False
        # A change split off from a batch may have been part of that batch's write, and
        # so is in doubt if that write is.
        self._was_in_doubt &= self._split
        self._split = False
        if not self._batch:
            return []
        if self._number is None or self._is_stale(now_s):
            return [self._read_first(now_s)]
        if self._version == 0 and not self._may_create:
            return [self._read(now_s)]
        return self._write(now_s)

    def _is_stale(self, now_s: float) -> bool:
        synced_s = self._synced_s
        return synced_s is None or abs(now_s - synced_s) > MAX_SYNC_AGE_S

    def _record_doubt(self, in_doubt: bool) -> None:
        self._in_doubt = in_doubt
        self._was_in_doubt |= in_doubt

    def _read_first(self, now_s: float) -> LogAction:
        self._op += 1
        self._sent_s = now_s
        return ReadFirstNumber(op=self._op)

    def _read(self, now_s: float) -> LogAction:
        assert self._number is not None
        self._op += 1
        self._sent_s = now_s
        return ReadSegment(op=self._op, number=self._number)

    def _handle_first(self, event: FirstNumberRead, now_s: float) -> list[LogAction]:
        self._synced_s = self._sent_s
        first = event.first
        if self._number is None or first > self._number:
            self.index = ClaimIndex()
            self.loads += 1
            self._sealed_s = {}
            self._open_segment(first)
            self._may_create = False
        else:
            self._may_create = self._missing
        self._missing = False
        return [self._read(now_s)]

    def _open_segment(self, number: int) -> None:
        self._number = number
        self._head, self._head_bytes, self._version = Segment(), 0, 0

    def _handle_read(self, event: SegmentRead, now_s: float) -> list[LogAction]:
        assert self._number is not None
        segment = event.segment
        if segment is None:
            if self._version == 0 and self._may_create:
                self._synced_s = self._sent_s
                self._confirmed = True
                return self._write(now_s)
            return self._restart_from_first(now_s)
        self._synced_s = self._sent_s
        self._update_head(segment, event.version, now_s)
        token = self._written.write_token if self._written is not None else None
        found = self._in_doubt and segment.write_token == token
        self._in_doubt = False
        if segment.sealed_s is not None:
            self._advance(segment.sealed_s, may_create=False)
            return [self._read(now_s)]
        if found:
            return self._finish(now_s)
        self._confirmed = True
        return self._write(now_s)

    def _restart_from_first(self, now_s: float) -> list[LogAction]:
        """Start again at the first segment, because the known head is missing."""
        self._tries += 1
        if self._tries > MAX_TRIES:
            return self._give_up(now_s)
        if self._version:
            self._number = None
        else:
            self._missing = True
        return [self._read_first(now_s)]

    def _update_head(self, segment: Segment, version: int, now_s: float) -> None:
        """Replace the head by a newer version, which only has additional entries."""
        assert self._number is not None
        for entry in segment.entries[len(self._head.entries) :]:
            self.index.apply(entry, self._number, now_s)
            if segment.sealed_s is None:  # nothing is appended to a sealed one
                self._head_bytes += entry.count_bytes()
        self._head, self._version = segment, version

    def _advance(self, sealed_s: float, *, may_create: bool) -> None:
        assert self._number is not None
        self._sealed_s[self._number] = sealed_s
        self._open_segment(self._number + 1)
        self._may_create = may_create

    def _write(self, now_s: float) -> list[LogAction]:
        assert self._number is not None
        self._tries += 1
        if self._tries > MAX_TRIES:
            return self._give_up(now_s)
        entries = self._decide(now_s)
        if not self._decisions:  # no entry fits into the head
            sealed = replace(self._head, sealed_s=now_s)
            return self._append(sealed, now_s)
        if entries:
            after = replace(self._head, entries=self._head.entries + tuple(entries))
            return self._append(after, now_s)
        stored = ClaimDecisionKind.STORED
        if self._confirmed or all(d.kind is stored for d in self._decisions):
            return self._finish(now_s)
        # Another writer may have appended since the head was read, so read it again
        # before deciding.
        return [self._read(now_s)]

    def _append(self, segment: Segment, now_s: float) -> list[LogAction]:
        assert self._number is not None
        self._written = replace(segment, write_token=self._make_token())
        self._op += 1
        self._sent_s = now_s
        return [
            WriteSegment(
                op=self._op,
                number=self._number,
                expected=self._version,
                segment=self._written,
            )
        ]

    def _decide(self, now_s: float) -> list[LogEntry]:
        """Decide on as many changes of the batch as fit into the head."""
        assert self._number is not None
        free_bytes = self._segment_bytes - SEGMENT_OVERHEAD_BYTES - self._head_bytes
        full = self._is_full(now_s)
        overlay: dict[str, ClaimRow | None] = {}
        entries: list[LogEntry] = []
        self._decisions = []
        for requested in self._batch:
            key = requested.change.key
            row = overlay[key] if key in overlay else self.index.get(key)
            verdict = decide(requested.change, row, now_s, full=full)
            if verdict.entry is not None:
                free_bytes -= verdict.entry.count_bytes()
                if free_bytes < 0:
                    break
                entries.append(verdict.entry)
                overlay[key] = apply_entry(row, verdict.entry, self._number) or row
            self._decisions.append(verdict.decision)
        if decided := len(self._decisions):
            self._waiting = self._batch[decided:] + self._waiting
            self._split |= len(self._batch) > decided
            self._batch = self._batch[:decided]
        return entries

    def _is_full(self, now_s: float) -> bool:
        if self.index.count < self._max_claims:
            return False
        if self._dropped_s is None or now_s - self._dropped_s > DROP_INTERVAL_S:
            self._dropped_s = now_s
            self.index.drop_expired(now_s)
        return self.index.count >= self._max_claims

    def _handle_written(self, event: SegmentWritten, now_s: float) -> list[LogAction]:
        assert self._written is not None
        self._synced_s = self._sent_s
        # Earlier writes required an older version, so they can no longer take effect.
        self._was_in_doubt = False
        self._update_head(self._written, event.version, now_s)
        if self._written.sealed_s is None:
            return self._finish(now_s)
        self._advance(self._written.sealed_s, may_create=True)
        self._tries -= 1  # sealing only makes room
        return self._list_trims(now_s) + self._write(now_s)

    def _list_trims(self, now_s: float) -> list[LogAction]:
        assert self._number is not None
        expired = [
            number
            for number, sealed_s in self._sealed_s.items()
            if now_s - sealed_s >= RETENTION_S + CLOCK_SKEW_S
        ]
        if not expired:
            return []
        for number in expired:
            del self._sealed_s[number]
        return [Trim(first=max(expired) + 1)]

    def _finish(self, now_s: float) -> list[LogAction]:
        decided: list[LogAction] = [
            ReportDecision(number=requested.number, decision=decision)
            for requested, decision in zip(self._batch, self._decisions, strict=True)
        ]
        self._batch = []
        return decided + self._start_batch(now_s)

    def _give_up(self, now_s: float) -> list[LogAction]:
        failed: list[LogAction] = [
            FailChange(number=requested.number, in_doubt=self._was_in_doubt)
            for requested in self._batch
        ]
        self._batch = []
        return failed + self._start_batch(now_s)
