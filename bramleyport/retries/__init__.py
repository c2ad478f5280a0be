"""Retries, budgets and limits per upstream."""

from bramleyport.retries import _counted as _counted
from bramleyport.retries._base import (
    RETRY_POLICIES,
    AttemptFailure,
    FailureKind,
    GiveUp,
    RetryNow,
    RetryPolicy,
    is_repeatable,
)

__all__ = [
    "RETRY_POLICIES",
    "AttemptFailure",
    "FailureKind",
    "GiveUp",
    "RetryNow",
    "RetryPolicy",
    "is_repeatable",
]
