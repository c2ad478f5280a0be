"""Claims of idempotency keys in one shared shard object."""

import base64
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from bramleyport.core import AccountId, AttemptId, ServiceName, make_strict_converter

SHARD_COUNT: Final = 16
RETENTION_S: Final = 24 * 3600.0
MAX_ANSWER_BYTES: Final = 4096


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
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Ask for a key before its call is sent."""

    key: str
    body_digest: str
    attempt: AttemptId


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
    return StoredAnswer(status=status, headers=headers, body=kept)


def apply_changes(
    shard: Shard, changes: list[ClaimChange], now_s: float
) -> tuple[Shard, list[Decision]]:
    """Return the changed shard and one decision for each change."""
    claims = {
        key: claim
        for key, claim in shard.claims.items()
        if now_s - claim.claimed_s < RETENTION_S
    }
    decisions = [_apply(claims, change, now_s) for change in changes]
    return replace(shard, claims=claims), decisions


def _apply(claims: dict[str, Claim], change: ClaimChange, now_s: float) -> Decision:
    claim = claims.get(change.key)
    if isinstance(change, ClaimRequest):
        return _request(claims, claim, change, now_s)
    if claim is None or claim.attempt != change.attempt:
        return Decision(kind=ClaimDecisionKind.UNKNOWN)
    if isinstance(change, ClaimRelease):
        del claims[change.key]
        return Decision(kind=ClaimDecisionKind.NEW)
    state = ClaimState.COMPLETED if change.answer else ClaimState.UNKNOWN
    claims[change.key] = replace(claim, state=state, answer=change.answer)
    return Decision(kind=ClaimDecisionKind.STORED, answer=change.answer)


def _request(
    claims: dict[str, Claim], claim: Claim | None, request: ClaimRequest, now_s: float
) -> Decision:
    if claim is None:
        claims[request.key] = Claim(
            state=ClaimState.CLAIMED,
            body_digest=request.body_digest,
            attempt=request.attempt,
            claimed_s=now_s,
        )
        return Decision(kind=ClaimDecisionKind.NEW)
    if claim.body_digest != request.body_digest:
        return Decision(kind=ClaimDecisionKind.MISMATCH)
    if claim.attempt == request.attempt:
        # The same request read back after a lost store answer: the claim is its own.
        return Decision(kind=ClaimDecisionKind.NEW)
    if claim.state is ClaimState.COMPLETED:
        return Decision(kind=ClaimDecisionKind.STORED, answer=claim.answer)
    if claim.state is ClaimState.UNKNOWN:
        return Decision(kind=ClaimDecisionKind.UNKNOWN)
    return Decision(kind=ClaimDecisionKind.RUNNING)
