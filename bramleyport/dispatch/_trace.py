"""What an entry notes of one request while it serves it."""

import time
import uuid
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import (
    AttemptNote,
    CaseKind,
    DecisionNote,
    Execution,
    Explanation,
    ProcessId,
    Rank,
    RequestCase,
    RequestId,
    ServeError,
    ServiceName,
    Targets,
)
from bramleyport.retries import AttemptFailure

# Bounds one case to about 1.5 kB.
ATTEMPTS_NOTED: Final = 6
MESSAGE_CHARACTERS: Final = 120
REASON_CHARACTERS: Final = 40
# Decisions that explain how a request ended; routing is seen in the attempts.
NOTED_DECISIONS: Final = frozenset({"admission", "retry", "hedge"})

_current: ContextVar["RequestTrace | None"] = ContextVar("trace", default=None)


@dataclass(slots=True)
class RequestTrace:
    """Hold the decisions and attempts of one request."""

    request: RequestId
    attempts: list[AttemptNote] = field(default_factory=list)
    decisions: dict[str, Explanation] = field(default_factory=dict)
    first_token_s: float = 0.0
    answer_s: float = 0.0
    targets: Targets | None = None

    def explain(
        self,
        service: ServiceName,
        rank: Rank,
        kind: CaseKind,
        entry: ProcessId,
        error: ServeError | None = None,
    ) -> RequestCase:
        """Return what is kept of the request."""
        return RequestCase(
            request=self.request,
            service=service,
            rank=rank,
            kind=kind,
            ended_at=int(time.time()),
            entry=entry,
            code=error.code.value if error else "ok",
            step=error.step if error else "",
            message=error.message[:MESSAGE_CHARACTERS] if error else "",
            execution=error.execution if error else Execution.COMPLETED,
            first_token_s=round(self.first_token_s, 3),
            answer_s=round(self.answer_s, 3),
            target_first_token_s=self.targets.first_token_s if self.targets else 0.0,
            target_answer_s=self.targets.answer_s if self.targets else 0.0,
            attempts=tuple(self.attempts[-ATTEMPTS_NOTED:]),
            decisions=tuple(
                _note(kind, explanation) for kind, explanation in self.decisions.items()
            ),
        )


def begin_trace() -> RequestTrace:
    """Start the trace of the request that the current task serves."""
    trace = RequestTrace(RequestId(f"req-{uuid.uuid4().hex}"))
    _current.set(trace)
    return trace


def note_decision(kind: str, explanation: Explanation) -> None:
    """Note a decision on the current request; the last one of a kind is kept."""
    trace = _current.get()
    if trace is not None and kind in NOTED_DECISIONS:
        trace.decisions[kind] = explanation


def note_attempt(upstream: str, failure: AttemptFailure | None) -> None:
    """Note how an attempt of the current request ended."""
    trace = _current.get()
    if trace is None:
        return
    note = AttemptNote(upstream=upstream)
    if failure is not None:
        note = AttemptNote(
            upstream=upstream,
            result=failure.kind.value,
            reason=failure.reason[:REASON_CHARACTERS],
            execution=failure.execution,
        )
    trace.attempts.append(note)


def _note(kind: str, explanation: Explanation) -> DecisionNote:
    short = explanation.shorten()
    return DecisionNote(kind=kind, reason=short.reason, numbers=short.numbers)
