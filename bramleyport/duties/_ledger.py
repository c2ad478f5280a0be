"""Decide what is settled for each usage window, and which report is sent next.

The counts of a window are final once the store has them: whoever holds the duty sends
exactly these. Windows are settled in their order, without a gap, so one number tells
which are settled.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import AccountId, StoreEra
from bramleyport.duties._pacing import Backoff
from bramleyport.duties._windows import KEPT_WINDOWS, Counts, WindowId

# The store takes values of up to a megabyte.
MAX_DOCUMENT_BYTES: Final = 900_000
# Reports that wait for the platform API; further windows are not settled until then.
MAX_UNSENT: Final = 512
# Of a store that names none.
NO_ERA: Final = StoreEra(0)
# The rest of the entry of a window in the document.
ENTRY_BYTES: Final = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerDocument:
    """Represent the settled windows in the store."""

    # The earliest window that is not settled.
    next_window: WindowId
    # All windows before this one were accepted by the platform API.
    first_unsent: WindowId
    windows: dict[WindowId, Counts]
    # Era of the store in which it was written. If a later one has begun, the store was
    # restored, and may lack what was written after it.
    era: StoreEra = NO_ERA


@dataclass(slots=True)
class _SettledWindow:
    counts: Counts
    size_bytes: int
    sent: bool = False
    backoff: Backoff = field(default_factory=Backoff)


class UsageLedger:
    """Represent the settled windows as one process knows them."""

    def __init__(self) -> None:
        self._next: WindowId | None = None
        self._settled: dict[WindowId, _SettledWindow] = {}
        # Counts in a write whose effect is not known; no others may be written.
        self._proposed: dict[WindowId, Counts] = {}
        # Whether the store has all that is settled here.
        self._is_stored = False
        # Accounts that were left out of windows too large to be stored.
        self.cut_accounts = 0

    @property
    def next_window(self) -> WindowId | None:
        """Return the earliest window that is not settled; None before a load."""
        return self._next

    @property
    def is_stored(self) -> bool:
        """Return whether the store has all windows that are settled here."""
        return self._is_stored

    @property
    def unsent(self) -> int:
        """Return how many settled windows the platform API has not accepted."""
        return sum(not item.sent for item in self._settled.values())

    def load(
        self,
        stored: LedgerDocument | None,
        told: WindowId | None,
        first: WindowId,
        era: StoreEra = NO_ERA,
    ) -> None:
        """Take over what is stored.

        A restored store may lack windows. Those that this process settled are written
        again. Those that only the peers know to be settled, up to `told`, may have been
        sent with counts that nobody knows, so nothing is sent for them. The same holds
        for windows before `first`, the earliest in which any gateway that is left ran.
        Without anything settled, that is the first window.
        """
        own = self._next
        is_copy = stored is not None and stored.era < era
        candidates = [] if told is None else [WindowId(told + 1)]
        candidates += [] if own is None else [own]
        candidates += [first] if is_copy else []
        is_same = False
        if stored is not None:
            candidates.append(stored.next_window)
            self._add_stored(stored)
            is_same = all(
                self._settled[window].counts == counts
                for window, counts in stored.windows.items()
            )
        self._next = max(candidates, default=first)
        for window in [item for item in self._proposed if item < self._next]:
            del self._proposed[window]
        is_complete = stored is not None and stored.next_window == self._next
        self._is_stored = is_complete and is_same

    def skip_before(self, oldest: WindowId) -> int:
        """Give up windows of which no counts are kept; return how many."""
        assert self._next is not None
        skipped = max(0, oldest - self._next)
        if skipped:
            self._next, self._is_stored = oldest, False
        return skipped

    def propose(
        self, find_counts: Callable[[WindowId], Counts | None]
    ) -> LedgerDocument | None:
        """Return what is to be written; None if the store has all that is ready.

        The function returns the counts of a window that may be settled.
        """
        assert self._next is not None
        room_bytes = MAX_DOCUMENT_BYTES - self._measure_unsent()
        room = MAX_UNSENT - self.unsent
        added: dict[WindowId, Counts] = {}
        window = self._next
        while len(added) < room:
            counts = self._proposed.get(window)
            if counts is None:
                counts = find_counts(window)
            if counts is None:
                break
            counts = self._cut(counts)
            room_bytes -= _measure(counts)
            if room_bytes < 0:
                break
            added[window] = self._proposed[window] = counts
            window = WindowId(window + 1)
        if not added and self._is_stored:
            return None
        return self._make_document(window, added, room_bytes)

    def confirm(self, document: LedgerDocument) -> list[WindowId]:
        """Record that a document is stored; return the windows that are new in it."""
        added = [item for item in document.windows if item not in self._settled]
        self._add_stored(document)
        self._next = document.next_window
        self._proposed.clear()
        self._is_stored = True
        self._settled = {
            window: item
            for window, item in self._settled.items()
            if window in document.windows or window >= document.next_window
        }
        return added

    def find_unsent(self, now_s: float) -> tuple[WindowId, Counts] | None:
        """Return the earliest report that has not failed, or failed longest ago.

        The platform API may accept reports and answer too late: the same ones again and
        again would hold up all others.
        """
        if not self._is_stored:
            return None
        ready = [
            (item.backoff.until_s, window)
            for window, item in self._settled.items()
            if not item.sent and item.backoff.until_s <= now_s
        ]
        if not ready:
            return None
        _, window = min(ready)
        return window, self._settled[window].counts

    def record_sent(self, window: WindowId) -> None:
        """Record that the platform API has accepted the report of a window."""
        if window in self._settled:
            self._settled[window].sent = True

    def record_sent_before(self, first_unsent: WindowId) -> None:
        """Record that all reports before a window were accepted."""
        for window, item in self._settled.items():
            item.sent |= window < first_unsent

    def find_first_unsent(self) -> WindowId:
        """Return the window before which all reports were accepted."""
        assert self._next is not None
        unsent = [key for key, item in self._settled.items() if not item.sent]
        return min(unsent, default=self._next)

    def record_failure(self, window: WindowId, now_s: float) -> None:
        """Record that a report was not accepted, as far as is known."""
        if window in self._settled:
            self._settled[window].backoff.record_failure(now_s)

    def _add_stored(self, document: LedgerDocument) -> None:
        for window, counts in document.windows.items():
            # What this process has settled before, and may have sent, stays.
            known = self._settled.get(window)
            if known is None:
                known = _SettledWindow(counts, _measure(counts))
                self._settled[window] = known
            known.sent |= window < document.first_unsent

    def _make_document(
        self, end: WindowId, added: dict[WindowId, Counts], room_bytes: int
    ) -> LedgerDocument:
        windows = dict(added)
        for window in sorted(self._settled, reverse=True):
            item = self._settled[window]
            if item.sent:
                # Needed by no one but operators.
                room_bytes -= item.size_bytes
                if room_bytes < 0 or len(windows) >= KEPT_WINDOWS:
                    continue
            windows[window] = item.counts
        return LedgerDocument(
            next_window=end,
            first_unsent=min(self.find_first_unsent(), *added, end),
            windows=dict(sorted(windows.items())),
        )

    def _measure_unsent(self) -> int:
        return sum(item.size_bytes for item in self._settled.values() if not item.sent)

    def _cut(self, counts: Counts) -> Counts:
        """Return the counts without the smallest ones that no document can hold."""
        excess_bytes = _measure(counts) - MAX_DOCUMENT_BYTES
        if excess_bytes <= 0:
            return counts
        kept = dict(counts)
        for account in sorted(counts, key=lambda name: counts[name]):
            if excess_bytes <= 0:
                break
            excess_bytes -= _measure_account(account, kept.pop(account))
            self.cut_accounts += 1
        return kept


def _measure(counts: Counts) -> int:
    """Return the size of counts in the document, in bytes or a little more."""
    sizes = (_measure_account(name, count) for name, count in counts.items())
    return ENTRY_BYTES + sum(sizes)


def _measure_account(account: AccountId, count: int) -> int:
    # A colon, a comma and a space after each.
    return len(json.dumps(account)) + len(str(count)) + 4
