"""Changes of claims, the decisions on them, and the log and writer of a key."""

import base64
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from bramleyport.core import AccountId, AttemptId, ProcessId, ServiceName

# Changing this number would assign keys to other logs and so lose their claims.
LOG_COUNT: Final = 64
RETENTION_S: Final = 24 * 3600.0
# Largest expected difference between the clocks of two entries. Claims are kept for
# this time beyond their retention.
CLOCK_SKEW_S: Final = 3600.0
# A claim without an outcome becomes `unknown` this long after its answer deadline.
CLAIM_GRACE_S: Final = 60.0
MAX_ANSWER_BYTES: Final = 4096
MAX_HEADER_CHARS: Final = 512


class ClaimState(str, Enum):
    """Describe the state of a claim."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    # Kept so that a late copy of the withdrawn claim can't claim the key again.
    RELEASED = "released"


class ClaimDecisionKind(str, Enum):
    """Describe the result of a claim request."""

    NEW = "new"
    RUNNING = "running"
    STORED = "stored"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Describe the answer of a completed call; a large body is not stored."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: str | None = None

    def read_body(self) -> bytes | None:
        """Return the body, or None if it was too large to store."""
        return None if self.body is None else base64.b64decode(self.body)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Describe the claim of a key before its call is sent."""

    key: str
    body_digest: str
    attempt: AttemptId
    answer_s: float = 0.0
    # Attempts of the same entry and key that the entry knows it never sent.
    unsent: tuple[AttemptId, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRelease:
    """Describe the withdrawal of a claim whose call was certainly not run."""

    key: str
    attempt: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """Describe how the call of a claim ended."""

    key: str
    attempt: AttemptId
    answer: StoredAnswer | None


ClaimChange = ClaimRequest | ClaimRelease | ClaimOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Describe the decision on a change; a stored answer is read from its segment."""

    kind: ClaimDecisionKind
    segment: int = -1
    answer: StoredAnswer | None = None


def make_key(account: AccountId, service: ServiceName, key: str) -> str:
    """Return the digest that identifies a caller's key in the logs."""
    scoped = "\0".join((account, service, key)).encode()
    return hashlib.blake2b(scoped, digest_size=16).hexdigest()


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest that distinguishes a repeated call from a different one."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def make_tag(text: str) -> bytes:
    """Return the short digest by which attempts and bodies are compared."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def choose_log(key: str) -> int:
    """Return the number of the log that contains a key."""
    return int(key[:8], 16) % LOG_COUNT


def make_stored_answer(
    status: int, headers: Mapping[str, str], body: bytes
) -> StoredAnswer:
    """Return an answer in its stored form."""
    encoded_body = (
        base64.b64encode(body).decode() if len(body) <= MAX_ANSWER_BYTES else None
    )
    short_headers = {n: v for n, v in headers.items() if len(v) <= MAX_HEADER_CHARS}
    return StoredAnswer(status=status, headers=short_headers, body=encoded_body)


def choose_writer(log: int, entries: Iterable[ProcessId]) -> ProcessId | None:
    """Return the live entry that writes a log, by rendezvous hashing."""
    return max(entries, key=lambda entry: _weigh(log, entry), default=None)


def _weigh(log: int, entry: ProcessId) -> bytes:
    return hashlib.blake2b(f"{log}\0{entry}".encode(), digest_size=8).digest()
