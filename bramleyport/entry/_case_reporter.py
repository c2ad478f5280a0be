"""Write request cases to the object API, in one object for each service."""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from bramleyport.core import RequestCase, ServiceName
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    StoredObject,
    StoreError,
    StoreFailure,
)
from bramleyport.records import merge_cases, read_cases, write_cases
from bramleyport.telemetry import log_event, operator_events

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyport.entry._outcome_counter import OutcomeCounter

POLL_INTERVAL_S: Final = 1.0
# One report is written at a time, so that the rate of 0.06 writes/s does not grow with
# the number of records. Each write reads, sends and returns a report of up to 19 kB.
WRITE_INTERVAL_S: Final = 16.0


class CaseReporter:
    """Represent the writer of request cases, active while this process reports."""

    def __init__(
        self,
        client: ObjectClient,
        outcomes: "OutcomeCounter",
        is_reporter: "Callable[[], bool]",
    ) -> None:
        self._client = client
        self._outcomes = outcomes
        self._is_reporter = is_reporter
        self._written_s = -WRITE_INTERVAL_S

    async def run(self) -> None:
        """Write reports until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s = time.monotonic()
            due = now_s - self._written_s >= WRITE_INTERVAL_S
            if due and self._is_reporter() and await self.write_next():
                self._written_s = now_s

    async def write_next(self) -> bool:
        """Write the report that has waited longest; return whether there was one."""
        waiting = self._outcomes.cases.list_services()
        if not waiting:
            return False
        added = self._outcomes.cases.take_service(waiting[0])
        result = await self._write(waiting[0], added)
        if isinstance(result, Err):
            # Written in a later round, after the report of another writer was read.
            for case in added:
                self._outcomes.cases.add(case)
            log_event(
                operator_events.REPORT_NOT_WRITTEN,
                record=waiting[0],
                reason=result.err_value.failure.value,
            )
        return True

    async def _write(
        self, service: ServiceName, added: tuple[RequestCase, ...]
    ) -> Result[StoredObject, StoreError]:
        # Read for each write: copies of all reports would take 4 MB at the target size.
        name = ObjectName(service)
        stored = await self._client.get(Kind.REPORTS, name)
        if isinstance(stored, Ok):
            existing = stored.ok_value
            document = write_cases(merge_cases(read_cases(existing.spec), added))
            version = existing.version
            return await self._client.update(Kind.REPORTS, name, version, document, {})
        if stored.err_value.failure is not StoreFailure.NOT_FOUND:
            return stored
        document = write_cases(merge_cases((), added))
        return await self._client.create(Kind.REPORTS, name, document, {})
