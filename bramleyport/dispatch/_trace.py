"""Records of the decisions and attempts of the request being served."""

import time
import uuid
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import (
    AttemptSummary,
    CaseKind,
    DecisionSummary,
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

# These limits keep a stored case within about 1.5 kB.
MAX_RECORDED_ATTEMPTS: Final = 6
MAX_MESSAGE_CHARACTERS: Final = 120
MAX_REASON_CHARACTERS: Final = 40
# Decisions that explain how a request ended. Routing decisions are left out, since the
# attempts name their upstreams.
RECORDED_DECISIONS: Final = frozenset({"admission", "retry", "hedge"})

_current: ContextVar["RequestTrace | None"] = ContextVar("trace", default=None)


@dataclass(slots=True)
class RequestTrace:
    """Track the decisions and attempts of one request."""

    request: RequestId
    attempts: list[AttemptSummary] = field(default_factory=list)
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
        """Return the case that is stored for the request."""
        return RequestCase(
            request=self.request,
            service=service,
            rank=rank,
            kind=kind,
            ended_at=int(time.time()),
            entry=entry,
            code=error.code.value if error else "ok",
            step=error.step if error else "",
            message=error.message[:MAX_MESSAGE_CHARACTERS] if error else "",
            execution=error.execution if error else Execution.COMPLETED,
            first_token_s=round(self.first_token_s, 3),
            answer_s=round(self.answer_s, 3),
            target_first_token_s=self.targets.first_token_s if self.targets else 0.0,
            target_answer_s=self.targets.answer_s if self.targets else 0.0,
            attempts=tuple(self.attempts[-MAX_RECORDED_ATTEMPTS:]),
            decisions=tuple(
                _summarize_decision(kind, explanation)
                for kind, explanation in self.decisions.items()
            ),
        )


def begin_trace() -> RequestTrace:
    """Start the trace of the request that the current task serves."""
    trace = RequestTrace(RequestId(f"req-{uuid.uuid4().hex}"))
    _current.set(trace)
    return trace


def record_decision(kind: str, explanation: Explanation) -> None:
    """Record a decision on the current request; only the last of each kind is kept."""
    trace = _current.get()
    if trace is not None and kind in RECORDED_DECISIONS:
        trace.decisions[kind] = explanation


def record_attempt(upstream: str, failure: AttemptFailure | None) -> None:
    """Record how an attempt of the current request ended."""
    trace = _current.get()
    if trace is None:
        return
    note = AttemptSummary(upstream=upstream)
    if failure is not None:
        note = AttemptSummary(
            upstream=upstream,
            result=failure.kind.value,
            reason=failure.reason[:MAX_REASON_CHARACTERS],
            execution=failure.execution,
        )
    trace.attempts.append(note)


def _summarize_decision(kind: str, explanation: Explanation) -> DecisionSummary:
    short = explanation.shorten()
    return DecisionSummary(kind=kind, reason=short.reason, numbers=short.numbers)
