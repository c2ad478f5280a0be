"""Keep explained requests in the object API, in one object for each service."""

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

    from bramleyport.entry._outcomes import OutcomeCounter

TICK_S: Final = 1.0
# One report at a time, so that the rate does not grow with the records: 0.06 writes/s;
# a full report of 19 kB is read, sent and returned.
WRITE_INTERVAL_S: Final = 16.0


class CaseReporter:
    """Write the reports while this process is the one chosen to."""

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
        """Report until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            due = now_s - self._written_s >= WRITE_INTERVAL_S
            if due and self._is_reporter() and await self.write_next():
                self._written_s = now_s

    async def write_next(self) -> bool:
        """Write the report of the service that waits longest and return whether."""
        waiting = self._outcomes.cases.list_services()
        if not waiting:
            return False
        added = self._outcomes.cases.take_service(waiting[0])
        result = await self._write(waiting[0], added)
        if isinstance(result, Err):
            # A later round writes them, after it has read what another one wrote.
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
        # Read each time: a copy of every report would take 4 MB at the target size.
        name = ObjectName(service)
        stored = await self._client.get(Kind.REPORTS, name)
        if isinstance(stored, Ok):
            held = stored.ok_value
            document = write_cases(merge_cases(read_cases(held.spec), added))
            version = held.version
            return await self._client.update(Kind.REPORTS, name, version, document, {})
        if stored.err_value.failure is not StoreFailure.NOT_FOUND:
            return stored
        document = write_cases(merge_cases((), added))
        return await self._client.create(Kind.REPORTS, name, document, {})
