"""Retries, budgets and limits per upstream."""

from bramleyport.retries import _budgeted as _budgeted, _counted as _counted
from bramleyport.retries._base import (
    RETRY_POLICIES,
    AttemptFailure,
    FailureKind,
    GiveUp,
    RetryNow,
    RetryPolicy,
    is_repeatable,
)
from bramleyport.retries._bucket import RetryBudget
from bramleyport.retries._concurrency import ConcurrencyLimit
from bramleyport.retries._ejection import OutlierEjector, Standing
from bramleyport.retries._guard import UPSTREAM_GUARDS, Screened, UpstreamGuard
from bramleyport.retries._hedging import HEDGE_POLICIES, HedgePlan, HedgePolicy
from bramleyport.retries._window import RepeatBudget

__all__ = [
    "HEDGE_POLICIES",
    "RETRY_POLICIES",
    "UPSTREAM_GUARDS",
    "AttemptFailure",
    "ConcurrencyLimit",
    "FailureKind",
    "GiveUp",
    "HedgePlan",
    "HedgePolicy",
    "OutlierEjector",
    "RepeatBudget",
    "RetryBudget",
    "RetryNow",
    "RetryPolicy",
    "Screened",
    "Standing",
    "UpstreamGuard",
    "is_repeatable",
]
