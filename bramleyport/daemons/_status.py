"""Write the status of each record back to the object API."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from result import Err

from bramleyport.core import (
    Problem,
    ProcessId,
    Revision,
    ServiceKind,
    ServiceName,
    UpstreamView,
)
from bramleyport.objectapi import Kind, ObjectClient, StoredObject
from bramleyport.records import (
    RecordStatus,
    ServiceRecord,
    digest_spec,
    find_spec_revision,
    make_conditions,
    parse_record,
    read_status,
    write_status,
)
from bramleyport.telemetry import Journal, events, log_event

if TYPE_CHECKING:
    from bramleyport.daemons._outcomes import OutcomeCounter

INTERVAL_S: Final = 2.0
COUNTS_INTERVAL_S: Final = 30.0
DECISIONS_SHOWN: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """Hold what the reporting process knows of the fleet."""

    views: Sequence[UpstreamView]
    revisions: Sequence[Revision]


class StatusReporter:
    """Report on the records while this process is the one chosen to."""

    def __init__(
        self,
        process: ProcessId,
        client: ObjectClient,
        outcomes: "OutcomeCounter",
        journal: Journal,
        read_fleet: Callable[[], FleetState],
        is_reporter: Callable[[], bool],
    ) -> None:
        self._process = process
        self._client = client
        self._outcomes = outcomes
        self._journal = journal
        self._read_fleet = read_fleet
        self._is_reporter = is_reporter
        self._written_s: dict[str, float] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self._is_reporter():
                await self.report()

    async def report(self) -> None:
        """Write the status of each record that has changed."""
        listing = await self._client.list_all(Kind.SERVICES)
        if isinstance(listing, Err):
            return
        for item in listing.ok_value.items:
            status = self._describe(item)
            if self._is_due(item, status):
                await self._write(item, status)

    async def _write(self, item: StoredObject, status: RecordStatus) -> None:
        self._written_s[item.name] = asyncio.get_running_loop().time()
        result = await self._client.update(
            Kind.SERVICES, item.name, item.version, item.spec, write_status(status)
        )
        # A conflict means that an operator wrote first; the next round reports on that.
        if isinstance(result, Err):
            log_event(
                events.STATUS_NOT_WRITTEN,
                record=item.name,
                reason=result.err_value.failure.value,
            )

    def _is_due(self, item: StoredObject, status: RecordStatus) -> bool:
        before = _read_stored(item)
        if before is None:
            return True
        if _strip_counts(before) != _strip_counts(status):
            return True
        now_s = asyncio.get_running_loop().time()
        waited_s = now_s - self._written_s.get(item.name, -COUNTS_INTERVAL_S)
        return before != status and waited_s >= COUNTS_INTERVAL_S

    def _describe(self, item: StoredObject) -> RecordStatus:
        parsed = parse_record(item.spec)
        problems: list[Problem] = []
        upstreams: list[UpstreamView] = []
        fleet = self._read_fleet()
        # Plans are logged under the pool, which is named after the model.
        names: set[str] = {item.name}
        if isinstance(parsed, Err):
            problems = parsed.err_value
        else:
            record = parsed.ok_value
            if record.model is not None:
                names.add(record.model.name)
            upstreams = [view for view in fleet.views if _serves(view, record)]
        stored = _read_stored(item)
        spec_revision = find_spec_revision(item.spec, stored, item.revision)
        in_force = sum(revision >= spec_revision for revision in fleet.revisions)
        roles = Counter(view.role.value for view in upstreams)
        return RecordStatus(
            observed_revision=spec_revision,
            in_force=in_force,
            processes=len(fleet.revisions),
            ranks=self._outcomes.read(ServiceName(item.name)),
            engines_by_role=dict(sorted(roles.items())),
            decisions=self._list_decisions(names),
            conditions=make_conditions(
                problems, in_force, len(fleet.revisions), len(upstreams)
            ),
            reported_by=self._process,
            spec_digest=digest_spec(item.spec),
        )

    def _list_decisions(self, names: set[str]) -> tuple[str, ...]:
        latest = self._journal.list_latest(100)
        chosen = [entry for entry in latest if entry.fields.get("service") in names]
        return tuple(f"{e.time} {e.text}" for e in chosen[:DECISIONS_SHOWN])


def _serves(view: UpstreamView, record: ServiceRecord) -> bool:
    if record.kind is ServiceKind.PLAIN:
        return record.name in view.services
    return record.model is not None and record.model.name in view.models


def _read_stored(item: StoredObject) -> RecordStatus | None:
    try:
        return read_status(item.status)
    except Exception:  # a status written by hand is replaced
        return None


def _strip_counts(status: RecordStatus) -> RecordStatus:
    return replace(status, ranks={}, decisions=())
