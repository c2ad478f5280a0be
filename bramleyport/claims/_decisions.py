"""Decisions on changes, from what the log contains about their keys."""

from dataclasses import dataclass, replace

from bramleyport.claims._changes import (
    CLAIM_GRACE_S,
    ClaimChange,
    ClaimDecisionKind,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    ClaimState,
    Decision,
    StoredAnswer,
    make_tag,
)
from bramleyport.claims._index import ClaimRow
from bramleyport.claims._segment import MAX_ENTRY_BYTES, LogEntry


@dataclass(frozen=True, slots=True)
class Verdict:
    """Describe a decision and the entry to write to the log before it is reported."""

    decision: Decision
    entry: LogEntry | None = None


def decide(
    change: ClaimChange, row: ClaimRow | None, now_s: float, *, full: bool = False
) -> Verdict:
    """Decide on a change; deciding twice has the effect of deciding once."""
    if row is not None and row.is_expired(now_s):
        row = None
    if isinstance(change, ClaimRequest):
        return _decide_request(change, row, now_s, full=full)
    if isinstance(change, ClaimRelease):
        return _decide_release(change, row, now_s)
    return _decide_outcome(change, row, now_s)


def _decide_request(
    request: ClaimRequest, row: ClaimRow | None, now_s: float, *, full: bool
) -> Verdict:
    attempt = make_tag(request.attempt)
    if row is None or row.state is ClaimState.RELEASED:
        if row is not None and row.attempt == attempt:
            # This is a late copy of a claim that its entry has withdrawn.
            return _make_verdict(ClaimDecisionKind.UNKNOWN)
        if full:
            return _make_verdict(ClaimDecisionKind.FULL)
        return _grant_claim(request, now_s)
    if row.body != make_tag(request.body_digest):
        return _make_verdict(ClaimDecisionKind.MISMATCH)
    if row.attempt == attempt:
        # The same request is repeated after a lost answer, so it owns the claim.
        return _make_verdict(ClaimDecisionKind.NEW)
    if row.state is ClaimState.COMPLETED:
        return Verdict(Decision(kind=ClaimDecisionKind.STORED, segment=row.segment))
    if row.state is ClaimState.UNKNOWN:
        return _make_verdict(ClaimDecisionKind.UNKNOWN)
    if row.attempt in {make_tag(unsent) for unsent in request.unsent}:
        # Only the entry that made the claim can know that it sent nothing.
        return _grant_claim(request, now_s)
    if now_s < row.answer_by_s + CLAIM_GRACE_S:
        return _make_verdict(ClaimDecisionKind.RUNNING)
    # The entry that made the claim died or can't reach the store. It may have sent
    # the call.
    unknown = LogEntry(
        state=ClaimState.UNKNOWN,
        key=request.key,
        attempt=row.attempt.hex(),
        at_s=now_s,
    )
    return _make_verdict(ClaimDecisionKind.UNKNOWN, unknown)


def _grant_claim(request: ClaimRequest, now_s: float) -> Verdict:
    entry = LogEntry(
        state=ClaimState.CLAIMED,
        key=request.key,
        attempt=make_tag(request.attempt).hex(),
        at_s=now_s,
        body=make_tag(request.body_digest).hex(),
        answer_by_s=now_s + request.answer_s,
    )
    return _make_verdict(ClaimDecisionKind.NEW, entry)


def _decide_release(
    release: ClaimRelease, row: ClaimRow | None, now_s: float
) -> Verdict:
    attempt = make_tag(release.attempt)
    own = row is not None and row.attempt == attempt
    if row is not None and own and row.state is ClaimState.COMPLETED:
        return _make_verdict(ClaimDecisionKind.UNKNOWN)
    if row is not None and own and row.state is ClaimState.RELEASED:
        return _make_verdict(ClaimDecisionKind.NEW)
    if row is not None and not own and row.state is not ClaimState.RELEASED:
        return _make_verdict(ClaimDecisionKind.UNKNOWN)
    # The release is written even if the log has no such claim: a copy of the claim may
    # still arrive in a forwarded message, or by a write whose answer was lost.
    entry = LogEntry(
        state=ClaimState.RELEASED,
        key=release.key,
        attempt=attempt.hex(),
        at_s=now_s,
    )
    return _make_verdict(ClaimDecisionKind.NEW, entry)


def _decide_outcome(
    outcome: ClaimOutcome, row: ClaimRow | None, now_s: float
) -> Verdict:
    attempt = make_tag(outcome.attempt)
    if row is None or row.attempt != attempt or row.state is ClaimState.RELEASED:
        return _make_verdict(ClaimDecisionKind.UNKNOWN)
    state = ClaimState.UNKNOWN if outcome.answer is None else ClaimState.COMPLETED
    if row.state in (ClaimState.COMPLETED, state):
        return Verdict(Decision(kind=ClaimDecisionKind.STORED, segment=row.segment))
    entry = LogEntry(
        state=state,
        key=outcome.key,
        attempt=attempt.hex(),
        at_s=now_s,
        answer=outcome.answer,
    )
    if outcome.answer is not None and entry.count_bytes() > MAX_ENTRY_BYTES:
        # Record that the call completed, without its headers and body.
        entry = replace(entry, answer=StoredAnswer(status=outcome.answer.status))
    return _make_verdict(ClaimDecisionKind.STORED, entry)


def _make_verdict(kind: ClaimDecisionKind, entry: LogEntry | None = None) -> Verdict:
    return Verdict(Decision(kind=kind), entry)
