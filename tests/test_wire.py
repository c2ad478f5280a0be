"""Guard the codec, its limits, version negotiation and heartbeats."""

from dataclasses import fields
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok

from bramleyport.core import ProcessId, RegionName, Revision, ZoneName
from bramleyport.wire import (
    MAX_DEPTH,
    MAX_FRAME_BYTES,
    MAX_ITEMS,
    MESSAGES,
    PROTOCOL_MAX,
    PROTOCOL_MIN,
    CloseUnresponsive,
    Heartbeat,
    HeartbeatPolicy,
    Hello,
    OpenReplacement,
    Received,
    SendHeartbeat,
    Sent,
    Session,
    Tick,
    choose_version,
    decode,
    decode_all,
    encode,
    join_batch,
)
from bramleyport.wire._compact import COMPACT_FORMS

# CBOR encodes larger integers with tags, which the limits reject.
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))

messages = st.one_of(*(st.from_type(kind) for kind in MESSAGES.values()))


@settings(max_examples=400)
@given(messages, st.sampled_from([PROTOCOL_MIN, PROTOCOL_MAX]))
def test_every_message_is_decoded_unchanged(message: Any, version: int) -> None:
    assert decode(encode(message, version)) == Ok(message)


def test_field_numbers_match_the_fields_of_each_message() -> None:
    """Guard against a new field that changes the numbers of existing ones."""
    codes = [form.code for form in COMPACT_FORMS.values()]
    assert len(set(codes)) == len(codes)
    for tag, form in COMPACT_FORMS.items():
        assert form.fields == tuple(item.name for item in fields(MESSAGES[tag])), tag


def test_older_peer_is_sent_names() -> None:
    """Guard against numbers sent to a peer that decodes names only."""
    heartbeat = Heartbeat(sequence=7)
    assert cbor2.loads(encode(heartbeat, 1)) == ["heartbeat", {"sequence": 7}]
    assert cbor2.loads(encode(heartbeat, 2)) == [1, {0: 7}]


def test_unknown_field_numbers_are_ignored() -> None:
    raw = cbor2.dumps([1, {0: 7, 99: "later"}])
    assert decode(raw) == Ok(Heartbeat(sequence=7))


@settings(max_examples=200)
@given(st.lists(messages, min_size=1, max_size=30))
def test_batch_keeps_its_messages_in_order(batch: list[Any]) -> None:
    joined = join_batch([encode(message, PROTOCOL_MAX) for message in batch])
    assert decode_all(joined) == Ok(batch)


def test_malformed_message_rejects_the_whole_batch() -> None:
    """Guard against processing the messages before a damaged one."""
    good = encode(Heartbeat(sequence=1), PROTOCOL_MAX)
    joined = join_batch([good, cbor2.dumps([1, {0: "seven"}]), good])
    assert isinstance(decode_all(joined), Err)


@pytest.mark.parametrize(
    "value", [[0, {}], [0, [[0, []]]], [0, [1]], [0, []], [False, [[1, {0: 7}]]]]
)
def test_invalid_batches_are_rejected_or_empty(value: object) -> None:
    result = decode_all(cbor2.dumps(value))
    assert isinstance(result, Err) or result == Ok([])


@pytest.mark.parametrize("code", [0, 99, -1, True])
def test_unknown_message_numbers_are_rejected(code: int) -> None:
    assert isinstance(decode(cbor2.dumps([code, {0: 7}])), Err)


@settings(max_examples=1000)
@given(st.binary(max_size=200))
def test_random_bytes_never_raise(data: bytes) -> None:
    decode(data)


@settings(max_examples=1000)
@given(messages, st.sampled_from([PROTOCOL_MIN, PROTOCOL_MAX]), st.data())
def test_damaged_messages_never_raise(
    message: Any, version: int, data: st.DataObject
) -> None:
    raw = bytearray(encode(message, version))
    for _ in range(data.draw(st.integers(1, 4))):
        raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(raw)))
    decode(bytes(raw[:cut]))
    decode(bytes(raw))


plain = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)
field_names = sorted({f.name for kind in MESSAGES.values() for f in fields(kind)})


@settings(max_examples=400)
@given(
    st.sampled_from(sorted(MESSAGES)),
    st.dictionaries(st.sampled_from(field_names), plain, max_size=6),
)
def test_unexpected_values_never_raise(tag: str, values: dict[str, Any]) -> None:
    decode(cbor2.dumps([tag, values]))


def test_unknown_field_names_are_ignored() -> None:
    data = cbor2.dumps(["heartbeat", {"sequence": 1, "added_later": [1, 2]}])
    assert decode(data) == Ok(Heartbeat(sequence=1))


def nest(depth: int) -> bytes:
    return b"\x81" * depth + b"\x80"


MALFORMED = {
    "empty": (b"", "truncated"),
    "unknown tag": (cbor2.dumps(["news", {}]), "unknown message tag"),
    "missing field": (cbor2.dumps(["heartbeat", {}]), "malformed heartbeat"),
    "wrong type": (cbor2.dumps(["heartbeat", {"sequence": "1"}]), "malformed"),
    "no fields": (cbor2.dumps(["heartbeat"]), "not a pair"),
    "trailing bytes": (cbor2.dumps(["x", {}]) + b"\0", "bytes after the end"),
    "deep": (nest(MAX_DEPTH + 1), "nested deeper"),
    "very deep": (nest(100_000), "nested deeper"),
    "many items": (cbor2.dumps([0] * (MAX_ITEMS + 1)), "more than"),
    "claimed list": (b"\x9b" + b"\xff" * 8, "exceeds the frame"),
    "claimed map": (b"\xbb" + b"\x7f" * 8, "exceeds the frame"),
    "claimed bytes": (b"\x5a\x7f\xff\xff\xff", "exceeds the frame"),
    "indefinite": (b"\x9f\xff", "indefinite"),
    "shared reference": (b"\xd8\x1c\x81\xd8\x1d\x00", "tag"),
    "oversize": (b"\0" * (MAX_FRAME_BYTES + 1), "exceeds"),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_frame_is_rejected_with_its_reason(case: str) -> None:
    data, reason = MALFORMED[case]
    result = decode(data)
    assert isinstance(result, Err)
    assert reason in result.err_value


def make_hello(low: int, high: int) -> Hello:
    return Hello(
        process=ProcessId("p"),
        zone=ZoneName("z"),
        region=RegionName("r"),
        version_min=low,
        version_max=high,
        nonce=b"",
    )


@pytest.mark.parametrize(
    ("low", "high", "agreed"),
    [(1, 1, 1), (1, 2, 2), (2, 2, 2), (1, 9, 2), (3, 9, None), (0, 0, None)],
)
def test_highest_common_version_is_chosen(
    low: int, high: int, agreed: int | None
) -> None:
    assert choose_version(make_hello(low, high)).ok() == agreed


POLICY = HeartbeatPolicy(interval_s=1.0, suspect_s=2.5, timeout_s=6.0)


def test_silent_peer_is_replaced_before_it_is_closed() -> None:
    session = Session(POLICY, 0.0)
    assert OpenReplacement() not in session.step(Tick(), 2.4)
    assert OpenReplacement() in session.step(Tick(), 2.5)
    assert OpenReplacement() not in session.step(Tick(), 3.0)
    assert session.step(Tick(), 6.0) == [CloseUnresponsive(6.0)]
    assert session.step(Tick(), 7.0) == []


def test_received_message_clears_the_suspicion() -> None:
    session = Session(POLICY, 0.0)
    session.step(Tick(), 2.5)
    session.step(Received(), 2.6)
    assert not session.suspect
    assert OpenReplacement() in session.step(Tick(), 5.5)


def test_heartbeat_is_sent_after_an_idle_interval() -> None:
    session = Session(POLICY, 0.0)
    assert session.step(Tick(), 1.0) == [SendHeartbeat(1)]
    session.step(Sent(), 1.5)
    assert session.step(Tick(), 2.0) == []


def test_heartbeats_continue_while_other_messages_are_sent() -> None:
    session = Session(POLICY, 0.0)
    sent = []
    for step in range(1, 13):
        session.step(Received(), step / 2)
        session.step(Sent(), step / 2)
        sent += session.step(Tick(), step / 2)
    assert sent == [SendHeartbeat(1)]


def test_heartbeat_is_small() -> None:
    """Heartbeats are most of the traffic of an idle process."""
    heartbeat = Heartbeat(sequence=10_000, revision=Revision(10_000))
    assert len(encode(heartbeat)) < 50


def test_item_limit_covers_nested_lists() -> None:
    """Guard against many lists of which each is below the limit."""
    data = cbor2.dumps([[0] * (MAX_ITEMS // 2)] * 2 + [[0]])
    result = decode(data)
    assert isinstance(result, Err) and "more than" in result.err_value
