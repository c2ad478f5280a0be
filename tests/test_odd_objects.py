"""Guard against one odd object of another writer that costs more than itself."""

import json
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final

import pytest
from hypothesis import example, given, strategies as st
from klein import Klein
from result import Err, Ok
from twisted.web.server import Request

from bramleyport.agent._engine_report import MalformedReportError, apply_report
from bramleyport.authority import read_lease, read_order
from bramleyport.callers._request import parse_completion
from bramleyport.claims import CallFailed, ReadFirstNumber, read_segment
from bramleyport.core import (
    EngineLoad,
    Execution,
    RegionName,
    Revision,
    ServiceKind,
    UpstreamId,
    UpstreamView,
    ZoneName,
)
from bramleyport.entry._outcome_counter import OutcomeCounter
from bramleyport.entry._store_follower import HostUpdater, RecordUpdater
from bramleyport.keyed._claim_store import ClaimStore
from bramleyport.objectapi import (
    Kind,
    Listing,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreFailure,
)
from bramleyport.replication import HostStore, RecordStore, Replica
from bramleyport.standins import read_port, serve_app, stop_listening
from bramleyport.upstreams import EngineClient, UpstreamError
from tests.ports import find_port
from tests.test_replication import RANKS
from tests.test_status import make_reporter
from tests.test_upstream_answers import (
    TOKENS,
    read_completion,
    render_stream,
    run_upstream,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

DEEP: Final = b"[" * 100_000 + b"]" * 100_000
# Deep enough for a parser, but not for what copies, prints or compares the value.
HALF_DEEP: Final = 400
NEARLY_TOO_DEEP: Final = 900
LONG_NUMBER: Final = b"9" * 5_000
UNPARSABLE: Final = [DEEP, LONG_NUMBER, b'"\xff"', b"{"]

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, 1e308, float("inf"), float("nan"), "\ud800"])
    | st.text(max_size=4),
    lambda child: (
        st.lists(child, max_size=7) | st.dictionaries(st.text(max_size=4), child)
    ),
    max_leaves=12,
)


def nest(depth: int) -> Any:
    value: Any = 0
    for _ in range(depth):
        value = [value]
    return value


class RawServer:
    """Represent a server that answers each request with the same bytes."""

    def __init__(self) -> None:
        self.body = b""
        self.app = Klein()
        self.app.route("/", branch=True)(self._answer)

    def _answer(self, request: Request) -> bytes:
        return self.body


@pytest.fixture
def server(run: Run) -> Iterator[tuple[RawServer, ObjectClient]]:
    raw = RawServer()
    listening = run(serve_app(raw.app, find_port()))
    client = ObjectClient(f"http://127.0.0.1:{read_port(listening)}")
    yield raw, client
    run(client.close())
    run(stop_listening(listening))


Server = tuple[RawServer, ObjectClient]


def make_object(name: Any, **fields: Any) -> dict[str, Any]:
    found = {"kind": "services", "name": name, "version": 1, "revision": 1, "spec": {}}
    return found | fields


ODD_OBJECTS: Final = [
    None,
    7,
    [],
    {},
    "text",
    nest(HALF_DEEP),
    make_object("x", version="one"),
    make_object("x", version=None),
    make_object("x", version=1e308),
    make_object("x", version=10**30),
    make_object("x", version=-1),
    make_object("x", revision=10**30),
    make_object("x", revision=-1),
    make_object("x", revision=nest(HALF_DEEP)),
    make_object(7),
    make_object("\ud800"),
    make_object("x", spec=[]),
    make_object("x", spec=nest(HALF_DEEP)),
    make_object("x", status="none"),
]


def test_odd_object_costs_only_itself_in_a_listing(server: Server, run: Run) -> None:
    """Guards against a process that serves nothing because of one odd object."""
    raw, client = server
    for odd in ODD_OBJECTS:
        items = [make_object("a"), odd, make_object("b")]
        raw.body = json.dumps({"revision": 5, "items": items}).encode()
        listing = run(client.list_all(Kind.SERVICES))
        assert isinstance(listing, Ok), odd
        assert [item.name for item in listing.ok_value.items] == ["a", "b"], odd


def test_odd_object_costs_only_itself_in_a_watch(server: Server, run: Run) -> None:
    """Guards against a watch that stops at one odd object."""
    raw, client = server
    odd_events: list[Any] = [{"type": "put", "object": odd} for odd in ODD_OBJECTS]
    odd_events += [None, 7, [], {}, {"type": "moved", "object": {}}]
    for odd in odd_events:
        events = [
            {"type": "put", "object": make_object("a")},
            odd,
            {"type": "deleted", "object": make_object("b")},
        ]
        raw.body = json.dumps({"revision": 5, "events": events}).encode()
        batch = run(client.watch(Kind.SERVICES, Revision(1), 0.1))
        assert isinstance(batch, Ok), odd
        assert [event.object.name for event in batch.ok_value.events] == ["a", "b"]
        assert batch.ok_value.revision == 5


def test_revision_out_of_bounds_is_an_error_of_its_call(
    server: Server, run: Run
) -> None:
    """Guards against a revision that hides all later changes, here and at peers."""
    raw, client = server
    for revision in [10**30, -1, 1e308]:
        raw.body = json.dumps(
            {"revision": revision, "items": [], "events": []}
        ).encode()
        assert isinstance(run(client.list_all(Kind.SERVICES)), Err)
        assert isinstance(run(client.watch(Kind.SERVICES, Revision(1), 0.1)), Err)


def test_answer_that_cannot_be_parsed_is_an_error_of_its_call(
    server: Server, run: Run
) -> None:
    """Guards against an unexpected error, which ends what follows the store."""
    raw, client = server
    name = ObjectName("a")
    for raw.body in UNPARSABLE:
        results = [
            run(client.list_all(Kind.SERVICES)),
            run(client.watch(Kind.SERVICES, Revision(1), 0.1)),
            run(client.get(Kind.SERVICES, name)),
            run(client.update(Kind.SERVICES, name, ObjectVersion(1), {}, {})),
        ]
        for result in results:
            assert isinstance(result, Err)
            assert result.err_value.failure is StoreFailure.UNKNOWN


class FakeHub:
    """Represent the hub of an entry that has no peers."""

    def __init__(self) -> None:
        self.replica = Replica(RecordStore(), HostStore())

    def apply(self, _: object) -> None:
        """Accept what changed."""


def make_record(name: str) -> dict[str, Any]:
    return {"name": name, "model": {"name": "m"}, "ranks": RANKS}


def make_stored(name: str, revision: int, spec: Any) -> StoredObject:
    return StoredObject(
        kind="services",
        name=ObjectName(name),
        version=ObjectVersion(revision),
        revision=Revision(revision),
        spec=spec,
    )


def change_rank(value: Any) -> dict[str, Any]:
    name, rank = next(iter(RANKS.items()))
    return {"ranks": {name: {**rank, "answer_s": value}}}


ODD_RECORDS: Final = [
    {"schema": nest(NEARLY_TOO_DEEP)},
    {"schema": "v1", "later": nest(NEARLY_TOO_DEEP)},
    {"ranks": nest(NEARLY_TOO_DEEP)},
    {"later": nest(2 * NEARLY_TOO_DEEP)},
    {"name": nest(HALF_DEEP)},
    {"ranks": nest(HALF_DEEP)},
    {"schema": nest(HALF_DEEP)},
    {"schema": "v1", "later": nest(HALF_DEEP)},
    {"schema": []},
    {"schema": 10**400},
    {"schema": "v1", "wait_s": {"standard": 10**400}, "versions": nest(HALF_DEEP)},
    {"schema": "v1", "carried_v2": {"ranks": 7}},
    {"ranks": 7},
    {"ranks": {"\ud800": {}}},
    {"name": "\ud800"},
    {"model": {"name": "\ud800"}},
    {"upstreams": {"a": "\ud800"}},
    change_rank(10**400),
    change_rank(float("nan")),
    change_rank(float("inf")),
]


def test_odd_record_costs_only_itself() -> None:
    """Guards against an entry that serves nothing because of one odd record."""
    for index, odd in enumerate(ODD_RECORDS):
        hub = FakeHub()
        updater = RecordUpdater(hub)  # type: ignore[arg-type]
        odd_record = make_record("odd") | odd
        items = [
            make_stored("a", 1, make_record("a")),
            make_stored("odd", 2, odd_record),
            make_stored("b", 3, make_record("b")),
        ]
        updater.apply_listing(Revision(3), items)
        assert set(hub.replica.records.records) == {"a", "b"}, index
        # A later valid version comes into force.
        updater.apply_listing(Revision(4), [make_stored("odd", 4, make_record("odd"))])
        assert set(hub.replica.records.records) == {"odd"}, index
        assert hub.replica.records.document_set.digest


def make_row(index: int, **fields: Any) -> dict[str, Any]:
    row = {
        "process": f"agent-{index}",
        "role": "agent",
        "address": "127.0.0.1",
        "port": 9000 + index,
        "zone": "okara",
        "region": "punjab",
    }
    return row | fields


ODD_ROWS: Final = [
    None,
    7,
    [],
    {},
    "agent-9",
    nest(HALF_DEEP),
    make_row(9, process=""),
    make_row(9, process=7),
    make_row(9, process=nest(HALF_DEEP)),
    make_row(9, process="\ud800"),
    make_row(9, port=0),
    make_row(9, port=65_536),
    make_row(9, port=-1),
    make_row(9, port=10**400),
    make_row(9, port="9"),
    make_row(9, address="not a host\r\n"),
    make_row(9, address=""),
    make_row(9, zone="\ud800"),
    make_row(9, incarnation=10**30),
    make_row(9, incarnation=-1),
    make_row(9, role="chef"),
    make_row(9, pool=nest(HALF_DEEP)),
    make_row(9, later=nest(950)),
]


def list_hosts(hub: FakeHub) -> set[str]:
    return {host.process for host in hub.replica.hosts.hosts}


def test_odd_row_of_the_host_list_costs_only_itself() -> None:
    """Guards against a host list that is not followed because of one odd row."""
    for index, odd in enumerate(ODD_ROWS):
        hub = FakeHub()
        updater = HostUpdater(hub)  # type: ignore[arg-type]
        rows = [make_row(1), odd, make_row(2)]
        updater.apply_listing(Revision(3), [make_stored("list", 3, {"hosts": rows})])
        assert {"agent-1", "agent-2"} <= list_hosts(hub), index
        assert list_hosts(hub) <= {"agent-1", "agent-2", "agent-9"}, index
        assert hub.replica.hosts.document_set.digest
        valid = make_stored("list", 4, {"hosts": [make_row(1), make_row(9)]})
        updater.apply_listing(Revision(4), [valid])
        assert list_hosts(hub) == {"agent-1", "agent-9"}, index


def test_odd_row_of_a_known_host_keeps_its_last_valid_one() -> None:
    """Guards against a host that is lost because its row became odd."""
    for name in ("port", "address", "incarnation"):
        hub = FakeHub()
        updater = HostUpdater(hub)  # type: ignore[arg-type]
        valid = {"hosts": [make_row(1), make_row(2)]}
        updater.apply_listing(Revision(3), [make_stored("list", 3, valid)])
        odd = {"hosts": [make_row(1, **{name: 10**30}), make_row(2)]}
        updater.apply_listing(Revision(4), [make_stored("list", 4, odd)])
        assert list_hosts(hub) == {"agent-1", "agent-2"}, name
        assert all(host.port < 10_000 for host in hub.replica.hosts.hosts), name
        assert all(host.incarnation == 0 for host in hub.replica.hosts.hosts), name


def test_odd_object_of_hosts_costs_only_itself() -> None:
    """Guards against hosts that are not followed because of another list's object."""
    for odd in [{"hosts": 7}, {"hosts": {}}, {"hosts": nest(HALF_DEEP)}]:
        hub = FakeHub()
        updater = HostUpdater(hub)  # type: ignore[arg-type]
        items = [
            make_stored("odd", 3, odd),
            make_stored("list", 3, {"hosts": [make_row(1)]}),
        ]
        updater.apply_listing(Revision(3), items)
        assert list_hosts(hub) == {"agent-1"}


class FakeEngineHttp:
    """Represent the HTTP client of an engine that answers with one value."""

    base_url = "http://engine"

    def __init__(self, value: Any) -> None:
        self._value = value

    async def request_json(self, *_: Any) -> Any:
        """Return the value."""
        return self._value


def test_answer_of_an_engine_that_cannot_be_parsed_is_an_error_of_its_call(
    run: Run,
) -> None:
    """Guards against an unexpected error, after which an agent reports nothing."""

    async def scenario() -> None:
        async with run_upstream() as (upstream, url):
            client = EngineClient(url)
            for body in UNPARSABLE:
                upstream.answer = render_stream(body, b"application/json")
                with pytest.raises(UpstreamError):
                    await client.read_load()
                upstream.answer = render_stream(TOKENS + b"data: " + body + b"\n\n")
                error = await read_completion(client)
                assert error is not None
                assert error.execution is Execution.UNKNOWN

    run(scenario())


def test_odd_count_at_the_end_of_a_stream_is_an_error_of_its_call(run: Run) -> None:
    """Guards against an unexpected error, after which the stream is not resumed."""

    async def scenario() -> None:
        async with run_upstream() as (upstream, url):
            for count in [b"Infinity", b"NaN", b"1e308", b"-1", b"1" + b"0" * 400]:
                end = b'data: {"done": true, "output_tokens": %s}\n\n' % count
                upstream.answer = render_stream(TOKENS + end)
                error = await read_completion(EngineClient(url))
                assert error is not None, count

    run(scenario())


def make_event(sequence: Any, **fields: Any) -> dict[str, Any]:
    return {"sequence": sequence, "stored": ["aa"], "evicted": []} | fields


ODD_EVENTS: Final = [
    None,
    7,
    {},
    [],
    nest(HALF_DEEP),
    make_event("two"),
    make_event(float("inf")),
    make_event(float("nan")),
    make_event(10**400),
    make_event(-1),
    make_event(2, stored=["zz"]),
    make_event(2, stored=7),
    make_event(2, stored=[nest(HALF_DEEP)]),
    make_event(2, evicted=None),
]


def test_odd_cache_event_costs_only_itself(run: Run) -> None:
    """Guards against an engine whose cache stays unknown because of one odd event."""
    for odd in ODD_EVENTS:
        client = EngineClient("http://engine")
        answer = {"events": [make_event(1), odd, make_event(3)]}
        client._http = FakeEngineHttp(answer)  # type: ignore[assignment]
        events = run(client.read_cache_events(0))
        assert [event.sequence for event in events] == [1, 3], odd


REPORT: Final = {
    "role": "mixed",
    "models": ["m"],
    "adapters": [],
    "block_tokens": 16,
    "prefill_tokens_per_s": 1.0,
    "decode_tokens_per_s": 1.0,
    "max_streams": 4,
    "running": 1,
    "queued": 0,
    "queued_prefill_tokens": 0,
    "running_decode_tokens": 0,
    "blocks_used": 0,
    "blocks_total": 1,
}


def make_view() -> UpstreamView:
    return UpstreamView(
        upstream=UpstreamId("e"),
        kind=ServiceKind.LANGUAGE,
        zone=ZoneName("z"),
        region=RegionName("r"),
    )


COUNTS: Final = [name for name, value in REPORT.items() if isinstance(value, int)]
RATES: Final = ["prefill_tokens_per_s", "decode_tokens_per_s"]
ODD_NUMBERS: Final = [10**400, 10**30, 1e308, float("inf"), float("nan"), -1, nest(9)]


def test_odd_number_in_a_load_report_is_refused() -> None:
    """Guards against a report that makes each entry close its connection."""
    view = make_view()
    apply_report(view, REPORT, 1.0)
    for name in COUNTS + RATES:
        for odd in ODD_NUMBERS:
            with pytest.raises(MalformedReportError):
                apply_report(view, {**REPORT, name: odd}, 2.0)
    assert view.load.taken_s == 1.0


def test_odd_names_in_a_load_report_are_refused() -> None:
    """Guards against a name that no message to the entries can carry."""
    view = make_view()
    for name in ("models", "versions", "adapters"):
        for odd in ["m", [7], [None], ["\ud800"], [nest(HALF_DEEP)]]:
            with pytest.raises(MalformedReportError):
                apply_report(view, {**REPORT, name: odd}, 2.0)
    assert view.load == EngineLoad()


def test_odd_transfer_data_in_a_load_report_is_ignored() -> None:
    """Guards against an unexpected error after half of a report was applied."""
    for size in [10**400, float("inf"), float("nan"), -1, True, "x", nest(HALF_DEEP)]:
        view = make_view()
        kv = {"address": "127.0.0.1:1", "bytes_per_token": size}
        apply_report(view, {**REPORT, "kv": kv}, 2.0)
        assert (view.kv_address, view.kv_bytes_per_token) == ("", 0.0)


def make_body(**fields: Any) -> dict[str, Any]:
    return {"model": "m", "prompt": "p", "max_tokens": 4} | fields


ODD_BODIES: Final = [
    *UNPARSABLE,
    b'{"model":"m","prompt":"p","later":' + DEEP + b"}",
    b'{"model":"m","prompt":"p","max_tokens":' + LONG_NUMBER + b"}",
    json.dumps(make_body(max_tokens=10**400)).encode(),
    json.dumps(make_body(max_tokens=10**30)).encode(),
    json.dumps(make_body(max_tokens=1e308)).encode(),
    json.dumps(make_body(max_tokens=float("inf"))).encode(),
    json.dumps(make_body(prompt="\ud800")).encode(),
    json.dumps(make_body(model="\ud800")).encode(),
    json.dumps(make_body(adapter="\ud800")).encode(),
]


def test_odd_body_of_a_caller_is_refused() -> None:
    """Guards against a body that fails late, as an error of the entry."""
    for body in ODD_BODIES:
        result = parse_completion("/v1/completions", {}, body, chat=False)
        assert isinstance(result, Err), body[-80:]
        assert result.err_value.http_status == 400


def test_odd_message_of_a_chat_is_refused() -> None:
    """Guards against a prompt that no message to an agent can carry."""
    for part in ("role", "content"):
        message = {"role": "user", "content": "hello"} | {part: "\ud800"}
        body = json.dumps({"model": "m", "messages": [message]}).encode()
        result = parse_completion("/v1/chat/completions", {}, body, chat=True)
        assert isinstance(result, Err), part
        assert result.err_value.http_status == 400


@example(
    {"entries": [["done", "k", "aa", 1, 7, 7, 7]], "sealed_s": 1, "write_token": ""}
)
@example({"entries": [], "sealed_s": 10**400, "write_token": ""})
@example({"entries": 7, "sealed_s": 1, "write_token": ""})
@given(
    st.fixed_dictionaries(
        {
            "entries": JSON
            | st.lists(
                st.tuples(
                    st.sampled_from(["claimed", "released", "completed", "done"])
                    | JSON,
                    JSON,
                    st.just("aa") | JSON,
                    JSON,
                    JSON,
                    JSON,
                    JSON,
                ).map(list),
                max_size=2,
            ),
            "sealed_s": JSON,
            "write_token": JSON,
        }
    )
)
def test_any_segment_is_read_or_refused_with_a_value_error(document: Any) -> None:
    """Guards against an unexpected error that ends the worker of a claim log."""
    try:
        read_segment(document)
    except ValueError:
        return


def test_number_out_of_bounds_in_a_lease_or_an_order_is_refused() -> None:
    """Guards against numbers that engines refuse for good, or no message can carry."""
    lease = {"holder": "h", "fencing": 1, "token": "t"}
    order, progress = {"sequence": 1, "fencing": 1, "sealed": 1}, {"incarnation": 1}
    assert isinstance(read_lease(lease), Ok)
    assert isinstance(read_order(UpstreamId("u"), 1, order, progress), Ok)
    for odd in [10**30, 2**63, -1]:
        assert isinstance(read_lease(lease | {"fencing": odd}), Err)
        for name in order:
            found = read_order(UpstreamId("u"), 1, order | {name: odd}, progress)
            assert isinstance(found, Err), name
        for name in ("incarnation", "sequence"):
            found = read_order(UpstreamId("u"), 1, order, progress | {name: odd})
            assert isinstance(found, Err), name


@given(st.dictionaries(st.sampled_from(["holder", "fencing", "token"]), JSON))
def test_any_lease_is_read_or_refused(spec: Any) -> None:
    """Guards against an unexpected error that ends a controller."""
    read_lease(spec)


ORDER_FIELDS = st.sampled_from(["sequence", "fencing", "sealed", "change", "token"])


@given(st.dictionaries(ORDER_FIELDS, JSON), st.dictionaries(st.just("engine"), JSON))
def test_any_order_is_read_or_refused(spec: Any, status: Any) -> None:
    """Guards against an unexpected error that ends an agent's orders."""
    read_order(UpstreamId("u"), 1, spec, status)


class FakeClaimClient:
    """Represent the store of a claim log whose numbers are odd."""

    def __init__(self, value: Any) -> None:
        self._value = value
        self.changed: list[str] = []

    async def get(self, _: Kind, name: ObjectName) -> Any:
        """Return the object with the numbers."""
        return Ok(make_stored(name, 1, {"first": self._value, "trimmed": self._value}))

    async def delete(self, _: Kind, name: ObjectName, __: Any) -> Any:
        """Record a deleted segment."""
        self.changed.append(name)
        return Ok(None)

    async def update(self, _: Kind, name: ObjectName, *__: Any) -> Any:
        """Record a changed object."""
        self.changed.append(name)
        return Ok(make_stored(name, 2, {}))


def test_odd_first_number_of_a_claim_log_is_refused(run: Run) -> None:
    """Guards against a log that forgets its claims, or is trimmed without end."""
    for value in [10**30, -1, True, "3", 1.5, None]:
        client = FakeClaimClient(value)
        store = ClaimStore(client)  # type: ignore[arg-type]
        event = run(store.read_first(0, ReadFirstNumber(op=1)))
        assert isinstance(event, CallFailed), value
        run(store.trim(0, 5))
        assert client.changed == [], value


class FakeRecordClient:
    """Represent a store of records that keeps the names of those written to it."""

    def __init__(self, specs: dict[str, Any]) -> None:
        self._items = tuple(make_stored(name, 7, spec) for name, spec in specs.items())
        self.written: list[str] = []

    async def list_all(self, _: Kind) -> Any:
        """Return all records."""
        return Ok(Listing(revision=Revision(7), items=self._items))

    async def update(self, _: Kind, name: ObjectName, *__: Any) -> Any:
        """Record a written status."""
        self.written.append(name)
        return Ok(self._items[0])


def test_odd_record_does_not_hide_the_status_of_the_others(run: Run) -> None:
    """Guards against statuses that are not written because of one odd record."""
    odd = {"later": nest(2 * NEARLY_TOO_DEEP)}
    client = FakeRecordClient(
        {"a": make_record("a"), "odd": odd, "z": make_record("z")}
    )
    reporter = make_reporter(client, OutcomeCounter())  # type: ignore[arg-type]
    run(reporter.report())
    assert {"a", "z"} <= set(client.written)
