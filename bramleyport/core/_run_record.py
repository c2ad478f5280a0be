"""Records of whether attempts and calls may have run."""

from enum import Enum

from bramleyport.core._states import Execution


class RunState(Enum):
    """Describe how far an attempt or a call has got."""

    UNSENT = "unsent"
    SENT = "sent"
    RUNNING = "running"
    REFUSED = "refused"


class RunRecord:
    """Track whether one attempt or call may have run.

    Once it is sent, only its own refusal shows that it was not run. A refusal after a
    part of an answer is a contradiction and shows nothing.
    """

    def __init__(self) -> None:
        self._state = RunState.UNSENT

    @property
    def execution(self) -> Execution:
        """Return what is known of an execution that ended without an answer."""
        if self._state in (RunState.SENT, RunState.RUNNING):
            return Execution.UNKNOWN
        return Execution.NOT_RUN

    def mark_sent(self) -> None:
        """Record that it is about to be sent, and may run from now on."""
        if self._state is RunState.UNSENT:
            self._state = RunState.SENT

    def mark_running(self) -> None:
        """Record that a part of its answer has arrived."""
        self._state = RunState.RUNNING

    def mark_refused(self) -> None:
        """Record its own answer that it was not run and never will be."""
        if self._state is not RunState.RUNNING:
            self._state = RunState.REFUSED


class CallRecord:
    """Track whether any attempt of a call may have run."""

    def __init__(self) -> None:
        self._attempts: list[RunRecord] = []

    @property
    def execution(self) -> Execution:
        """Return `NOT_RUN` if each attempt was refused or never sent."""
        for attempt in self._attempts:
            if attempt.execution is not Execution.NOT_RUN:
                return attempt.execution
        return Execution.NOT_RUN

    def add_attempt(self) -> RunRecord:
        """Return the record of a new attempt."""
        attempt = RunRecord()
        self._attempts.append(attempt)
        return attempt
