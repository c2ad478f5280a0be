"""Count the requests that upstreams began to run, by usage window and account."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final, NewType

from bramleyport.core import AccountId, ProcessId

# Windows since the start of 1970.
WindowId = NewType("WindowId", int)
Counts = Mapping[AccountId, int]

# Windows that are kept until they are settled.
KEPT_WINDOWS: Final = 64
# Fractions of the time at which a report is due. Calls whose answers arrive within the
# first are counted in the window in which they began; a gateway whose counts have not
# arrived within the second is not awaited.
CLOSE_FRACTION: Final = 0.2
SETTLE_FRACTION: Final = 0.35
# A gateway that has told no counts for this long has ended, or is out of reach.
SILENT_AFTER_S: Final = 2.0
MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class WindowTimes:
    """Define when windows begin, are closed at each gateway, and are settled."""

    window_s: float
    # Times after the end of a window.
    close_delay_s: float
    settle_limit_s: float

    @classmethod
    def plan(cls, window_s: float, report_due_s: float) -> "WindowTimes":
        """Return the times by which reports are sent well before they are due."""
        return cls(
            window_s, CLOSE_FRACTION * report_due_s, SETTLE_FRACTION * report_due_s
        )

    def find_window(self, wall_s: float) -> WindowId:
        """Return the window at a point in time."""
        return WindowId(math.floor(wall_s / self.window_s))

    def find_end(self, window: WindowId) -> float:
        """Return the end of a window in Unix seconds."""
        return (window + 1) * self.window_s

    def find_first_open(self, wall_s: float) -> WindowId:
        """Return the earliest window that still counts requests."""
        return self.find_window(wall_s - self.close_delay_s)

    def is_overdue(self, window: WindowId, wall_s: float) -> bool:
        """Return whether a window is settled even if some counts are missing."""
        return wall_s >= self.find_end(window) + self.settle_limit_s


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Describe cumulative counts that one gateway tells of one window."""

    window: WindowId
    # Of some accounts; the others are told apart.
    counts: Counts
    # Sum of all its counts once the window is closed; None before.
    total: int | None = None


@dataclass(frozen=True, slots=True)
class Origin:
    """Identify the process of a gateway that counted."""

    process: ProcessId
    # Start of the process in Unix milliseconds.
    incarnation: int


class OwnCounts:
    """Count what this gateway has sent, from the window of its start."""

    def __init__(self, first: WindowId) -> None:
        self._counts: dict[WindowId, Counter[AccountId]] = {}
        self._first_open = first
        # The earliest window that is kept.
        self._first = first

    def record(self, account: AccountId, window: WindowId) -> None:
        """Count a request; one of a closed window counts in the first that is open.

        That keeps the sum of all windows right.
        """
        window = max(window, self._first_open, self._first)
        self._counts.setdefault(window, Counter())[account] += 1

    def close_before(self, first_open: WindowId) -> None:
        """Close the windows before another one; their counts don't change any more."""
        self._first_open = max(self._first_open, first_open)
        self.drop_before(WindowId(self._first_open - KEPT_WINDOWS))

    def drop_before(self, first: WindowId) -> None:
        """Forget the windows before another one."""
        self._first = max(self._first, first)
        for window in [item for item in self._counts if item < self._first]:
            del self._counts[window]

    def list_windows(self) -> Iterator[WindowCounts]:
        """Yield the counts of each window, also of those without any, newest first."""
        newest = max(self._counts, default=self._first_open)
        for number in range(max(newest, self._first_open), self._first - 1, -1):
            window = WindowId(number)
            counts = self._counts.get(window, Counter())
            total = counts.total() if window < self._first_open else None
            yield WindowCounts(window, counts, total)


@dataclass(slots=True)
class _OriginCounts:
    counts: dict[AccountId, int] = field(default_factory=dict)
    total: int | None = None

    @property
    def is_complete(self) -> bool:
        return self.total is not None and sum(self.counts.values()) >= self.total


class GroupCounts:
    """Add up what all gateways have counted, as far as it was told here."""

    def __init__(self, times: WindowTimes) -> None:
        self._times = times
        self._windows: dict[WindowId, dict[Origin, _OriginCounts]] = {}
        self._heard_s: dict[Origin, float] = {}
        self._first = WindowId(0)

    def apply(self, origin: Origin, told: WindowCounts, now_s: float) -> None:
        """Apply counts; they only rise, so those that arrive late change nothing."""
        self._heard_s[origin] = now_s
        if told.window < self._first:
            return
        origins = self._windows.setdefault(told.window, {})
        known = origins.setdefault(origin, _OriginCounts())
        for account, count in told.counts.items():
            known.counts[account] = max(count, known.counts.get(account, 0))
        if told.total is not None:
            known.total = told.total

    def is_complete(self, window: WindowId, now_s: float) -> bool:
        """Return whether all gateways that ran in a window have told all its counts."""
        end_ms = self._times.find_end(window) * MS_PER_S
        known = self._windows.get(window, {})
        return all(
            origin in known and known[origin].is_complete
            for origin, heard_s in self._heard_s.items()
            if now_s - heard_s < SILENT_AFTER_S and origin.incarnation < end_ms
        )

    def sum_counts(self, window: WindowId) -> dict[AccountId, int]:
        """Return the counts of a window by account."""
        total: Counter[AccountId] = Counter()
        for item in self._windows.get(window, {}).values():
            total.update(item.counts)
        return dict(total)

    def find_first(self) -> WindowId | None:
        """Return the earliest window of which any gateway has told."""
        return min(self._windows, default=None)

    def drop_before(self, first: WindowId) -> None:
        """Forget the windows before another one, and the gateways of these alone."""
        self._first = max(self._first, first)
        for window in [item for item in self._windows if item < self._first]:
            del self._windows[window]
        used = {origin for item in self._windows.values() for origin in item}
        for origin in self._heard_s.keys() - used:
            del self._heard_s[origin]
