"""Describe the outcomes of attempts at upstreams."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.gateway._attempt_record import AttemptRecord, AttemptState, Refusal
from bramleyport.gateway._reply import RelayableAnswer
from bramleyport.http1 import ExchangeError, ExchangeFailure


class AttemptEnd(str, Enum):
    """Represent how an attempt without a usable answer ended."""

    # No byte of the call was sent, so the attempt does not count as a send.
    UNSENT = "unsent"
    # The upstream stated that it did not run the call, or could not have run it.
    NOT_RUN = "not_run"
    # The call may have run, may still be running, or ran without a usable answer.
    LOST = "lost"
    # The upstream ran the call and answered with an error.
    FAILED = "failed"


_ENDS: Final = {
    AttemptState.UNSENT: AttemptEnd.UNSENT,
    AttemptState.SENT: AttemptEnd.LOST,
    AttemptState.REFUSED: AttemptEnd.NOT_RUN,
    AttemptState.LOST: AttemptEnd.LOST,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """Describe an attempt without a usable answer."""

    upstream: UpstreamId
    end: AttemptEnd
    reason: str
    # The process of the upstream has ended: its host refused the connection, or another
    # process answered at its address.
    refused: bool = False
    # Events of a stream that this attempt has added to the answer.
    events: int = 0
    # The error answer of the upstream, if it sent one that the caller may get.
    answer: RelayableAnswer | None = None
    # The statement by which the attempt counts as not run, if there is one.
    refusal: Refusal | None = None


def make_failed(
    upstream: UpstreamId,
    record: AttemptRecord,
    cause: str | Exception,
    *,
    events: int = 0,
) -> FailedAttempt:
    """Return the failed attempt as its record tells, whatever has ended it."""
    if record.refusal is not None:
        return make_declined(upstream, record.refusal)
    unsent = record.state is AttemptState.UNSENT
    return FailedAttempt(
        upstream=upstream,
        end=_ENDS[record.state],
        reason=str(cause),
        refused=unsent and is_connection_refused(cause),
        events=events,
    )


def make_failed_with(
    upstream: UpstreamId, answer: RelayableAnswer, status: int
) -> FailedAttempt:
    """Return the failed attempt for a call that ran and was answered with an error."""
    return FailedAttempt(
        upstream=upstream,
        end=AttemptEnd.FAILED,
        reason=f"failed with {status}",
        answer=answer,
    )


def make_declined(upstream: UpstreamId, refusal: Refusal) -> FailedAttempt:
    """Return the failed attempt for a call that its upstream did not run."""
    return FailedAttempt(
        upstream=upstream,
        end=AttemptEnd.NOT_RUN,
        reason=f"declined with {refusal.status}",
        refused=refusal.instance not in (None, upstream),
        refusal=refusal,
    )


def is_connection_refused(cause: str | Exception) -> bool:
    """Return whether no process listens at the address of the upstream."""
    if not isinstance(cause, ExchangeError):
        return False
    return cause.failure is ExchangeFailure.REFUSED
