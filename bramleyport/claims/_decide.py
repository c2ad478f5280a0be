"""Decide a change of a claim from what the log holds of its key."""

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
    """Hold a decision and the entry that must be in the log before it is given."""

    decision: Decision
    entry: LogEntry | None = None


def decide(
    change: ClaimChange, row: ClaimRow | None, now_s: float, *, full: bool = False
) -> Verdict:
    """Decide a change; deciding it twice has the effect of deciding it once."""
    if row is not None and row.is_expired(now_s):
        row = None
    if isinstance(change, ClaimRequest):
        return _request(change, row, now_s, full=full)
    if isinstance(change, ClaimRelease):
        return _release(change, row, now_s)
    return _end(change, row, now_s)


def _request(
    request: ClaimRequest, row: ClaimRow | None, now_s: float, *, full: bool
) -> Verdict:
    attempt = make_tag(request.attempt)
    if row is None or row.state is ClaimState.RELEASED:
        if row is not None and row.attempt == attempt:
            # A late copy of a claim that its entry has withdrawn.
            return _answer(ClaimDecisionKind.UNKNOWN)
        if full:
            return _answer(ClaimDecisionKind.FULL)
        return _claim(request, now_s)
    if row.body != make_tag(request.body_digest):
        return _answer(ClaimDecisionKind.MISMATCH)
    if row.attempt == attempt:
        # The same request again after a lost answer: the claim is its own.
        return _answer(ClaimDecisionKind.NEW)
    if row.state is ClaimState.COMPLETED:
        return Verdict(Decision(kind=ClaimDecisionKind.STORED, segment=row.segment))
    if row.state is ClaimState.UNKNOWN:
        return _answer(ClaimDecisionKind.UNKNOWN)
    if row.attempt in {make_tag(unsent) for unsent in request.unsent}:
        # Only the entry that claimed it can prove that it sent nothing.
        return _claim(request, now_s)
    if now_s < row.answer_by_s + CLAIM_GRACE_S:
        return _answer(ClaimDecisionKind.RUNNING)
    # Its entry died or can't reach the store. It may have sent the call.
    lapsed = LogEntry(
        state=ClaimState.UNKNOWN,
        key=request.key,
        attempt=row.attempt.hex(),
        at_s=now_s,
    )
    return _answer(ClaimDecisionKind.UNKNOWN, lapsed)


def _claim(request: ClaimRequest, now_s: float) -> Verdict:
    entry = LogEntry(
        state=ClaimState.CLAIMED,
        key=request.key,
        attempt=make_tag(request.attempt).hex(),
        at_s=now_s,
        body=make_tag(request.body_digest).hex(),
        answer_by_s=now_s + request.answer_s,
    )
    return _answer(ClaimDecisionKind.NEW, entry)


def _release(release: ClaimRelease, row: ClaimRow | None, now_s: float) -> Verdict:
    attempt = make_tag(release.attempt)
    own = row is not None and row.attempt == attempt
    if row is not None and own and row.state is ClaimState.COMPLETED:
        return _answer(ClaimDecisionKind.UNKNOWN)
    if row is not None and own and row.state is ClaimState.RELEASED:
        return _answer(ClaimDecisionKind.NEW)
    if row is not None and not own and row.state is not ClaimState.RELEASED:
        return _answer(ClaimDecisionKind.UNKNOWN)
    # Written also where the log holds no such claim: a copy of the claim may be late,
    # in a forwarded message or in a write whose answer was lost.
    entry = LogEntry(
        state=ClaimState.RELEASED,
        key=release.key,
        attempt=attempt.hex(),
        at_s=now_s,
    )
    return _answer(ClaimDecisionKind.NEW, entry)


def _end(outcome: ClaimOutcome, row: ClaimRow | None, now_s: float) -> Verdict:
    attempt = make_tag(outcome.attempt)
    if row is None or row.attempt != attempt or row.state is ClaimState.RELEASED:
        return _answer(ClaimDecisionKind.UNKNOWN)
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
        # The answer is not kept, but that the call completed is.
        entry = replace(entry, answer=StoredAnswer(status=outcome.answer.status))
    return _answer(ClaimDecisionKind.STORED, entry)


def _answer(kind: ClaimDecisionKind, entry: LogEntry | None = None) -> Verdict:
    return Verdict(Decision(kind=kind), entry)
