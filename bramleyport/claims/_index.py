"""A compact table of the claims of one log, without their answers."""

import hashlib
import struct
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.claims._changes import CLOCK_SKEW_S, RETENTION_S, ClaimState
from bramleyport.claims._segment import LogEntry

# Key, state, tags of attempt and body, segment, times. A dict of objects would take
# about six times as many bytes.
_ROW: Final = struct.Struct(">16sB8s8sIdd")
_STATE_AT: Final = 16
_CLAIMED: Final = struct.Struct(">d")
_CLAIMED_AT: Final = 37
_STATES: Final = (None, *ClaimState)
_CODES: Final = {state: code for code, state in enumerate(_STATES)}
MIN_SLOTS: Final = 8
PARTS: Final = 64
# A table at most this full keeps the probe sequences short.
MAX_FILL: Final = 0.8
NEW_FILL: Final = 0.55


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """Hold what the index knows of a claim."""

    state: ClaimState
    attempt: bytes
    body: bytes
    segment: int
    claimed_s: float
    answer_by_s: float

    def is_expired(self, now_s: float) -> bool:
        """Return whether the claim may be forgotten."""
        return has_expired(self.claimed_s, now_s)


def has_expired(claimed_s: float, now_s: float) -> bool:
    """Return whether a claim of this time has outlived its retention."""
    return now_s - claimed_s >= RETENTION_S + CLOCK_SKEW_S


class ClaimIndex:
    """Map keys to claims by open addressing in small arrays of bytes.

    A part that grows is copied at once, which takes milliseconds because it is small.
    """

    def __init__(self) -> None:
        self._parts = [_Part() for _ in range(PARTS)]
        # How many claims are held, expired ones included, and the size of the arrays.
        self.count = 0
        self.bytes_held = sum(len(part.table) for part in self._parts)

    def get(self, key: str) -> ClaimRow | None:
        """Return the claim of a key, expired or not."""
        digest = _digest(key)
        return self._parts[digest[-1] % PARTS].get(digest)

    def apply(self, entry: LogEntry, segment: int, now_s: float) -> None:
        """Take an entry of the log; repeating it changes nothing."""
        digest = _digest(entry.key)
        part = self._parts[digest[-1] % PARTS]
        row = apply_entry(part.get(digest), entry, segment)
        if row is not None:
            self.count -= part.count
            self.bytes_held -= len(part.table)
            part.put(digest, row, now_s)
            self.count += part.count
            self.bytes_held += len(part.table)

    def drop_expired(self, now_s: float) -> None:
        """Forget the claims that have outlived their retention."""
        for part in self._parts:
            part.rebuild(now_s)
        self.count = sum(part.count for part in self._parts)
        self.bytes_held = sum(len(part.table) for part in self._parts)


def apply_entry(
    found: ClaimRow | None, entry: LogEntry, segment: int
) -> ClaimRow | None:
    """Return what an entry makes of a claim, or None if it changes nothing."""
    attempt = bytes.fromhex(entry.attempt)
    own = found is not None and found.attempt == attempt
    if entry.state is ClaimState.CLAIMED or (
        entry.state is ClaimState.RELEASED and not own
    ):
        return ClaimRow(
            state=entry.state,
            attempt=attempt,
            body=bytes.fromhex(entry.body).ljust(8, b"\0"),
            segment=segment,
            claimed_s=entry.at_s,
            answer_by_s=entry.answer_by_s,
        )
    if found is not None and own:
        return replace(found, state=entry.state, segment=segment)
    return None  # the claim's own segment has been deleted


class _Part:
    """Hold the claims of one part of the keys."""

    def __init__(self) -> None:
        self.count = 0
        self.table = bytearray(MIN_SLOTS * _ROW.size)
        self._slots = MIN_SLOTS

    def get(self, digest: bytes) -> ClaimRow | None:
        _, code, *rest = _ROW.unpack_from(self.table, self._find(digest))
        return _make_row(code, *rest) if code else None

    def put(self, digest: bytes, row: ClaimRow, now_s: float) -> None:
        at = self._find(digest)
        if not self.table[at + _STATE_AT]:
            if self.count + 1 > self._slots * MAX_FILL:
                self.rebuild(now_s)
                at = self._find(digest)
            self.count += 1
        self._write(at, digest, row)

    def rebuild(self, now_s: float) -> None:
        old, size = self.table, _ROW.size
        kept = [
            bytes(old[at : at + size])
            for at in range(0, len(old), size)
            if old[at + _STATE_AT]
            and not has_expired(_CLAIMED.unpack_from(old, at + _CLAIMED_AT)[0], now_s)
        ]
        self._slots = max(MIN_SLOTS, int((len(kept) + 1) / NEW_FILL) + 1)
        self.table = bytearray(self._slots * size)
        self.count = len(kept)
        for raw in kept:
            at = self._find(raw[:_STATE_AT])
            self.table[at : at + size] = raw

    def _write(self, at: int, digest: bytes, row: ClaimRow) -> None:
        _ROW.pack_into(
            self.table,
            at,
            digest,
            _CODES[row.state],
            row.attempt,
            row.body,
            row.segment,
            row.claimed_s,
            row.answer_by_s,
        )

    def _find(self, digest: bytes) -> int:
        """Return where a key is, or the free slot where it would be."""
        size, table = _ROW.size, self.table
        slot = int.from_bytes(digest[:8], "big") % self._slots
        while True:
            at = slot * size
            if not table[at + _STATE_AT] or table[at : at + _STATE_AT] == digest:
                return at
            slot = (slot + 1) % self._slots


def _make_row(
    code: int,
    attempt: bytes,
    body: bytes,
    segment: int,
    claimed_s: float,
    answer_by_s: float,
) -> ClaimRow:
    state = _STATES[code]
    assert state is not None
    return ClaimRow(
        state=state,
        attempt=attempt,
        body=body,
        segment=segment,
        claimed_s=claimed_s,
        answer_by_s=answer_by_s,
    )


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=16).digest()
