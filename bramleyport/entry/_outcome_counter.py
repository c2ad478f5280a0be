"""Count outcomes of requests by service and rank, and keep cases to explain."""

from bramleyport.core import (
    CaseKind,
    Execution,
    Outcome,
    ProcessId,
    Rank,
    ServeError,
    ServiceName,
    Work,
)
from bramleyport.dispatch._trace import RequestTrace
from bramleyport.records import CaseBuffer, CountTracker, RankCounts


class OutcomeCounter:
    """Track the outcomes in one process and those not yet sent to the reporter."""

    def __init__(self, process: ProcessId | None = None) -> None:
        self.pending = CountTracker()
        self.cases = CaseBuffer()
        self._process = process or ProcessId("")
        self._totals = CountTracker()

    def count(self, service: ServiceName, rank: Rank, outcome: Outcome) -> None:
        """Count the outcome of one request."""
        self._totals.add(service, rank, outcome)
        self.pending.add(service, rank, outcome)

    def count_answer(
        self,
        work: Work,
        first_token_s: float | None,
        answer_s: float,
        trace: RequestTrace | None = None,
    ) -> None:
        """Count an answered request as in time or late."""
        in_time = answer_s <= work.targets.answer_s
        if first_token_s is not None and first_token_s > work.targets.first_token_s:
            in_time = False
        outcome = Outcome.IN_TIME if in_time else Outcome.LATE
        self.count(work.service, work.rank, outcome)
        if trace is None:
            return
        trace.first_token_s = first_token_s or 0.0
        trace.answer_s = answer_s
        trace.targets = work.targets
        if not in_time or len(trace.attempts) > 1:
            kind = CaseKind.RETRIED if in_time else CaseKind.LATE
            self.cases.add(trace.explain(work.service, work.rank, kind, self._process))

    def count_error(
        self,
        service: ServiceName,
        rank: Rank,
        error: ServeError,
        trace: RequestTrace,
    ) -> None:
        """Count a request without an answer as rejected or unknown."""
        rejected = error.execution is Execution.NOT_RUN
        self.count(service, rank, Outcome.REJECTED if rejected else Outcome.UNKNOWN)
        kind = CaseKind.REJECTED if rejected else CaseKind.UNKNOWN
        self.cases.add(trace.explain(service, rank, kind, self._process, error))

    def get_counts(self, service: ServiceName) -> dict[Rank, RankCounts]:
        """Return the counts of a service by rank since this process started."""
        return self._totals.get_rank_counts(service)
