"""Record for each call, attempt by attempt, whether it may have run."""

from dataclasses import dataclass
from enum import Enum

from bramleyport.core import UpstreamId


class AttemptState(str, Enum):
    """Represent what is known of whether an attempt ran its call."""

    # No byte of the call was written.
    UNSENT = "unsent"
    # Bytes were written, so the call may run until its upstream says otherwise.
    SENT = "sent"
    # The upstream stated that it has not run the call and never will.
    REFUSED = "refused"
    # The attempt ended without such a statement, so the call may have run.
    LOST = "lost"


class NotRunBasis(str, Enum):
    """Represent on what it rests that a call has not run."""

    NOTHING_SENT = "nothing_sent"
    ALL_REFUSED = "all_refused"


class InvalidTransitionError(RuntimeError):
    """Report a change that would hide that a call may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Describe an upstream's statement that it has not run a call and never will."""

    status: int
    # The process that made the statement, if it said so.
    instance: UpstreamId | None
    # The statement names the request that it is about.
    named: bool
    # How many exchanges its connection had carried by then, this one included.
    exchanges: int


class AttemptRecord:
    """Represent the state of one attempt, which never returns from sent to unsent."""

    def __init__(self) -> None:
        self._state = AttemptState.UNSENT
        self._refusal: Refusal | None = None
        # The caller was told that its call has not run, so nothing may be sent.
        self._closed = False

    @property
    def state(self) -> AttemptState:
        """Return what is known of the attempt."""
        return self._state

    @property
    def refusal(self) -> Refusal | None:
        """Return the statement that the call was not run, if there is one."""
        return self._refusal

    @property
    def may_have_run(self) -> bool:
        """Return whether the call may have run in this attempt."""
        return self._state in (AttemptState.SENT, AttemptState.LOST)

    def record_sent(self) -> None:
        """Record that the first byte is written now; raise if the call was refused."""
        if self._closed:
            raise InvalidTransitionError("the call was refused as not run")
        self._change(AttemptState.UNSENT, AttemptState.SENT)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the statement of the upstream, an answer to this very attempt."""
        self._change(AttemptState.SENT, AttemptState.REFUSED)
        self._refusal = refusal

    def record_end(self) -> None:
        """Record that no answer to this attempt is awaited any more."""
        if self._state is AttemptState.SENT:
            self._state = AttemptState.LOST

    def close(self) -> None:
        """Permit no byte to be sent from now on."""
        self._closed = True

    def _change(self, before: AttemptState, after: AttemptState) -> None:
        if self._state is not before:
            reason = f"an attempt that is {self._state.value} can't be {after.value}"
            raise InvalidTransitionError(reason)
        self._state = after


class NotRunProof:
    """Prove that a call has not run and will not run; its attempts alone make one."""

    __slots__ = ("basis",)

    def __init__(self, attempts: "Attempts") -> None:
        """Raise InvalidTransitionError if the call may have run."""
        if attempts.may_have_run or not attempts.closed:
            raise InvalidTransitionError("the call may have run, or may run later")
        sent = attempts.sends > 0
        self.basis = NotRunBasis.ALL_REFUSED if sent else NotRunBasis.NOTHING_SENT


class Attempts:
    """Track the attempts of one call."""

    def __init__(self) -> None:
        self._records: list[AttemptRecord] = []
        # Attempts, separate prefills too, that ended before anything was sent.
        self.unsent = 0
        # No further attempt may begin, since the caller is told that the call has not
        # run.
        self.closed = False

    def begin(self) -> AttemptRecord:
        """Return the record of a new attempt; raise if the call was refused."""
        if self.closed:
            raise InvalidTransitionError("the call was refused as not run")
        record = AttemptRecord()
        self._records.append(record)
        return record

    def close(self) -> "Attempts":
        """Permit no further attempt, nor one that has begun to be sent."""
        self.closed = True
        for item in self._records:
            item.close()
        return self

    def close_unless_run(self) -> NotRunProof | None:
        """Permit no further attempt if the call has not run, and return the proof."""
        if self.may_have_run:
            return None
        return NotRunProof(self.close())

    @property
    def sends(self) -> int:
        """Return how many attempts were sent, whether they ran or not."""
        return sum(item.state is not AttemptState.UNSENT for item in self._records)

    @property
    def runs(self) -> int:
        """Return how many attempts ended after the call may have run."""
        return sum(item.state is AttemptState.LOST for item in self._records)

    @property
    def may_have_run(self) -> bool:
        """Return whether the call may have run at some upstream."""
        return any(item.may_have_run for item in self._records)
