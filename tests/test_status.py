"""Guard what operators read back: conditions and the decisions with their reasons."""

from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from result import Ok

from bramleyport.core import ProcessId, Rank, Revision, ServiceName
from bramleyport.daemons._outcomes import Outcome, OutcomeCounter
from bramleyport.daemons._status import FleetState, StatusReporter
from bramleyport.objectapi import Kind, Listing, ObjectName, ObjectVersion, StoredObject
from bramleyport.records import ConditionType, read_status
from bramleyport.telemetry import Journal, events, log_event

Run = Callable[[Coroutine[Any, Any, Any]], Any]
SPEC = {
    "name": "inspections",
    "model": {"name": "inspector-8b"},
    "ranks": {"urgent": {"answer_s": 20}},
}


class FakeClient:
    """Hold one record and keep the statuses written to it."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.item = StoredObject(
            kind="services",
            name=ObjectName("inspections"),
            version=ObjectVersion(1),
            revision=Revision(7),
            spec=spec,
        )
        self.written: list[Any] = []

    async def list_all(self, kind: Kind) -> Any:
        return Ok(Listing(revision=Revision(7), items=(self.item,)))

    async def update(self, *arguments: Any) -> Any:
        self.written.append(arguments[-1])
        return Ok(self.item)


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


def test_status_holds_decisions_of_the_record_and_its_pool(run: Run) -> None:
    status = report(run, SPEC)
    assert len(status.decisions) == 2
    assert any("reason=late" in line for line in status.decisions)
    assert status.ranks[Rank.URGENT].rejected == 1


def test_conditions_name_what_is_missing(run: Run) -> None:
    status = report(run, SPEC)
    holds = {item.type: item.holds for item in status.conditions}
    assert (status.in_force, status.processes) == (1, 2)
    assert holds[ConditionType.VALID] is True
    assert holds[ConditionType.IN_FORCE] is False
    assert holds[ConditionType.SERVABLE] is False


def test_invalid_record_is_reported_with_its_field(run: Run) -> None:
    status = report(run, {**SPEC, "ranks": {"urgent": {"answer_s": -1}}})
    valid = next(c for c in status.conditions if c.type is ConditionType.VALID)
    assert not valid.holds
    assert "ranks.urgent.answer_s" in valid.message
