"""Test what the object API shows operators of engines, requests and counts."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from click.testing import CliRunner, Result

from bramleyport.cli import main
from bramleyport.core import (
    AccountId,
    CaseKind,
    EngineRole,
    Execution,
    Explanation,
    Outcome,
    ProcessId,
    Rank,
    RequestCase,
    RequestId,
    Revision,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    Work,
)
from bramleyport.dispatch._trace import begin_trace, record_attempt, record_decision
from bramleyport.entry import _status_reporter
from bramleyport.entry._count_relay import CountRelay
from bramleyport.entry._outcome_counter import OutcomeCounter
from bramleyport.membership import Host, HostState, ProcessRole
from bramleyport.records import (
    MAX_CASES_PER_KIND,
    CaseBuffer,
    RankCounts,
    RecordStatus,
    merge_cases,
    read_cases,
    write_cases,
    write_status,
)
from bramleyport.replication import Topology, choose_reporter
from bramleyport.retries import AttemptFailure, FailureKind
from bramleyport.wire import Counts, Message, decode, encode
from tests.fleet import Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]
SERVICE = ServiceName("inspections")


class FakeHub:
    """Deliver messages immediately to the other entries of a small fleet."""

    def __init__(self, fake_fleet: "FakeFleet", own: ProcessId) -> None:
        self.fake_fleet = fake_fleet
        self.own = own
        self.leaving = False
        self.on_counts: Any = None
        self.peers: dict[ProcessId, Revision] = {}
        self.revision = Revision(9)
        self.topology = Topology(own, fake_fleet.find(own).zone)
        self.topology.step(fake_fleet.hosts, 0.0)
        self.replica = self

    def is_reporter(self) -> bool:
        return not self.leaving and self.topology.reporter == self.own

    def is_connected(self, peer: ProcessId) -> bool:
        other = self.fake_fleet.hubs[peer].topology.links
        return peer in self.topology.links or self.own in other

    def post(self, peer: ProcessId, message: Message) -> bool:
        decoded = decode(encode(message)).unwrap()
        assert isinstance(decoded, Counts)
        self.fake_fleet.messages.append((self.own, peer))
        self.fake_fleet.hubs[peer].on_counts(decoded)
        return True

    def get_peer_revisions(self) -> dict[ProcessId, Revision]:
        return self.peers

    def read_revision(self) -> Revision:
        return self.revision


class FakeFleet:
    """Represent entries in several zones, each with its count relay."""

    def __init__(self, entries: int, zones: int) -> None:
        self.hosts = tuple(
            Host(
                process=ProcessId(f"entry-{n}"),
                role=ProcessRole.ENTRY,
                address="127.0.0.1",
                port=7000 + n,
                zone=f"zone-{n % zones}",  # type: ignore[arg-type]
                region="region",  # type: ignore[arg-type]
                state=HostState.LIVE,
            )
            for n in range(entries)
        )
        self.messages: list[tuple[ProcessId, ProcessId]] = []
        names = [host.process for host in self.hosts]
        self.reporter = choose_reporter(names)
        self.hubs = {name: FakeHub(self, name) for name in names}
        self.counters = {name: OutcomeCounter(name) for name in names}
        self.relays = {
            name: CountRelay(name, self.hubs[name], self.counters[name])  # type: ignore[arg-type]
            for name in names
        }

    def find(self, process: ProcessId) -> Host:
        return next(host for host in self.hosts if host.process == process)

    def send_all(self) -> None:
        for relay in self.relays.values():
            relay.send(time.monotonic())


def make_case(number: int, kind: CaseKind = CaseKind.REJECTED) -> RequestCase:
    return RequestCase(
        request=RequestId(f"req-{number}"),
        service=SERVICE,
        rank=Rank.URGENT,
        kind=kind,
        ended_at=number,
        entry=ProcessId("entry-0"),
    )


def test_counts_of_all_zones_reach_the_reporter_once() -> None:
    """Counts that were lost or sent twice would make the status of a record wrong."""
    fake_fleet = FakeFleet(entries=24, zones=4)
    for counter in fake_fleet.counters.values():
        counter.count(SERVICE, Rank.URGENT, Outcome.LATE)
        counter.cases.add(make_case(1))
    fake_fleet.send_all()
    fake_fleet.send_all()
    reporter = fake_fleet.counters[fake_fleet.reporter]
    assert reporter.pending.get_rank_counts(SERVICE)[Rank.URGENT].late == 24
    assert not any(
        c.pending for n, c in fake_fleet.counters.items() if n != fake_fleet.reporter
    )
    assert len(fake_fleet.messages) < 2 * 24


def test_counts_add_few_connections_to_the_reporter() -> None:
    """A connection from each of 380 entries would cost the reporter 7 MB."""
    fake_fleet = FakeFleet(entries=60, zones=6)
    added = [
        hub
        for hub in fake_fleet.hubs.values()
        if hub.topology.collector == hub.own and hub.own != fake_fleet.reporter
    ]
    assert len(added) <= 6
    assert all(hub.is_connected(fake_fleet.reporter) for hub in added)


def test_leaving_reporter_sends_its_counts_to_another_entry() -> None:
    fake_fleet = FakeFleet(entries=6, zones=2)
    counter = fake_fleet.counters[fake_fleet.reporter]
    counter.count(SERVICE, Rank.BATCH, Outcome.IN_TIME)
    fake_fleet.hubs[fake_fleet.reporter].leaving = True
    fake_fleet.relays[fake_fleet.reporter].send(time.monotonic())
    pending_on = [n for n, c in fake_fleet.counters.items() if c.pending]
    assert len(pending_on) == 1
    assert pending_on != [fake_fleet.reporter]


def test_lagging_peer_is_reported_for_a_limited_time() -> None:
    fake_fleet = FakeFleet(entries=4, zones=1)
    own = next(name for name in fake_fleet.hubs if name != fake_fleet.reporter)
    hub, relay = fake_fleet.hubs[own], fake_fleet.relays[own]
    hub.peers = {ProcessId("agent-9"): Revision(5)}
    now_s = time.monotonic()
    reporter = fake_fleet.relays[fake_fleet.reporter]
    relay.send(now_s + 30)
    hub.revision = Revision(12)
    fake_fleet.send_all()
    assert reporter.list_lagging(now_s) == {}
    relay.send(now_s + 60)
    fake_fleet.send_all()
    now_s = time.monotonic()
    assert reporter.list_lagging(now_s) == {ProcessId("agent-9"): Revision(5)}
    assert fake_fleet.relays[fake_fleet.reporter].list_lagging(now_s + 200) == {}


def test_counts_of_a_newer_version_are_accepted() -> None:
    """During an upgrade, entries of both versions exchange counts."""
    counter = OutcomeCounter()
    counter.pending.add_packed(SERVICE, [1] * 40)
    assert counter.pending.get_rank_counts(SERVICE)[Rank.URGENT].in_time == 1


def test_many_rejections_do_not_displace_a_late_answer() -> None:
    buffer = CaseBuffer()
    buffer.add(make_case(1, CaseKind.LATE))
    for number in range(2, 5000):
        buffer.add(make_case(number))
    taken = buffer.take(8)
    assert [case.kind for case in taken].count(CaseKind.LATE) == 1
    assert taken[1].request == "req-4999"
    assert buffer.take(8) == ()


def test_report_is_bounded_and_keeps_the_newest_of_each_kind() -> None:
    stored = merge_cases((), [make_case(1, CaseKind.UNKNOWN)])
    merged = merge_cases(stored, [make_case(n) for n in range(2, 100)])
    assert len(merged) == MAX_CASES_PER_KIND + 1
    assert merged[0].kind is CaseKind.UNKNOWN
    assert merged[1].request == "req-99"


def test_malformed_report_rows_are_ignored() -> None:
    assert read_cases({"cases": [3, {"request": 1}]}) == ()
    assert read_cases({"cases": "x"}) == ()


def call(store_url: str, *arguments: str) -> Result:
    environment = {"BRAMLEYPORT_STORE": store_url}
    return CliRunner().invoke(main, ["record", *arguments], env=environment)


async def wait_for(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.1)


def test_rejected_request_of_any_entry_is_counted_and_explained(
    demo: Any, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller knows only its request ID, and only one entry writes the status."""
    monkeypatch.setattr(_status_reporter, "COUNTS_INTERVAL_S", 0.0)
    identifiers = []
    for entry in demo.entries:
        url = f"http://127.0.0.1:{entry.port}/services/orders/postings"
        run(fetch(url, "POST", {"Idempotency-Key": "k"}, b"{}"))
        refused = run(fetch(url, "POST", {"Idempotency-Key": "k"}, b'{"other": 1}'))
        assert refused.status == 422
        identifiers.append(refused.headers["x-request-id"])
    objects = demo.store.store.objects

    def is_reported() -> bool:
        ranks = objects["services", "orders"]["status"].get("ranks", {})
        cases = objects.get(("reports", "orders"), {"spec": {"cases": []}})["spec"]
        counts = ranks.get("standard", {})
        done = counts.get("rejected") == 2 and counts.get("in_time") == 2
        return done and len(cases["cases"]) == 2

    run(wait_for(is_reported))
    for identifier in identifiers:
        explained = call(demo.store_url, "explain", "request", identifier)
        assert explained.exit_code == 0, explained.output
        assert "rejected, orders as standard" in explained.output
        assert "idempotency_key_reused, execution not_run" in explained.output
    explained = call(demo.store_url, "explain", "orders")
    assert "2 rejected" in explained.output
    assert "latest rejected: req-" in explained.output
    absent = call(demo.store_url, "explain", "request", "req-none")
    assert absent.exit_code == 4


def test_engine_is_explained_from_its_order_and_lease(run: Run) -> None:
    fleet = Fleet()

    async def prepare() -> None:
        await fleet.start()
        await fleet.wait(fleet.is_sealed)
        fleet.planner.roles["engine-0"] = EngineRole.PREFILL
        await fleet.wait(fleet.has_settled)

    run(prepare())
    try:
        explained_engine = call(fleet.store_url, "explain", "engine", "engine-0")
        absent = call(fleet.store_url, "explain", "engine", "engine-9")
    finally:
        run(fleet.stop())
    assert explained_engine.exit_code == 0, explained_engine.output
    for expected in (
        "order: number 1 of pool inspector-8b, fencing number 1: role prefill",
        "plan: test need=2",
        "progress: done",
        "incarnation 1",
        "read back as role prefill",
        "lease inspector-8b.lk-west: held by entry-0-",
        "it has sealed this order object",
    ):
        assert expected in explained_engine.output
    assert absent.exit_code == 4


def test_explain_refuses_an_unknown_subject() -> None:
    assert call("http://127.0.0.1:1", "explain", "host", "x").exit_code == 2


def test_status_page_shows_the_counts_of_all_entries_and_survives_an_outage(
    demo: Any, run: Run
) -> None:
    status = RecordStatus(
        observed_revision=Revision(1),
        ranks={Rank.URGENT: RankCounts(late=7117)},
        counts_since="2026-03-04T20:00:00+00:00",
    )
    spec = demo.store.store.objects["services", "orders"]["spec"]
    body = {"spec": spec, "status": write_status(status)}
    demo.store.store.put("services", "orders", body)
    url = f"http://127.0.0.1:{demo.entries[0].port}/status"

    async def read_page() -> None:
        # The page waits half a second for the store and then shows what it has read.
        while b"<td>7117</td>" not in (await fetch(url)).body:
            await asyncio.sleep(0.1)

    run(read_page())
    demo.store.faults.outage = True
    page = run(fetch(f"http://127.0.0.1:{demo.entries[1].port}/status"))
    demo.store.faults.outage = False
    assert page.status == 200
    assert b"not read from the object API yet" in page.body


def test_late_and_retried_requests_are_kept_with_their_attempts() -> None:
    """A late answer can't be explained without its targets and attempts."""
    counter = OutcomeCounter(ProcessId("entry-0"))
    targets = Targets(first_token_s=0.5, between_tokens_s=1.0, answer_s=2.0)
    for answer_s, upstreams in ((3.0, 1), (1.0, 2), (1.0, 1)):
        trace = begin_trace()
        record_decision("admission", Explanation(reason="in_time", numbers={"x": 0.1}))
        if upstreams > 1:
            failure = AttemptFailure(
                upstream=UpstreamId("engine-0"),
                kind=FailureKind.REFUSED,
                execution=Execution.NOT_RUN,
                reason="deadline",
            )
            record_attempt("engine-0", failure)
        record_attempt("engine-1", None)
        work = Work(
            request=trace.request,
            account=AccountId("a"),
            service=SERVICE,
            kind=ServiceKind.LANGUAGE,
            rank=Rank.URGENT,
            targets=targets,
            arrived_s=0.0,
        )
        counter.count_answer(work, 0.1, answer_s, trace)
    late, retried = counter.cases.take_service(SERVICE)
    assert (late.kind, late.target_answer_s) == (CaseKind.LATE, 2.0)
    assert retried.kind is CaseKind.RETRIED
    assert [a.reason for a in retried.attempts] == ["deadline", ""]
    assert retried.attempts[-1].result == "ok"
    assert retried.decisions[0].numbers == {"x": 0.1}
    assert read_cases(write_cases([late, retried])) == (late, retried)
