"""Record what callers and upstreams see, and check it against the rules."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NewType

CallId = NewType("CallId", str)

# These statuses promise that the call has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
# These promise nothing.
FAILURES: Final = frozenset((502, 504))


class Rule(str, Enum):
    """Represent the rules that the search checks."""

    TWICE = "twice"
    REFUSED = "refused"
    # A call that has certainly not run has to be refused, so that it can be sent again.
    NEEDLESS_FAILURE = "needless_failure"


@dataclass(slots=True)
class SentAttempt:
    """Describe one attempt of a call that was written to an upstream."""

    upstream: str
    sent_turn: int
    # The turn in which the gateway read a whole refusal that names the call.
    refused_turn: int | None = None


@dataclass(slots=True)
class CallRecord:
    """Describe one try of a caller to have its call served, and what became of it."""

    call: CallId
    number: int
    path: str
    # Only such calls must run at most once.
    runs_once: bool
    deadline_s: float
    # The try before, which was refused.
    earlier: "CallRecord | None" = None
    attempts: list[SentAttempt] = field(default_factory=list)
    # The upstreams that began to run it.
    runs: list[str] = field(default_factory=list)
    status: int | None = None
    # Whether the answer is that of an upstream which ran the call.
    is_stamped: bool = False
    # The turn in which the gateway wrote the status.
    answered_turn: int | None = None

    def check(self) -> list[Rule]:
        """Return the rules that were broken, once nothing more can happen."""
        broken = []
        if self.runs_once and self.runs and self._count_runs() > 1:
            broken.append(Rule.TWICE)
        if self.promises_no_run and self.runs:
            broken.append(Rule.REFUSED)
        if self.runs_once and self.status in FAILURES and self._is_known_not_run():
            broken.append(Rule.NEEDLESS_FAILURE)
        return broken

    @property
    def promises_no_run(self) -> bool:
        """Return whether the answer says that the call has not run.

        The answer of an upstream to a call that may be repeated is relayed unchanged.
        """
        is_relayed = self.is_stamped and not self.runs_once
        return self.status in PROMISES and not is_relayed

    def _count_runs(self) -> int:
        """Return how often the call was run in this and all earlier tries."""
        before = self.earlier._count_runs() if self.earlier else 0
        return before + len(self.runs)

    def _is_known_not_run(self) -> bool:
        """Return whether the gateway could know that the call has not run."""
        assert self.answered_turn is not None
        return all(
            attempt.refused_turn is not None
            and attempt.refused_turn <= self.answered_turn
            for attempt in self.attempts
            if attempt.sent_turn <= self.answered_turn
        )
