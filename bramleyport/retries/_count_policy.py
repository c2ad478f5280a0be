"""Baseline retries up to a fixed number of attempts."""

from typing import Final

from bramleyport.core import Explanation, Work
from bramleyport.retries._base import (
    RETRY_POLICIES,
    AttemptFailure,
    GiveUp,
    RetryNow,
    is_repeatable,
)
from bramleyport.retries._retry_budget import RetryBudget

MAX_ATTEMPTS: Final = 3
RETRY_AFTER_S: Final = 1.0


@RETRY_POLICIES.register("counted")
class CountedRetries:
    """Decide to retry repeatable work up to a fixed number of attempts."""

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self.budget = budget

    def record_request(self, now_s: float) -> None:
        """Ignore first attempts, as this policy has no budget."""

    def decide(
        self, attempts: int, work: Work, failure: AttemptFailure, now_s: float
    ) -> RetryNow | GiveUp:
        """Decide whether to retry after the given number of attempts."""
        retry_after_s = max(failure.retry_after_s, RETRY_AFTER_S)
        if not is_repeatable(work, failure):
            explanation = Explanation(reason="not_repeatable")
        elif attempts >= MAX_ATTEMPTS:
            explanation = Explanation(reason="attempts_spent")
        elif now_s >= work.answer_deadline_s:
            explanation = Explanation(reason="deadline")
        else:
            return RetryNow(Explanation(reason="repeatable"))
        return GiveUp(explanation, failure.execution, retry_after_s)
