"""Measurements of a run of the policy benchmark."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bramleyport.bench._policy_traffic import Request
from bramleyport.core import EngineRole, Rank, ServiceKind, UpstreamId


@dataclass(slots=True)
class RequestRun:
    """Track one request from its arrival to its end."""

    request: Request
    attempts: int = 0
    tried: set[UpstreamId] = field(default_factory=set)
    first_s: float | None = None
    last_s: float = 0.0
    produced: int = 0
    result: str = "open"
    # When the latest attempt that was not refused was queued.
    queued_s: float = 0.0
    started_s: float = 0.0
    cached_tokens: int = 0
    # Time that other requests' prefill added to the steps that decode this request.
    batched_prefill_s: float = 0.0
    # Why the last attempt was refused, if it was, and why the request was not retried.
    last_refusal: str | None = None
    give_up_reason: str = ""

    def met_targets(self) -> bool:
        """Return whether the answer met all targets of its rank."""
        return self.find_missed_target() is None

    def find_missed_target(self) -> str | None:
        """Return the first target that was missed, or None if all were met.

        The target for the time between tokens applies to the mean over the answer.
        """
        work = self.request.work
        if self.result != "completed" or self.first_s is None:
            return self.result
        if self.last_s > work.answer_deadline_s:
            return "answer"
        if work.kind is ServiceKind.PLAIN:
            return None
        if self.first_s > work.first_token_deadline_s:
            return "first_token"
        intervals = max(1, self.produced - 1)
        mean_interval_s = (self.last_s - self.first_s) / intervals
        return (
            "between_tokens"
            if mean_interval_s > work.targets.between_tokens_s
            else None
        )


@dataclass(slots=True)
class Recorder:
    """Track the measurements of one run."""

    runs: list[RequestRun] = field(default_factory=list)
    # Number of intervals between tokens by rank and whole milliseconds.
    intervals_ms: defaultdict[Rank, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    counts: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    role_changes: Counter[UpstreamId] = field(default_factory=Counter)
    decision_s: list[float] = field(default_factory=list)
    plan_s: list[float] = field(default_factory=list)
    roles: list[tuple[float, dict[EngineRole, int]]] = field(default_factory=list)
    engines: list[tuple[float, int]] = field(default_factory=list)

    def record_interval(self, rank: Rank, interval_s: float) -> None:
        """Count one interval between tokens."""
        self.intervals_ms[rank][round(interval_s * 1000)] += 1
