"""Guard messages between gateways: load, shutdown, restarts, malformed data."""

import math
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import cbor2
import pytest
from hypothesis import given, strategies as st

from bramleyport.core import ProcessId, RequestId, ServiceName, UpstreamId
from bramleyport.fleet import (
    Address,
    BegunStream,
    EndedProcess,
    SoftwareVersion,
    Work,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_fields import PeerMessageError
from bramleyport.gateway._peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
)
from bramleyport.gateway._shared_facts import (
    FACTS,
    ChangingEngine,
    LimitUpdate,
    WorkRef,
)
from bramleyport.gateway._state import MAX_ENDED
from tests.fleet_builders import make_call, make_engine, make_prompt
from tests.gateway_fleet import GatewayFleet
from tests.gateway_group import GatewayGroup

Run = Callable[[Coroutine[Any, Any, Any]], Any]
PEER = ProcessId("z-peer")
ADDRESS = ("127.0.0.1", 9)
# Position of the limits in an encoded message.
LIMITS_INDEX = 9


def make_work(request: str = "r1") -> Work:
    return Work(
        request=RequestId(request),
        upstream=UpstreamId("d0"),
        priority=1,
        prefill_s=0.25,
        prefill_cost=5_000,
        started_s=0.0,
        parts=make_prompt(("aa", 100), ("bb", 50)).parts,
    )


def make_limit_update(rate: float | None = 2.5, started_ms: int = 1000) -> LimitUpdate:
    return LimitUpdate(
        upstream=UpstreamId("p0"),
        started_ms=started_ms,
        rate=rate,
        sent_age_s=1.0,
        received_age_s=0.5,
    )


def make_message(**fields: Any) -> PeerMessage:
    return PeerMessage(process=PEER, incarnation=1, **fields)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def deliver(fleet: GatewayFleet, run: Run, message: PeerMessage) -> None:
    async def receive() -> None:
        fleet.gateway._peers.datagramReceived(encode_message(message), ADDRESS)

    run(receive())


def test_message_survives_encoding_and_decoding() -> None:
    message = make_message(
        started=(make_work(),),
        prefilled=(WorkRef(UpstreamId("d0"), RequestId("r2")),),
        ended=(WorkRef(UpstreamId("d1"), RequestId("r3")),),
        changing=(ChangingEngine(UpstreamId("d2"), 3.5),),
        refused=(UpstreamId("d3"),),
        limits=(make_limit_update(),),
    )
    assert decode_datagram(encode_message(message), 0.0) == message


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    try:
        decode_datagram(data, 0.0)
    except PeerMessageError:
        return


@pytest.mark.parametrize("value", [7, [], [1], [2, "p", 1, False, [], [], [], []]])
def test_other_formats_are_refused(value: Any) -> None:
    with pytest.raises(PeerMessageError):
        decode_datagram(cbor2.dumps(value), 0.0)


def test_work_of_a_peer_counts_as_load_and_fills_caches(
    fleet: GatewayFleet, run: Run
) -> None:
    deliver(fleet, run, make_message(started=(make_work(),)))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 1
    ref = WorkRef(UpstreamId("d0"), RequestId("r1"))
    deliver(fleet, run, make_message(prefilled=(ref,)))
    prompt = make_prompt(("aa", 100), ("cc", 9))
    assert fleet.state.prefixes.count_confirmed(UpstreamId("d0"), prompt) == 100
    deliver(fleet, run, make_message(ended=(ref,)))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 0


@pytest.mark.parametrize(("prefill_s", "at_once"), [(0.5, True), (0.01, False)])
def test_long_prompt_is_reported_to_peers_at_once(
    fleet: GatewayFleet, run: Run, prefill_s: float, at_once: bool
) -> None:
    # Unaware of each other's calls, three gateways sent 20,000 tokens each to the same
    # idle engine within 30 ms.
    async def announce() -> None:
        link = fleet.gateway._peers
        link.set_addresses({ProcessId("peer"): Address("127.0.0.1", 9)})
        call = make_call(make_prompt(("aa", 100)))
        fleet.gateway._tracker.start(call, make_engine("d0"), prefill_s=prefill_s)
        assert bool(fleet.gateway._tracker.take_pending()) is not at_once

    run(announce())


def test_message_of_the_previous_version_is_decoded() -> None:
    # During an upgrade, gateways of two versions exchange messages.
    fields = cbor2.loads(encode_message(make_message(started=(make_work(),))))
    fields[4] = [item[:6] for item in fields[4]]
    found = decode_datagram(cbor2.dumps(fields[:8]), 0.0)
    assert found == make_message(started=(make_work(),))


@pytest.mark.parametrize("data", [b"\x81" * 5_000, b"\x9b" + b"\xff" * 8, b"\xbf" * 99])
def test_datagram_with_deep_nesting_or_a_huge_length_is_refused(data: bytes) -> None:
    # One malformed message crashed the whole process.
    with pytest.raises(PeerMessageError):
        decode_datagram(data, 0.0)


def test_upstream_that_refused_a_peer_gets_no_calls(
    fleet: GatewayFleet, run: Run
) -> None:
    deliver(fleet, run, make_message(refused=(UpstreamId("p0"),)))
    for _ in range(4):
        answer = run(fleet.make_caller().call("/read/x", method="GET"))
        assert answer.status == 200
    assert fleet.plain[0].runs == []


def test_gateways_share_the_retry_budget_with_active_peers(
    fleet: GatewayFleet, run: Run
) -> None:
    deliver(fleet, run, make_message())
    assert fleet.state.gateway_count == 2
    deliver(fleet, run, make_message(leaving=True))
    assert fleet.state.gateway_count == 1


def test_work_of_a_peer_that_restarted_is_dropped(
    fleet: GatewayFleet, run: Run
) -> None:
    # A killed gateway never reports that its calls ended. They counted as running, and
    # engines were ordered to switch to decoding for calls that no longer existed.
    deliver(fleet, run, make_message(started=(make_work(),)))
    deliver(fleet, run, PeerMessage(process=PEER, incarnation=2))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 0


def test_work_of_a_peer_that_shuts_down_is_dropped(
    fleet: GatewayFleet, run: Run
) -> None:
    deliver(fleet, run, make_message(started=(make_work(),)))
    deliver(fleet, run, make_message(leaving=True))
    assert len(fleet.state.loads.of(UpstreamId("d0"))) == 0


def test_changing_engine_gets_no_calls(fleet: GatewayFleet, run: Run) -> None:
    deliver(
        fleet, run, make_message(changing=(ChangingEngine(UpstreamId("d0"), 60.0),))
    )
    prompt = {"Model": "m", "Token_Counts": "40,1", "Prompt_Prefix": "aa:30,bb:10"}
    caller = fleet.make_caller()
    for _ in range(4):
        assert run(caller.call("/stream/x", body=b"p", **prompt)).status == 200
    assert fleet.engines[0].runs == []


def test_malformed_datagram_changes_nothing(fleet: GatewayFleet, run: Run) -> None:
    async def receive() -> None:
        fleet.gateway._peers.datagramReceived(b"not cbor", ADDRESS)

    run(receive())
    assert fleet.state.gateway_count == 1


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), "much", []])
def test_limit_that_is_no_rate_is_refused(value: Any) -> None:
    limits = (make_limit_update(), make_limit_update(rate=7.0))
    fields = cbor2.loads(encode_message(make_message(limits=limits)))
    fields[LIMITS_INDEX][0][2] = value
    found = decode_datagram(cbor2.dumps(fields), 0.0)
    assert isinstance(found, PeerMessage)
    assert found == make_message(limits=limits[1:])
    assert len(found.invalid) == 1


@pytest.mark.parametrize("length", [LIMITS_INDEX, LIMITS_INDEX + 1])
def test_message_of_an_earlier_version_is_decoded(length: int) -> None:
    # Gateways of earlier versions send no limits, or no reports of crashes.
    fields = cbor2.loads(encode_message(make_message()))
    assert decode_datagram(cbor2.dumps(fields[:length]), 0.0) == make_message()


def test_limit_named_to_a_peer_binds_this_gateway(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a gateway that knows only what upstreams said to itself."""
    limiter = fleet.state.rate_limiter
    registration = fleet.state.members.find(UpstreamId("p0"))
    deliver(fleet, run, make_message(limits=(make_limit_update(),)))
    assert limiter.find(registration).rate == 2.5
    # An update on an earlier process of the upstream says nothing of this one.
    old = make_limit_update(rate=None, started_ms=999)
    deliver(fleet, run, make_message(limits=(old,)))
    assert limiter.find(registration).rate == 2.5


def test_gateway_that_starts_learns_the_limits_from_its_peers(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a restarted gateway that sends until its own first answer."""

    async def check() -> None:
        group = GatewayGroup(tmp_path, 2, ("p0",))
        await group.start()
        try:
            group.upstreams[0].limit = "2"
            await group.send_calls(0.5, 20.0, "/post/x")
            await group.start_gateway("g2")
            state = group.gateways["g2"].state
            target = state.members.find(UpstreamId("p0"))
            await group.wait_for(lambda: state.rate_limiter.find(target) is not None)
        finally:
            await group.stop()

    run(check())


def test_each_shared_fact_has_a_scope_an_end_and_a_bound() -> None:
    """Guards against a kind of fact that is told, but never ends or has no bound."""
    assert {fact.field for fact in FACTS} <= {item.name for item in fields(PeerMessage)}
    assert len({fact.field for fact in FACTS}) == len(FACTS)
    assert all(fact.scope and fact.end and fact.bound for fact in FACTS)


def test_streams_survive_encoding_and_decoding() -> None:
    """Guards against gateways that can't read at which versions streams began."""
    stream = BegunStream(
        origin=RequestId("r"), service=ServiceName("s"), version=SoftwareVersion("v1")
    )
    message = PeerMessage(process=ProcessId("g"), incarnation=1, streams=(stream,))
    assert decode_datagram(encode_message(message), 0.0) == message


def test_message_of_a_later_version_is_read() -> None:
    """Guards against gateways that stop hearing those that tell further facts."""
    message = PeerMessage(process=ProcessId("g"), incarnation=1)
    later = [*cbor2.loads(encode_message(message)), [["a fact", 1]]]
    assert decode_datagram(cbor2.dumps(later), 0.0) == message


def test_refused_connection_of_a_peer_ends_only_the_process_that_it_meant(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a process that gets no streams as the one before it had ended."""
    target = fleet.state.members.find(UpstreamId("d0"))
    before = EndedProcess(target.upstream, target.started_ms - 1, until_s=math.inf)
    refused = make_message(refused=(target.upstream,))
    told = make_message(ended_processes=(replace(before, until_s=read_now() + 3.0),))
    deliver(fleet, run, refused)
    deliver(fleet, run, told)
    assert not fleet.state.has_ended(target, read_now())
    ended = EndedProcess(target.upstream, target.started_ms, read_now() + 3.0)
    deliver(fleet, run, make_message(ended_processes=(ended,)))
    assert fleet.state.has_ended(target, read_now())


def test_ended_processes_are_told_once_and_not_passed_on(
    fleet: GatewayFleet,
) -> None:
    """Guards against gateways that tell each other of one process for ever."""
    state = fleet.state
    target = state.members.find(UpstreamId("d0"))
    for _ in range(5):
        state.record_ended(target.upstream, read_now())
    assert [item.upstream for item in state.pending_ended] == [target.upstream]
    state.pending_ended.clear()
    other = state.members.find(UpstreamId("d1"))
    state.apply_ended(EndedProcess(other.upstream, other.started_ms, read_now() + 3.0))
    assert not state.pending_ended
    known = {item.upstream for item in state.list_ended(read_now())}
    assert known == {target.upstream, other.upstream}
    state.remove_upstream(target.upstream)
    assert [item.upstream for item in state.list_ended(read_now())] == [other.upstream]


def test_memory_of_ended_processes_is_bounded(fleet: GatewayFleet) -> None:
    """Guards against a gateway that keeps whatever processes it is told of."""
    for number in range(MAX_ENDED + 10):
        upstream = UpstreamId(f"unknown{number}")
        fleet.state.apply_ended(EndedProcess(upstream, 1, read_now() + 3.0))
    assert len(fleet.state.ended_processes) == MAX_ENDED
