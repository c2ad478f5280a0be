"""Guard against one odd item of another gateway that costs more than itself."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from decimal import Decimal
from pathlib import Path
from typing import Any, Final

import cbor2
import pytest
from hypothesis import given, strategies as st

from bramleyport.core import (
    ProcessId,
    RequestId,
    Revision,
    StoreEra,
    StoreRevision,
    UpstreamId,
)
from bramleyport.fleet import (
    Address,
    CrashId,
    CrashReport,
    HarmlessTrait,
    TraitId,
    Verdict,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_fields import PeerMessageError
from bramleyport.gateway._peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
)
from bramleyport.gateway._shared_facts import ChangingEngine, WorkRef
from bramleyport.gateway._store_updates import StoreUpdate
from bramleyport.platform import Change, ObjectKind, ObjectName, StoredObject
from tests.gateway_fleet import GatewayFleet
from tests.test_gateway_peers import (
    ADDRESS,
    PEER,
    make_limit_update,
    make_message,
    make_work,
)

THIRD = StoreRevision(StoreEra(1), Revision(3))
Run = Callable[[Coroutine[Any, Any, Any]], Any]

# Position of the first list in an encoded message.
FIRST_LIST_INDEX: Final = 4
# No engine changes its stage for longer.
LONGEST_CHANGE_S: Final = 600.0


def nest(depth: int) -> Any:
    value: Any = 0
    for _ in range(depth):
        value = [value]
    return value


# None of these is a valid value of any field.
ODD_VALUES: Final = [
    10**400,
    -(10**400),
    Decimal("1E400"),
    Decimal("NaN"),
    float("nan"),
    float("inf"),
    -float("inf"),
    1e308,
    [],
    {},
    nest(300),
    b"\xff",
]
ODD_ITEMS: Final = [*ODD_VALUES, None, 7, "", [1], [[]], {"a": 1}, [None] * 6]


def make_full_message() -> PeerMessage:
    """Return a message with two items in each of its lists."""
    parts = frozenset({TraitId("a"), TraitId("b")})
    return make_message(
        started=(make_work("r1"), make_work("r2")),
        prefilled=(make_ref("r3"), make_ref("r4")),
        ended=(make_ref("r5"), make_ref("r6")),
        changing=(make_change("d2", 3.5), make_change("d3", 2.5)),
        refused=(UpstreamId("d4"), UpstreamId("d5")),
        limits=(make_limit_update(), make_limit_update(rate=7.0)),
        reports=(make_report(1, parts), make_report(2, parts)),
        harmless=(HarmlessTrait(TraitId("c"), 0.0), HarmlessTrait(TraitId("d"), 0.0)),
        verdicts=(make_verdict("a", parts), make_verdict("b", parts)),
    )


def make_ref(request: str) -> WorkRef:
    return WorkRef(UpstreamId("d0"), RequestId(request))


def make_change(upstream: str, duration_s: float) -> ChangingEngine:
    return ChangingEngine(UpstreamId(upstream), duration_s)


def make_report(started_ms: int, parts: frozenset[TraitId]) -> CrashReport:
    crash = CrashId(UpstreamId("d0"), started_ms)
    return CrashReport(crash=crash, at_s=0.0, traits=parts, unproven=parts)


def make_verdict(part: str, parts: frozenset[TraitId]) -> Verdict:
    return Verdict(trait=TraitId(part), companions=parts, crashes=2)


# The lists in the order in which they are sent.
LIST_NAMES: Final = (
    "started",
    "prefilled",
    "ended",
    "changing",
    "refused",
    "limits",
    "reports",
    "harmless",
    "verdicts",
)


def encode_fields() -> list[Any]:
    fields: list[Any] = cbor2.loads(encode_message(make_full_message()))
    return fields


def decode_fields(fields: list[Any]) -> PeerMessage:
    found = decode_datagram(cbor2.dumps(fields), 0.0)
    assert isinstance(found, PeerMessage)
    return found


def count_items(message: PeerMessage) -> dict[str, int]:
    return {name: len(getattr(message, name)) for name in LIST_NAMES}


LIST_INDEXES: Final = range(FIRST_LIST_INDEX, FIRST_LIST_INDEX + len(LIST_NAMES))
ALL: Final = dict.fromkeys(LIST_NAMES, 2)


def list_odd_rows(row: Any) -> Iterator[Any]:
    """Yield a row with each of its values, and those in its lists, replaced."""
    yield from ODD_ITEMS if isinstance(row, list) else ODD_VALUES
    if not isinstance(row, list):
        return
    for index, value in enumerate(row):
        for odd in list_odd_values(value):
            yield [*row[:index], odd, *row[index + 1 :]]
    yield row[:-2]


def list_odd_values(value: Any) -> Iterator[Any]:
    if isinstance(value, list):
        yield from (odd for odd in ODD_VALUES if odd != [])
        yield from ([odd] for odd in ODD_VALUES)
    else:
        yield from ODD_VALUES


def test_odd_item_of_a_message_costs_only_itself() -> None:
    """Guards against one odd item that hides the other items of a datagram."""
    for index in LIST_INDEXES:
        fields = encode_fields()
        valid = fields[index]
        for odd in list_odd_rows(valid[0]):
            fields[index] = [valid[0], odd, valid[1]]
            found = decode_fields(fields)
            assert count_items(found) == ALL, (index, odd)
            assert len(found.invalid) == 1, (index, odd)


def test_odd_list_of_a_message_costs_only_itself() -> None:
    """Guards against one field of another type that hides the rest of a datagram."""
    for index in LIST_INDEXES:
        fields = encode_fields()
        for odd in [7, "d0", {"a": 1}, float("nan"), 10**400]:
            fields[index] = odd
            counts = count_items(decode_fields(fields))
            assert sorted(counts.values()) == [0, *[2] * 8], (index, odd)


def test_message_with_an_odd_head_is_refused() -> None:
    """Guards against an odd sender, start or flag that removes a gateway that runs."""
    for index in range(1, FIRST_LIST_INDEX):
        for odd in [*ODD_VALUES, None, "", -1]:
            fields = encode_fields()
            fields[index] = odd
            with pytest.raises(PeerMessageError):
                decode_datagram(cbor2.dumps(fields), 0.0)


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4)
VALUES = st.recursive(
    SCALARS | st.binary(max_size=4) | st.just(10**400) | st.just(Decimal("1E400")),
    lambda child: st.lists(child, max_size=7) | st.dictionaries(SCALARS, child),
    max_leaves=12,
)


@given(st.lists(VALUES, min_size=9, max_size=9))
def test_any_lists_of_a_message_are_decoded_or_left_out(lists: list[Any]) -> None:
    """Guards against an unexpected type of error from a decoder of an item."""
    fields = [1, "p", 1, False, *lists]
    found = decode_datagram(cbor2.dumps(fields), 0.0)
    assert isinstance(found, PeerMessage)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def receive(fleet: GatewayFleet, run: Run, fields: list[Any]) -> None:
    async def pass_on() -> None:
        fleet.gateway._peers.datagramReceived(cbor2.dumps(fields), ADDRESS)

    run(pass_on())


def make_fields(**lists: Any) -> list[Any]:
    return [1, PEER, 1, False, *(lists.get(name, []) for name in LIST_NAMES)]


def test_odd_duration_does_not_block_an_engine_for_ever(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against an engine that gets no work until the gateway restarts."""
    for duration_s in [float("inf"), float("nan"), 1e300, 1e9, 10**30]:
        receive(fleet, run, make_fields(changing=[["d0", duration_s], ["d1", 5.0]]))
        blocked = fleet.state.changing_until_s
        later_s = read_now() + LONGEST_CHANGE_S
        assert all(until_s <= later_s for until_s in blocked.values()), duration_s
        assert UpstreamId("d1") in blocked
    receive(fleet, run, make_fields(changing=[["d0", 5.0]]))
    assert fleet.state.is_changing(UpstreamId("d0"), read_now())


def test_huge_incarnation_does_not_hide_later_restarts(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a peer whose restarts are never noticed again."""
    now_ms = time.time_ns() // 1_000_000
    work = cbor2.loads(encode_message(make_message(started=(make_work(),))))
    for incarnation in [10**30, 2**62, 10**17]:
        receive(fleet, run, set_incarnation(make_fields(), incarnation))
    receive(fleet, run, set_incarnation(work, now_ms))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 1
    receive(fleet, run, set_incarnation(make_fields(), now_ms + 1))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 0


def set_incarnation(fields: list[Any], incarnation: int) -> list[Any]:
    return [*fields[:2], incarnation, *fields[3:]]


def test_huge_start_time_does_not_hide_later_limits(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a limit of no process, after which no other limit counts."""
    odd = [["p0", started_ms, 1.0, 0.0, 0.0] for started_ms in (10**30, 2**62, 10**17)]
    receive(fleet, run, make_fields(limits=odd))
    registration = fleet.state.members.find(UpstreamId("p0"))
    valid = ["p0", registration.started_ms, 2.5, 0.0, 0.0]
    receive(fleet, run, make_fields(limits=[valid]))
    notice = fleet.state.rate_limiter.find(registration)
    assert notice is not None
    assert notice.rate == 2.5


def test_huge_transfer_does_not_block_the_link_of_an_engine(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against an engine whose link counts as busy for good."""
    row = ["d0", "r1", 1, 250, 5000, [], 1e300]
    valid = ["d0", "r2", 1, 250, 5000, [], 100]
    receive(fleet, run, make_fields(started=[row, valid]))
    load = fleet.state.loads.of(UpstreamId("d0"))
    assert load.forecast_link(read_now()) < LONGEST_CHANGE_S
    assert len(load) == 1


def test_error_while_an_item_is_applied_costs_only_that_item(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an item that passes the decoder and hides those after it."""
    tracker = fleet.gateway._tracker
    apply_refused = tracker.apply_refused

    def fail_for_p9(upstream: UpstreamId) -> None:
        if upstream == "p9":
            raise OverflowError("int too large to convert to float")
        apply_refused(upstream)

    monkeypatch.setattr(tracker, "apply_refused", fail_for_p9)
    receive(
        fleet,
        run,
        make_fields(refused=["p9", "p0"], changing=[["d0", 5.0]], ended=[["d0", "r"]]),
    )
    ready = [UpstreamId("p0"), UpstreamId("p1")]
    unreachable = fleet.state.reachability.find_unreachable(ready, read_now())
    assert unreachable == {"p0"}


def test_error_in_a_handler_of_store_updates_does_not_leave_the_port(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against an update whose handler fails with an unexpected error."""

    def fail(_: StoreUpdate) -> None:
        raise RecursionError

    peers = fleet.gateway._peers
    peers.subscribe(ObjectKind.REGISTRATIONS, fail)
    fields = [2, PEER, ObjectKind.REGISTRATIONS.value, 0, 1, 0, True, False, None]
    receive(fleet, run, fields)
    assert fleet.state.gateway_count == 2


def test_gateway_reads_its_port_after_any_odd_datagram(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a datagram after which a gateway hears no peer any more."""
    odd = [
        b"",
        b"\xff",
        b"\x81" * 5_000,
        cbor2.dumps(nest(300)),
        cbor2.dumps([2, PEER, 10**400, Decimal("1E400"), None, [], {}, 0, b"x"]),
        cbor2.dumps([1, "\u0000" * 40_000, 1, False, [], [], [], []]),
        *(
            cbor2.dumps(make_fields(**{name: [item]}))
            for name in LIST_NAMES
            for item in ODD_ITEMS
        ),
    ]
    valid = encode_message(make_message(started=(make_work(),)))

    async def send() -> None:
        port = fleet.gateway._peers.transport.getHost().port
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in [*odd, valid]:
                sender.sendto(data, ("127.0.0.1", port))
                await asyncio.sleep(0)
        deadline_s = read_now() + 5.0
        while not len(fleet.state.loads.of(UpstreamId("d0"))):
            assert read_now() < deadline_s
            await asyncio.sleep(0.01)

    run(send())


def list_sent(fleet: GatewayFleet) -> list[bytes]:
    """Return the datagrams that the gateway sends from now on."""
    sent: list[bytes] = []

    class Transport:
        def write(self, data: bytes, _: Any) -> None:
            sent.append(data)

    fleet.gateway._peers.transport = Transport()
    return sent


def test_item_that_cannot_be_encoded_does_not_stop_the_others(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a name with a lone surrogate that ends the sending of updates."""

    async def send() -> list[bytes]:
        peers = fleet.gateway._peers
        transport = peers.transport
        peers.set_addresses({PEER: Address("127.0.0.1", 9)})
        peers._flush()
        sent = list_sent(fleet)
        fleet.gateway._tracker.report_refused(UpstreamId("d\ud800"))
        fleet.gateway._tracker.report_refused(UpstreamId("d1"))
        peers._flush()
        peers.transport = transport
        return sent

    refused = [
        upstream
        for data in run(send())
        for upstream in decode_datagram(data, 0.0).refused  # type: ignore[union-attr]
    ]
    assert refused == ["d1"]


def test_encoder_leaves_out_numbers_that_are_not_finite() -> None:
    """Guards against a forecast without end that stops the sending of updates."""
    odd, valid = make_work("r1"), make_work("r2")
    odd.prefill_s = float("inf")
    found = decode_datagram(encode_message(make_message(started=(odd, valid))), 0.0)
    assert isinstance(found, PeerMessage)
    assert [work.request for work in found.started] == ["r2"]


def test_store_update_that_cannot_be_encoded_is_announced_without_its_changes(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a document that ends the watch of the gateway that read it."""

    async def send() -> list[bytes]:
        peers = fleet.gateway._peers
        transport = peers.transport
        peers.set_addresses({PEER: Address("127.0.0.1", 9)})
        peers._flush()
        sent = list_sent(fleet)
        stored = StoredObject(
            name=ObjectName("u"), revision=THIRD, document={"host": "\ud800"}
        )
        peers.publish_update(
            StoreUpdate(
                process=ProcessId("g"),
                kind=ObjectKind.REGISTRATIONS,
                revision=THIRD,
                changes=(Change(stored, removed=False),),
            )
        )
        peers.transport = transport
        return sent

    updates = [decode_datagram(data, 0.0) for data in run(send())]
    (update,) = [item for item in updates if isinstance(item, StoreUpdate)]
    assert update.revision == THIRD
    assert update.changes is None
