"""Retries within a budget in proportion to first attempts."""

from typing import Final

from bramleyport.core import Explanation, Rank, Work
from bramleyport.retries._base import (
    RETRY_POLICIES,
    AttemptFailure,
    GiveUp,
    RetryNow,
    is_repeatable,
)
from bramleyport.retries._retry_budget import RetryBudget

# If so many upstreams fail, the fault is most likely in the request.
MAX_ATTEMPTS: Final = 4
RETRY_AFTER_S: Final = 1.0
# Reasons of agents that refuse or drop work that would be late even if started at once.
# Retries of such work are nearly all refused again, and spend the budget for work that
# is in time.
TOO_LATE_REASONS: Final = frozenset(("too_late", "deadline"))
# Fractions of the budget that a rank leaves to more urgent ranks. Without them, a flood
# of refused batch work left no retries for urgent requests.
RESERVED_FRACTIONS: Final = {Rank.URGENT: 0.0, Rank.STANDARD: 1 / 3, Rank.BATCH: 2 / 3}
# Callers that retry while the budget is empty would only spend it again.
MAX_RETRY_AFTER_S: Final = 10.0


@RETRY_POLICIES.register("budget")
class BudgetRetries:
    """Decide to retry repeatable work while the shared budget allows it."""

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self.budget = budget or RetryBudget()

    def record_request(self, now_s: float) -> None:
        """Count a first attempt towards the retry budget."""
        self.budget.record_request(now_s)

    def decide(
        self, attempts: int, work: Work, failure: AttemptFailure, now_s: float
    ) -> RetryNow | GiveUp:
        """Decide whether to retry after the given number of attempts."""
        reason = self._find_obstacle(attempts, work, failure, now_s)
        reserved = RESERVED_FRACTIONS[work.rank] * self.budget.burst
        if reason is None and not self.budget.take(now_s, reserved):
            reason = "budget_spent"
        numbers = {
            "attempts": float(attempts),
            "budget": round(self.budget.tokens, 3),
            "time_left_s": round(work.answer_deadline_s - now_s, 3),
        }
        if reason is None:
            return RetryNow(Explanation(reason="within_budget", numbers=numbers))
        retry_after_s = max(failure.retry_after_s, RETRY_AFTER_S)
        if reason == "budget_spent":
            refill_s = min(MAX_RETRY_AFTER_S, self.budget.forecast_token())
            retry_after_s = max(retry_after_s, refill_s)
        explanation = Explanation(reason=reason, numbers=numbers)
        return GiveUp(explanation, failure.execution, retry_after_s)

    def _find_obstacle(
        self, attempts: int, work: Work, failure: AttemptFailure, now_s: float
    ) -> str | None:
        if not is_repeatable(work, failure):
            return "not_repeatable"
        if now_s >= work.answer_deadline_s:
            return "deadline"
        if attempts >= MAX_ATTEMPTS:
            return "attempts_spent"
        if failure.reason in TOO_LATE_REASONS:
            return "too_late"
        return None
