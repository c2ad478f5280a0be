"""Retries, hedges and their budgets, and limits per upstream."""

from bramleyport.retries import (
    _budget_policy as _budget_policy,
    _count_policy as _count_policy,
)
from bramleyport.retries._base import (
    RETRY_POLICIES,
    AttemptFailure,
    FailureKind,
    GiveUp,
    RetryNow,
    RetryPolicy,
    is_repeatable,
)
from bramleyport.retries._concurrency import ConcurrencyLimit
from bramleyport.retries._ejection import EjectionState, OutlierEjector
from bramleyport.retries._guard import UPSTREAM_GUARDS, Screened, UpstreamGuard
from bramleyport.retries._hedging import HEDGE_POLICIES, HedgePlan, HedgePolicy
from bramleyport.retries._repeat_budget import (
    USABLE_FRACTION,
    RepeatBudget,
    UsableShare,
    find_usable_fraction,
    find_usable_share,
)
from bramleyport.retries._retry_budget import RetryBudget

__all__ = [
    "HEDGE_POLICIES",
    "RETRY_POLICIES",
    "UPSTREAM_GUARDS",
    "USABLE_FRACTION",
    "AttemptFailure",
    "ConcurrencyLimit",
    "EjectionState",
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
    "UpstreamGuard",
    "UsableShare",
    "find_usable_fraction",
    "find_usable_share",
    "is_repeatable",
]
