"""Write the status of each service record to the object API."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from bramleyport.core import (
    Problem,
    ProcessId,
    Rank,
    Revision,
    ServiceKind,
    ServiceName,
    UpstreamView,
)
from bramleyport.objectapi import Kind, ObjectClient, StoredObject, StoreFailure
from bramleyport.records import (
    MAX_LAGGING_IN_STATUS,
    RankCounts,
    RecordStatus,
    ServiceRecord,
    add_ranks,
    compute_spec_digest,
    get_spec_revision,
    make_conditions,
    parse_record,
    read_status,
    write_status,
)
from bramleyport.telemetry import Journal, events, log_event, operator_events

if TYPE_CHECKING:
    from bramleyport.entry._outcome_counter import OutcomeCounter

REPORT_INTERVAL_S: Final = 2.0
COUNTS_INTERVAL_S: Final = 30.0
MAX_DECISIONS_SHOWN: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """Describe the fleet as the reporting process sees it."""

    views: Sequence[UpstreamView]
    # Revisions in effect in this process and in each connected peer.
    revisions: Sequence[Revision]
    # Revision of each connected peer.
    peers: Mapping[ProcessId, Revision] = field(default_factory=dict)
    # Processes that other entries have found lagging among their peers.
    reported_lagging: Mapping[ProcessId, Revision] = field(default_factory=dict)


RankTotals = Mapping[Rank, RankCounts]


@dataclass(frozen=True, slots=True)
class _InDoubtWrite:
    status: RecordStatus
    added: RankTotals


class StatusReporter:
    """Represent the writer of record statuses, active while this process reports."""

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
        # Writes whose answer was lost, by record.
        self._in_doubt: dict[str, _InDoubtWrite] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self._is_reporter():
                await self.report()

    async def report(self) -> None:
        """Write the status of each record that has changed."""
        listing = await self._client.list_all(Kind.SERVICES)
        if isinstance(listing, Err):
            return
        for item in listing.ok_value.items:
            try:
                await self._report_record(item)
            except Exception as error:  # one record must not hide the others
                log_event(
                    events.HANDLER_FAILED,
                    step="status",
                    record=item.name,
                    error=repr(error),
                )

    async def _report_record(self, item: StoredObject) -> None:
        self._resolve_in_doubt(item)
        status = self._build_status(item)
        if self._is_due(item, status):
            await self._write(item, status)

    async def _write(self, item: StoredObject, status: RecordStatus) -> None:
        self._written_s[item.name] = asyncio.get_running_loop().time()
        service = ServiceName(item.name)
        # The counts are removed before the call, so that they are not also sent to
        # another process that becomes the reporter in the meantime.
        added = self._outcomes.pending.take(service)
        result = await self._client.update(
            Kind.SERVICES, item.name, item.version, item.spec, write_status(status)
        )
        if isinstance(result, Ok):
            # The version has changed, so a write in doubt can no longer take effect.
            self._restore(service, self._in_doubt.pop(item.name, None))
            self._report_lagging(item, status)
        elif result.err_value.failure is StoreFailure.UNKNOWN:
            self._restore(service, self._in_doubt.pop(item.name, None))
            self._in_doubt[item.name] = _InDoubtWrite(status, added)
        else:
            # After a conflict, the next round reads the status of the other writer.
            self._outcomes.pending.add_ranks(service, added)
            log_event(
                events.STATUS_NOT_WRITTEN,
                record=item.name,
                reason=result.err_value.failure.value,
            )

    def _resolve_in_doubt(self, item: StoredObject) -> None:
        """Remove the write in doubt of a record if it has taken effect."""
        in_doubt = self._in_doubt.get(item.name)
        if in_doubt is not None and _decode_status(item) == in_doubt.status:
            del self._in_doubt[item.name]

    def _restore(self, service: ServiceName, in_doubt: "_InDoubtWrite | None") -> None:
        if in_doubt is not None:
            self._outcomes.pending.add_ranks(service, in_doubt.added)

    def _report_lagging(self, item: StoredObject, status: RecordStatus) -> None:
        before = _decode_status(item)
        # Logged only if processes lag in two consecutive statuses, since after each
        # change all processes lag for a moment.
        if before is not None and before.lagging and status.lagging:
            log_event(
                operator_events.PROCESSES_LAG,
                record=item.name,
                count=status.processes - status.in_force,
                processes=",".join(status.lagging),
            )

    def _is_due(self, item: StoredObject, status: RecordStatus) -> bool:
        before = _decode_status(item)
        if before is None:
            return True
        if _strip_volatile_fields(before) != _strip_volatile_fields(status):
            return True
        now_s = asyncio.get_running_loop().time()
        waited_s = now_s - self._written_s.get(item.name, -COUNTS_INTERVAL_S)
        return before != status and waited_s >= COUNTS_INTERVAL_S

    def _build_status(self, item: StoredObject) -> RecordStatus:
        parsed = parse_record(item.spec)
        problems: list[Problem] = []
        upstreams: list[UpstreamView] = []
        fleet = self._read_fleet()
        # Plans are logged with the name of the pool, which is the name of the model.
        names: set[str] = {item.name}
        if isinstance(parsed, Err):
            problems = parsed.err_value
        else:
            record = parsed.ok_value
            if record.model is not None:
                names.add(record.model.name)
            upstreams = [view for view in fleet.views if _serves(view, record)]
        stored = _decode_status(item)
        spec_revision = get_spec_revision(item.spec, stored, item.revision)
        in_force = sum(revision >= spec_revision for revision in fleet.revisions)
        lagging = _find_lagging(fleet, spec_revision)
        # Processes without a connection to this one are counted only if they lag.
        processes = len(fleet.revisions) + len(lagging - fleet.peers.keys())
        roles = Counter(view.role.value for view in upstreams)
        return RecordStatus(
            observed_revision=spec_revision,
            in_force=in_force,
            processes=processes,
            ranks=self._add_counts(ServiceName(item.name), stored),
            counts_since=_get_counts_since(stored),
            lagging=tuple(sorted(lagging))[:MAX_LAGGING_IN_STATUS],
            engines_by_role=dict(sorted(roles.items())),
            decisions=self._list_decisions(names),
            conditions=make_conditions(problems, in_force, processes, len(upstreams)),
            reported_by=self._process,
            spec_digest=compute_spec_digest(item.spec),
        )

    def _add_counts(
        self, service: ServiceName, stored: RecordStatus | None
    ) -> dict[Rank, RankCounts]:
        """Return the sum of the stored and the pending counts.

        The sum is stored, so that another reporter can continue from it.
        """
        before: RankTotals = {}
        # Counts without a start time are those of a single process of an older version.
        if stored is not None and stored.counts_since:
            before = stored.ranks
        return add_ranks(before, self._outcomes.pending.get_rank_counts(service))

    def _list_decisions(self, names: set[str]) -> tuple[str, ...]:
        latest = self._journal.list_latest(100)
        chosen = [entry for entry in latest if entry.fields.get("service") in names]
        return tuple(f"{e.time} {e.text}" for e in chosen[:MAX_DECISIONS_SHOWN])


def _serves(view: UpstreamView, record: ServiceRecord) -> bool:
    if record.kind is ServiceKind.PLAIN:
        return record.name in view.services
    return record.model is not None and record.model.name in view.models


def _decode_status(item: StoredObject) -> RecordStatus | None:
    try:
        return read_status(item.status)
    except Exception:  # an invalid status, such as one written by hand, is replaced
        return None


def _find_lagging(fleet: FleetState, revision: Revision) -> set[ProcessId]:
    """Return the processes that have not reached a revision."""
    known = {**fleet.reported_lagging, **fleet.peers}
    return {process for process, reached in known.items() if reached < revision}


def _get_counts_since(stored: RecordStatus | None) -> str:
    if stored is not None and stored.counts_since:
        return stored.counts_since
    return datetime.now(UTC).isoformat(timespec="seconds")


def _strip_volatile_fields(status: RecordStatus) -> RecordStatus:
    return replace(status, ranks={}, decisions=(), lagging=(), counts_since="")
