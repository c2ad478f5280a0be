"""Claims of idempotency keys in one shared shard object."""

import base64
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from bramleyport.core import (
    AccountId,
    AttemptId,
    ProcessId,
    ServiceName,
    make_strict_converter,
)

# A claim without its answer takes about 320 bytes, so a shard holds 1,600 and all
# shards 1.6 million: 18 claims/s kept for 25 hours. Kept answers take at most half of
# a shard, which leaves room for 9 claims/s whatever the answers' size. A full shard
# refuses new claims before they run. Another count would move keys between shards and
# so forget claims.
SHARD_COUNT: Final = 1024
MAX_SHARD_BYTES: Final = 512_000
ANSWER_ROOM_BYTES: Final = MAX_SHARD_BYTES // 2
CLAIM_BYTES: Final = 320
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
class Claim:
    """Hold one claim as the shard object stores it."""

    state: ClaimState
    body_digest: str
    attempt: AttemptId
    claimed_s: float
    # When the claim's entry has answered its caller, on that entry's clock.
    answer_by_s: float = 0.0
    answer: StoredAnswer | None = None

    def count_bytes(self) -> int:
        """Return about how many bytes the stored claim takes."""
        if self.answer is None:
            return CLAIM_BYTES
        headers = sum(len(n) + len(v) + 8 for n, v in self.answer.headers.items())
        return CLAIM_BYTES + headers + len(self.answer.body or "")


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
    """Answer one claim request."""

    kind: ClaimDecisionKind
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Shard:
    """Hold the claims of one shard object."""

    claims: Mapping[str, Claim] = field(default_factory=dict)
    write_token: str = ""


_converter = make_strict_converter()


def read_shard(document: Mapping[str, object]) -> Shard:
    """Build a shard from its stored document."""
    return _converter.structure(document, Shard)


def write_shard(shard: Shard) -> dict[str, object]:
    """Return the document that stores a shard."""
    document: dict[str, object] = _converter.unstructure(shard)
    return document


def make_key(account: AccountId, service: ServiceName, key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    scoped = "\0".join((account, service, key)).encode()
    return hashlib.blake2b(scoped, digest_size=16).hexdigest()


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells a repeated call from a different one."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def choose_shard(key: str) -> int:
    """Return the shard that holds a key."""
    return int(key[:8], 16) % SHARD_COUNT


def keep_answer(status: int, headers: Mapping[str, str], body: bytes) -> StoredAnswer:
    """Return an answer in the form that is stored."""
    kept = base64.b64encode(body).decode() if len(body) <= MAX_ANSWER_BYTES else None
    short = {n: v for n, v in headers.items() if len(v) <= MAX_HEADER_CHARS}
    return StoredAnswer(status=status, headers=short, body=kept)


def choose_writer(shard: int, entries: Iterable[ProcessId]) -> ProcessId | None:
    """Return the live entry that writes a shard, by rendezvous hashing."""
    return max(entries, key=lambda entry: _weigh(shard, entry), default=None)


def _weigh(shard: int, entry: ProcessId) -> bytes:
    return hashlib.blake2b(f"{shard}\0{entry}".encode(), digest_size=8).digest()


def apply_changes(
    shard: Shard, changes: list[ClaimChange], now_s: float
) -> tuple[Shard, list[Decision]]:
    """Return the changed shard and one decision for each change."""
    claims = {
        key: claim
        for key, claim in shard.claims.items()
        if now_s - claim.claimed_s < RETENTION_S + CLOCK_SKEW_S
    }
    room = MAX_SHARD_BYTES - sum(claim.count_bytes() for claim in claims.values())
    decisions = []
    for change in changes:
        before = _count(claims.get(change.key))
        decisions.append(_apply(claims, change, now_s, room))
        room += before - _count(claims.get(change.key))
    return replace(shard, claims=claims), decisions


def _count(claim: Claim | None) -> int:
    return 0 if claim is None else claim.count_bytes()


def _apply(
    claims: dict[str, Claim], change: ClaimChange, now_s: float, room: int
) -> Decision:
    claim = claims.get(change.key)
    if isinstance(change, ClaimRequest):
        return _request(claims, claim, change, now_s, room)
    if claim is None or claim.attempt != change.attempt:
        return Decision(kind=ClaimDecisionKind.UNKNOWN)
    if isinstance(change, ClaimRelease):
        del claims[change.key]
        return Decision(kind=ClaimDecisionKind.NEW)
    state = ClaimState.COMPLETED if change.answer else ClaimState.UNKNOWN
    finished = replace(claim, state=state, answer=change.answer)
    left = room - (finished.count_bytes() - claim.count_bytes())
    if change.answer and left < MAX_SHARD_BYTES - ANSWER_ROOM_BYTES:
        # The answer is not kept, but that the call completed is.
        finished = replace(finished, answer=StoredAnswer(status=change.answer.status))
    claims[change.key] = finished
    return Decision(kind=ClaimDecisionKind.STORED, answer=finished.answer)


def _request(
    claims: dict[str, Claim],
    claim: Claim | None,
    request: ClaimRequest,
    now_s: float,
    room: int,
) -> Decision:
    if claim is None:
        if room < CLAIM_BYTES:
            return Decision(kind=ClaimDecisionKind.FULL)
        claims[request.key] = _make_claim(request, now_s)
        return Decision(kind=ClaimDecisionKind.NEW)
    if claim.body_digest != request.body_digest:
        return Decision(kind=ClaimDecisionKind.MISMATCH)
    if claim.attempt == request.attempt:
        # The same request read back after a lost store answer: the claim is its own.
        return Decision(kind=ClaimDecisionKind.NEW)
    if claim.state is ClaimState.COMPLETED:
        return Decision(kind=ClaimDecisionKind.STORED, answer=claim.answer)
    if claim.state is ClaimState.CLAIMED and claim.attempt in request.unsent:
        # Only the entry that claimed it can prove that it sent nothing.
        claims[request.key] = _make_claim(request, now_s)
        return Decision(kind=ClaimDecisionKind.NEW)
    if claim.state is ClaimState.CLAIMED and now_s < claim.answer_by_s + CLAIM_GRACE_S:
        return Decision(kind=ClaimDecisionKind.RUNNING)
    # Its entry died or can't reach the store. It may have sent the call.
    claims[request.key] = replace(claim, state=ClaimState.UNKNOWN)
    return Decision(kind=ClaimDecisionKind.UNKNOWN)


def _make_claim(request: ClaimRequest, now_s: float) -> Claim:
    return Claim(
        state=ClaimState.CLAIMED,
        body_digest=request.body_digest,
        attempt=request.attempt,
        claimed_s=now_s,
        answer_by_s=now_s + request.answer_s,
    )
