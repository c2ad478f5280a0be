"""Duties of all gateways together, which one of them holds at a time.

The modules of this package but `_reporter` and `_sender` are pure. These two are
imported by the gateway that has duties only.
"""

from bramleyport.duties._clock import GroupClock
from bramleyport.duties._ledger import LedgerDocument, UsageLedger
from bramleyport.duties._pacing import Backoff, CallPacing
from bramleyport.duties._run_times import RunTimes
from bramleyport.duties._windows import (
    KEPT_WINDOWS,
    Counts,
    GroupCounts,
    Origin,
    OwnCounts,
    WindowCounts,
    WindowId,
    WindowTimes,
)

__all__ = [
    "KEPT_WINDOWS",
    "Backoff",
    "CallPacing",
    "Counts",
    "GroupClock",
    "GroupCounts",
    "LedgerDocument",
    "Origin",
    "OwnCounts",
    "RunTimes",
    "UsageLedger",
    "WindowCounts",
    "WindowId",
    "WindowTimes",
]
