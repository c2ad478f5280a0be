"""Compact hash table of the claims of one log, without their answers."""

import hashlib
import struct
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.claims._changes import CLOCK_SKEW_S, RETENTION_S, ClaimState
from bramleyport.claims._segment import LogEntry

# Key digest, state, tags of attempt and body, segment, times. A dict of objects would
# take about six times as many bytes.
_ROW: Final = struct.Struct(">16sB8s8sIdd")
_STATE_OFFSET: Final = 16
_CLAIMED_TIME: Final = struct.Struct(">d")
_CLAIMED_OFFSET: Final = 37
_STATES: Final = (None, *ClaimState)
_CODES: Final = {state: code for code, state in enumerate(_STATES)}
MIN_SLOTS: Final = 8
SHARD_COUNT: Final = 64
# Bounds the load factor so that probe sequences stay short.
MAX_LOAD_FACTOR: Final = 0.8
REBUILT_LOAD_FACTOR: Final = 0.55


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """Describe a claim as the index stores it."""

    state: ClaimState
    attempt: bytes
    body: bytes
    segment: int
    claimed_s: float
    answer_by_s: float

    def is_expired(self, now_s: float) -> bool:
        """Return whether the claim may be deleted."""
        return has_expired(self.claimed_s, now_s)


def has_expired(claimed_s: float, now_s: float) -> bool:
    """Return whether the retention of a claim made at this time has ended."""
    return now_s - claimed_s >= RETENTION_S + CLOCK_SKEW_S


class ClaimIndex:
    """Represent the claims by key as open-addressing hash tables in byte arrays.

    The keys are divided into shards, because a growing table is copied in one step:
    copying one shard takes only milliseconds.
    """

    def __init__(self) -> None:
        self._shards = [_Shard() for _ in range(SHARD_COUNT)]
        # The number of claims, including expired ones, and the size of the arrays.
        self.count = 0
        self.bytes_held = sum(len(shard.table) for shard in self._shards)

    def get(self, key: str) -> ClaimRow | None:
        """Return the claim of a key, expired or not."""
        digest = _digest(key)
        return self._shards[digest[-1] % SHARD_COUNT].get(digest)

    def apply(self, entry: LogEntry, segment: int, now_s: float) -> None:
        """Apply an entry of the log; applying it twice changes nothing."""
        digest = _digest(entry.key)
        shard = self._shards[digest[-1] % SHARD_COUNT]
        row = apply_entry(shard.get(digest), entry, segment)
        if row is not None:
            self.count -= shard.count
            self.bytes_held -= len(shard.table)
            shard.put(digest, row, now_s)
            self.count += shard.count
            self.bytes_held += len(shard.table)

    def drop_expired(self, now_s: float) -> None:
        """Remove the claims whose retention has ended."""
        for shard in self._shards:
            shard.rebuild(now_s)
        self.count = sum(shard.count for shard in self._shards)
        self.bytes_held = sum(len(shard.table) for shard in self._shards)


def apply_entry(
    found: ClaimRow | None, entry: LogEntry, segment: int
) -> ClaimRow | None:
    """Return a claim as an entry changes it, or None if the entry does not apply."""
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
    return None  # the segment with the claim has been deleted


class _Shard:
    """Represent the hash table of one shard."""

    def __init__(self) -> None:
        self.count = 0
        self.table = bytearray(MIN_SLOTS * _ROW.size)
        self._slots = MIN_SLOTS

    def get(self, digest: bytes) -> ClaimRow | None:
        _, code, *rest = _ROW.unpack_from(self.table, self._find(digest))
        return _make_row(code, *rest) if code else None

    def put(self, digest: bytes, row: ClaimRow, now_s: float) -> None:
        offset = self._find(digest)
        if not self.table[offset + _STATE_OFFSET]:
            if self.count + 1 > self._slots * MAX_LOAD_FACTOR:
                self.rebuild(now_s)
                offset = self._find(digest)
            self.count += 1
        self._write(offset, digest, row)

    def rebuild(self, now_s: float) -> None:
        old, size = self.table, _ROW.size
        kept = [
            bytes(old[offset : offset + size])
            for offset in range(0, len(old), size)
            if old[offset + _STATE_OFFSET]
            and not has_expired(
                _CLAIMED_TIME.unpack_from(old, offset + _CLAIMED_OFFSET)[0], now_s
            )
        ]
        self._slots = max(MIN_SLOTS, int((len(kept) + 1) / REBUILT_LOAD_FACTOR) + 1)
        self.table = bytearray(self._slots * size)
        self.count = len(kept)
        for raw in kept:
            offset = self._find(raw[:_STATE_OFFSET])
            self.table[offset : offset + size] = raw

    def _write(self, offset: int, digest: bytes, row: ClaimRow) -> None:
        _ROW.pack_into(
            self.table,
            offset,
            digest,
            _CODES[row.state],
            row.attempt,
            row.body,
            row.segment,
            row.claimed_s,
            row.answer_by_s,
        )

    def _find(self, digest: bytes) -> int:
        """Return the offset of a key's row, or of the free slot for it."""
        size, table = _ROW.size, self.table
        slot = int.from_bytes(digest[:8], "big") % self._slots
        while True:
            offset = slot * size
            if (
                not table[offset + _STATE_OFFSET]
                or table[offset : offset + _STATE_OFFSET] == digest
            ):
                return offset
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
