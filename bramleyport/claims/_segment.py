"""Segments of a claim log and their entries."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from cattrs import BaseValidationError

from bramleyport.claims._changes import ClaimState, StoredAnswer
from bramleyport.core import is_encodable, make_strict_converter

# Each append writes the whole head segment, and each log in use keeps its head in
# memory. Segments therefore have a quarter of the size that the design allows (512 kB).
MAX_SEGMENT_BYTES: Final = 128_000
# Larger outcomes are recorded without headers and body.
MAX_ENTRY_BYTES: Final = 32_000
# Bytes for the token, the seal and the punctuation of the document.
SEGMENT_OVERHEAD_BYTES: Final = 200

_converter = make_strict_converter()


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """Describe one claim, release or outcome as the log stores it.

    `attempt` and `body` are the tags of the attempt id and of the body digest.
    """

    state: ClaimState
    key: str
    attempt: str
    at_s: float
    body: str = ""
    # The time, on the writer's clock, by which the entry must answer its caller.
    answer_by_s: float = 0.0
    answer: StoredAnswer | None = None

    def count_bytes(self) -> int:
        """Return how many bytes the entry adds to its segment's document."""
        return len(json.dumps(_dump_entry(self))) + 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Describe a segment of a log; after it is sealed, the next number follows."""

    entries: tuple[LogEntry, ...] = ()
    sealed_s: float | None = None
    write_token: str = ""


def write_segment(segment: Segment) -> dict[str, object]:
    """Return the document that stores a segment."""
    return {
        "entries": [_dump_entry(entry) for entry in segment.entries],
        "sealed_s": segment.sealed_s,
        "write_token": segment.write_token,
    }


def read_segment(document: Mapping[str, Any]) -> Segment:
    """Build a segment from its stored document; raise ValueError if malformed."""
    try:
        sealed_s = document["sealed_s"]
        return Segment(
            entries=tuple(_load_entry(row) for row in document["entries"]),
            sealed_s=None if sealed_s is None else float(sealed_s),
            write_token=str(document["write_token"]),
        )
    except (
        BaseValidationError,
        ArithmeticError,
        LookupError,
        RecursionError,
        TypeError,
    ) as error:
        raise ValueError(f"malformed segment: {type(error).__name__}") from error


def find_answer(segment: Segment, key: str) -> StoredAnswer | None:
    """Return the newest answer to a key in a segment."""
    for entry in reversed(segment.entries):
        if entry.key == key and entry.answer is not None:
            return entry.answer
    return None


def _dump_entry(entry: LogEntry) -> list[Any]:
    row: list[Any] = [
        entry.state.value,
        entry.key,
        entry.attempt,
        round(entry.at_s, 3),
    ]
    if entry.state is ClaimState.CLAIMED:
        row += [entry.body, round(entry.answer_by_s, 3)]
    elif entry.answer is not None:
        answer = entry.answer
        row += [answer.status, dict(answer.headers), answer.body]
    return row


def _load_entry(row: list[Any]) -> LogEntry:
    state = ClaimState(row[0])
    key, attempt = str(row[1]), str(row[2])
    if not is_encodable(key):
        raise ValueError("malformed segment: a key that can't be encoded")
    bytes.fromhex(attempt)
    entry = LogEntry(state=state, key=key, attempt=attempt, at_s=float(row[3]))
    if state is ClaimState.CLAIMED:
        body = str(row[4])
        bytes.fromhex(body)
        return LogEntry(
            state=state,
            key=key,
            attempt=attempt,
            at_s=entry.at_s,
            body=body,
            answer_by_s=float(row[5]),
        )
    if len(row) == 4:
        return entry
    fields = {"status": row[4], "headers": row[5], "body": row[6]}
    answer = _converter.structure(fields, StoredAnswer)
    return LogEntry(
        state=state, key=key, attempt=attempt, at_s=entry.at_s, answer=answer
    )
