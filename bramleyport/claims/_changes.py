"""Changes of claims, the decisions on them and where a claim is kept."""

import base64
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from bramleyport.core import AccountId, AttemptId, ProcessId, ServiceName

# Another count would move keys between logs and so forget claims.
LOG_COUNT: Final = 64
RETENTION_S: Final = 24 * 3600.0
# Clocks of two entries may differ by this much: a claim outlives its retention by it,
# and one whose entry seems dead is left alone for as long as CLAIM_GRACE_S.
CLOCK_SKEW_S: Final = 3600.0
CLAIM_GRACE_S: Final = 60.0
MAX_ANSWER_BYTES: Final = 4096
MAX_HEADER_CHARS: Final = 512


class ClaimState(str, Enum):
    """Name the states of a claim."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    # Kept so that a late copy of the withdrawn claim does not claim the key again.
    RELEASED = "released"


class ClaimDecisionKind(str, Enum):
    """Name what a claim request found."""

    NEW = "new"
    RUNNING = "running"
    STORED = "stored"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Hold the answer of a completed call; a large body is not kept."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: str | None = None

    def read_body(self) -> bytes | None:
        """Return the body, or None if it was too large to keep."""
        return None if self.body is None else base64.b64decode(self.body)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Ask for a key before its call is sent."""

    key: str
    body_digest: str
    attempt: AttemptId
    answer_s: float = 0.0
    # Attempts of the same entry and key that it knows it never sent.
    unsent: tuple[AttemptId, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRelease:
    """Withdraw the claim of a call that was certainly not run."""

    key: str
    attempt: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """Record how the call of a claim ended."""

    key: str
    attempt: AttemptId
    answer: StoredAnswer | None


ClaimChange = ClaimRequest | ClaimRelease | ClaimOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Answer one change; a stored answer is read back from its segment."""

    kind: ClaimDecisionKind
    segment: int = -1
    answer: StoredAnswer | None = None


def make_key(account: AccountId, service: ServiceName, key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    scoped = "\0".join((account, service, key)).encode()
    return hashlib.blake2b(scoped, digest_size=16).hexdigest()


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells a repeated call from a different one."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def make_tag(text: str) -> bytes:
    """Return the short digest under which attempts and bodies are compared."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def choose_log(key: str) -> int:
    """Return the log that holds a key."""
    return int(key[:8], 16) % LOG_COUNT


def keep_answer(status: int, headers: Mapping[str, str], body: bytes) -> StoredAnswer:
    """Return an answer in the form that is stored."""
    kept = base64.b64encode(body).decode() if len(body) <= MAX_ANSWER_BYTES else None
    short = {n: v for n, v in headers.items() if len(v) <= MAX_HEADER_CHARS}
    return StoredAnswer(status=status, headers=short, body=kept)


def choose_writer(log: int, entries: Iterable[ProcessId]) -> ProcessId | None:
    """Return the live entry that writes a log, by rendezvous hashing."""
    return max(entries, key=lambda entry: _weigh(log, entry), default=None)


def _weigh(log: int, entry: ProcessId) -> bytes:
    return hashlib.blake2b(f"{log}\0{entry}".encode(), digest_size=8).digest()
