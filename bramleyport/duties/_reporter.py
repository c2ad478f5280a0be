"""Settle usage windows in the store and send their reports, while holding the lease."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleyport.core import FencingNumber, StoreEra, StoreRevision
from bramleyport.duties._ledger import LedgerDocument, UsageLedger
from bramleyport.duties._sender import DutySender
from bramleyport.duties._windows import Counts, WindowId
from bramleyport.platform import (
    DutyResult,
    MalformedDocumentError,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    StoreError,
    StoreFailure,
    UsageReport,
    decode_ledger,
    encode_ledger,
)
from bramleyport.telemetry import Event, duty_events, log_event

LEDGER_NAME: Final = ObjectName("ledger")
CHECK_INTERVAL_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.5


class WindowSource(Protocol):
    """Represent the counts that all gateways have told this one."""

    @property
    def settled_told(self) -> WindowId | None:
        """Return the newest window that any gateway knows to be settled."""

    @property
    def first_unsent(self) -> WindowId:
        """Return the window before which all reports are known to be accepted."""

    @property
    def is_complete(self) -> bool:
        """Return whether the gateways have had time to tell what they know."""

    def find_first(self) -> WindowId:
        """Return the first window of the system, if none was settled yet."""

    def find_oldest(self) -> WindowId:
        """Return the oldest window whose counts would still be kept."""

    def find_counts(self, window: WindowId) -> Counts | None:
        """Return the counts of a window, or None if it can't be settled yet."""

    def measure_age(self, window: WindowId) -> float:
        """Return the seconds since the end of a window."""

    def record_settled(self, window: WindowId) -> None:
        """Record the newest window that is settled."""

    def record_sent_before(self, window: WindowId) -> None:
        """Record that the reports of all windows before another one were accepted."""


class UsageReporter:
    """Settle and send the windows; what was settled is kept between tenures."""

    def __init__(
        self,
        find_fencing: Callable[[], FencingNumber | None],
        store: StoreClient,
        sender: DutySender,
        windows: WindowSource,
    ) -> None:
        self._find_fencing = find_fencing
        self._store = store
        self._sender = sender
        self._windows = windows
        self.ledger = UsageLedger()
        self._revision: StoreRevision | None = None
        # The tenure in which the ledger was read.
        self._loaded: FencingNumber | None = None
        store.eras.on_restored.append(self._record_restored)

    async def run_settling(self) -> None:
        """Settle windows until cancelled."""
        while True:
            if not await self._settle():
                await asyncio.sleep(RETRY_INTERVAL_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def run_sending(self) -> None:
        """Send reports until cancelled."""
        while True:
            if not await self._send_next():
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _record_restored(self, _: StoreEra) -> None:
        self._loaded = None

    async def _settle(self) -> bool:
        """Settle what is ready; return whether the store did all that was asked."""
        fencing = self._find_fencing()
        if fencing is None or not self._windows.is_complete:
            return True
        if self._loaded != fencing:
            if not await self._load():
                return False
            self._loaded = fencing
            self._report_rewrite()
        self._skip_lost()
        document = self.ledger.propose(self._windows.find_counts)
        return document is None or await self._write(document)

    async def _load(self) -> bool:
        result = await self._store.get(ObjectKind.USAGE, LEDGER_NAME)
        stored = None
        if isinstance(result, Ok):
            try:
                stored = decode_ledger(result.ok_value.read_document())
            except MalformedDocumentError as error:
                log_event(duty_events.USAGE_INVALID, reason=str(error))
                return False
            self._revision = result.ok_value.revision
        elif result.err_value.failure is StoreFailure.NOT_FOUND:
            self._revision = None
        else:
            _log_failure(duty_events.USAGE_NOT_READ, result.err_value)
            return False
        known = self.ledger.next_window
        told, first = self._windows.settled_told, self._windows.find_first()
        self.ledger.load(stored, told, first, self._store.eras.newest)
        self.ledger.record_sent_before(self._windows.first_unsent)
        self._report_lost(stored, known)
        # What was written without an answer, or by the holder before, may be unknown to
        # the peers. They have to know it before it is sent.
        assert self.ledger.next_window is not None
        self._windows.record_settled(WindowId(self.ledger.next_window - 1))
        return True

    def _report_lost(
        self, stored: LedgerDocument | None, known: WindowId | None
    ) -> None:
        """Log windows that may have been settled, with counts that nobody knows."""
        begin = max(known or 0, stored.next_window if stored else 0)
        end = self.ledger.next_window
        if end is not None and 0 < begin < end:
            log_event(
                duty_events.USAGE_SKIPPED,
                reason="may have been settled before the store was restored",
                first=begin,
                windows=end - begin,
            )

    def _report_rewrite(self) -> None:
        if not self.ledger.is_stored and self._revision is not None:
            log_event(duty_events.USAGE_REWRITTEN, next_window=self.ledger.next_window)

    def _skip_lost(self) -> None:
        oldest = self._windows.find_oldest()
        skipped = self.ledger.skip_before(oldest)
        if skipped:
            log_event(
                duty_events.USAGE_SKIPPED,
                reason="no counts are kept",
                first=oldest - skipped,
                windows=skipped,
            )

    async def _write(self, document: LedgerDocument) -> bool:
        document = replace(document, era=self._store.eras.newest)
        body = encode_ledger(document)
        kind = ObjectKind.USAGE
        result: Result[StoredObject, StoreError]
        if self._revision is None:
            result = await self._store.create(kind, LEDGER_NAME, body)
        else:
            result = await self._store.replace(kind, LEDGER_NAME, body, self._revision)
        if isinstance(result, Err):
            if result.err_value.failure is not StoreFailure.REFUSED:
                # Another one may have written it, or this write may take effect.
                self._loaded = None
            _log_failure(duty_events.USAGE_NOT_SETTLED, result.err_value)
            return False
        self._revision = result.ok_value.revision
        self._record_settled(document)
        return True

    def _record_settled(self, document: LedgerDocument) -> None:
        cut = self.ledger.cut_accounts
        for window in self.ledger.confirm(document):
            counts = document.windows[window]
            log_event(
                duty_events.USAGE_SETTLED,
                window=window,
                accounts=len(counts),
                requests=sum(counts.values()),
                late_s=round(self._windows.measure_age(window), 2),
            )
        if cut:
            log_event(duty_events.USAGE_CUT, accounts=cut)
            self.ledger.cut_accounts = 0
        self._windows.record_settled(WindowId(document.next_window - 1))

    async def _send_next(self) -> bool:
        """Send the earliest report that is due; return whether there was one."""
        fencing = self._find_fencing()
        if fencing is None or self._loaded != fencing:
            return False
        now_s = asyncio.get_running_loop().time()
        found = self.ledger.find_unsent(now_s)
        if found is None:
            return False
        window, counts = found
        answer = await self._sender.send(UsageReport(window, counts))
        if answer.result is DutyResult.ACCEPTED:
            self.ledger.record_sent(window)
            self._windows.record_sent_before(self.ledger.find_first_unsent())
            log_event(
                duty_events.USAGE_SENT,
                window=window,
                fencing=answer.fencing,
                late_s=round(self._windows.measure_age(window), 2),
            )
        elif answer.result is not DutyResult.NOT_HELD:
            now_s = asyncio.get_running_loop().time()
            self.ledger.record_failure(window, now_s)
            log_event(
                duty_events.USAGE_NOT_SENT,
                window=window,
                fencing=answer.fencing,
                result=answer.result.value,
                reason=answer.reason,
            )
        return True


def _log_failure(event: Event, error: StoreError) -> None:
    log_event(event, failure=error.failure.value, reason=error.reason)
