"""Guard the status of service records: counts, conditions and logged decisions."""

import json
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from loguru import logger
from result import Err, Ok

from bramleyport.core import ProcessId, Rank, Revision, ServiceName
from bramleyport.entry._outcome_counter import Outcome, OutcomeCounter
from bramleyport.entry._status_reporter import FleetState, StatusReporter
from bramleyport.objectapi import (
    Kind,
    Listing,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreError,
    StoreFailure,
)
from bramleyport.records import MAX_LAGGING_IN_STATUS, ConditionType, read_status
from bramleyport.telemetry import Journal, events, log_event

Run = Callable[[Coroutine[Any, Any, Any]], Any]
SPEC = {
    "name": "inspections",
    "model": {"name": "inspector-8b"},
    "ranks": {"urgent": {"answer_s": 20}},
}


class FakeClient:
    """Represent a store of one record that keeps all statuses written to it."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.item = StoredObject(
            kind="services",
            name=ObjectName("inspections"),
            version=ObjectVersion(1),
            revision=Revision(7),
            spec=spec,
        )
        self.written: list[Any] = []
        self.failures: list[StoreFailure] = []

    async def list_all(self, kind: Kind) -> Any:
        return Ok(Listing(revision=Revision(7), items=(self.item,)))

    async def update(self, *arguments: Any) -> Any:
        failure = self.failures.pop(0) if self.failures else None
        if failure is not StoreFailure.CONFLICT:
            self.written.append(arguments[-1])
            stored = json.loads(json.dumps(arguments[-1]))
            self.item = replace(self.item, status=stored)
        if failure is not None:
            return Err(StoreError(failure=failure, step="put", peer="store"))
        return Ok(self.item)


def make_reporter(
    client: FakeClient, outcomes: OutcomeCounter, name: str = "entry-0", **fleet: Any
) -> StatusReporter:
    state = FleetState(**{"views": (), "revisions": (Revision(7),), **fleet})
    return StatusReporter(
        ProcessId(name),
        client,  # type: ignore[arg-type]
        outcomes,
        Journal(),
        lambda: state,
        lambda: True,
    )


def report(run: Run, spec: dict[str, Any]) -> Any:
    client, journal, outcomes = FakeClient(spec), Journal(), OutcomeCounter()
    sink = journal.attach()
    log_event(events.REQUEST_REJECTED, service="inspections", reason="late")
    log_event(events.REQUEST_REJECTED, service="other", reason="late")
    log_event(events.RECORDS_APPLIED, service="inspector-8b")
    logger.remove(sink)
    outcomes.count(ServiceName("inspections"), Rank.URGENT, Outcome.REJECTED)
    fleet = FleetState(views=(), revisions=(Revision(7), Revision(6)))
    reporter = StatusReporter(
        ProcessId("entry-0"),
        client,  # type: ignore[arg-type]
        outcomes,
        journal,
        lambda: fleet,
        lambda: True,
    )
    run(reporter.report())
    return read_status(client.written[-1])


def test_status_has_the_decisions_of_the_record_and_its_pool(run: Run) -> None:
    status = report(run, SPEC)
    assert len(status.decisions) == 2
    assert any("reason=late" in line for line in status.decisions)
    assert status.ranks[Rank.URGENT].rejected == 1


def test_conditions_show_a_lagging_process_and_missing_upstreams(run: Run) -> None:
    status = report(run, SPEC)
    fulfilled = {item.type: item.holds for item in status.conditions}
    assert (status.in_force, status.processes) == (1, 2)
    assert fulfilled[ConditionType.VALID] is True
    assert fulfilled[ConditionType.IN_FORCE] is False
    assert fulfilled[ConditionType.SERVABLE] is False


def test_invalid_record_is_reported_with_its_field(run: Run) -> None:
    status = report(run, {**SPEC, "ranks": {"urgent": {"answer_s": -1}}})
    valid = next(c for c in status.conditions if c.type is ConditionType.VALID)
    assert not valid.holds
    assert "ranks.urgent.answer_s" in valid.message


def read_late_count(client: FakeClient) -> int:
    status = read_status(client.item.status)
    assert status is not None
    return status.ranks[Rank.URGENT].late


def make_counter(late: int) -> OutcomeCounter:
    counter = OutcomeCounter()
    for _ in range(late):
        counter.count(ServiceName("inspections"), Rank.URGENT, Outcome.LATE)
    return counter


def test_new_reporter_continues_the_stored_counts(run: Run) -> None:
    client = FakeClient(SPEC)
    run(make_reporter(client, make_counter(3)).report())
    run(make_reporter(client, make_counter(2), "entry-1").report())
    assert read_late_count(client) == 5


def test_unchanged_status_is_not_written_again(run: Run) -> None:
    client = FakeClient(SPEC)
    reporter = make_reporter(client, make_counter(1))
    run(reporter.report())
    run(reporter.report())
    assert len(client.written) == 1


def test_counts_are_stored_once_after_a_conflict_and_a_lost_answer(run: Run) -> None:
    """Counts of a write whose answer was lost must be neither lost nor added twice."""
    client = FakeClient(SPEC)
    client.failures = [StoreFailure.CONFLICT, StoreFailure.UNKNOWN]
    counter = make_counter(4)
    reporter = make_reporter(client, counter)
    for _ in range(3):
        run(reporter.report())
    assert read_late_count(client) == 4
    counter.count(ServiceName("inspections"), Rank.URGENT, Outcome.LATE)
    run(make_reporter(client, counter, "entry-1").report())
    assert read_late_count(client) == 5


def test_lagging_processes_are_listed_up_to_a_limit(run: Run) -> None:
    client = FakeClient(SPEC)
    peers = {ProcessId(f"entry-{n:02d}"): Revision(6) for n in range(12)}
    reporter = make_reporter(
        client,
        OutcomeCounter(),
        revisions=(Revision(7), *peers.values()),
        peers=peers,
        reported_lagging={
            ProcessId("agent-far"): Revision(5),
            ProcessId("entry-00"): 5,
        },
    )
    run(reporter.report())
    status = read_status(client.item.status)
    assert status is not None
    assert (status.in_force, status.processes) == (1, 14)
    assert status.lagging[0] == "agent-far"
    assert len(status.lagging) == MAX_LAGGING_IN_STATUS
