"""Guard the decoders against values that no worker, engine or operator writes.

Each of them ended a job of the gateway, or was taken as valid.
"""

import json
import math
import zlib
from collections.abc import Callable
from typing import Any

import cbor2
import pytest
from hypothesis import given, strategies as st

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision
from bramleyport.fleet import PrefixId, PromptPart
from bramleyport.gateway._store_updates import (
    FORMAT,
    StoreUpdate,
    StoreUpdateError,
    decode_store_update,
    encode_store_update,
)
from bramleyport.platform import (
    Change,
    ForwardOptions,
    MalformedDocumentError,
    ObjectKind,
    ObjectName,
    StoredObject,
    decode_answer,
    decode_cache_listing,
    decode_configuration,
    decode_gateway,
    decode_prefill,
    decode_registration,
    decode_report,
    decode_verdict,
    encode_forward_headers,
)
from tests.gateway_fleet import ENGINE, make_config, make_route
from tests.platform_standin._odd_entries import (
    ACCEPTED_DEPTH,
    MANY_DIGITS,
    REFUSED_DEPTH,
    make_nested,
)
from tests.platform_standin._store import render_json
from tests.test_platform_contract import REGISTRATION

MANY_NINES = "9" * MANY_DIGITS
HUGE = 10**400
FIFTH = StoreRevision(StoreEra(1), Revision(5))


def make_deep_value() -> list[Any]:
    """Return a value that json.loads accepts, but that repr does not."""
    value: list[Any] = []
    for _ in range(100_000):
        value = [value]
    return value


DEEP = make_deep_value()


def find_accepted(decode: Callable[[Any], Any], cases: list[Any]) -> list[str]:
    """Return the cases that are not refused as malformed."""
    accepted = []
    for number, case in enumerate(cases):
        try:
            decode(case)
        except MalformedDocumentError:
            continue
        except Exception as error:
            accepted.append(f"{number}: {type(error).__name__}")
        else:
            accepted.append(f"{number}: accepted")
    return accepted


def test_odd_registrations_are_refused() -> None:
    changes: list[dict[str, Any]] = [
        {name: value}
        for name in ("slots", "born")
        for value in (HUGE, -HUGE, 1e308, 2**53, math.nan, DEEP, 10**MANY_DIGITS)
    ]
    ports = ["\u00b2", "\u0663", MANY_NINES, "0", "65536", "+80", " 80", "8_0", ""]
    changes += [{"addr": f"10.0.0.1:{port}"} for port in ports]
    hosts = ["not a host\r\n", "host", "10.0.0", "10.0.0.256", "::1", "\u0661.0.0.1"]
    changes += [{"addr": f"{host}:80"} for host in hosts]
    texts = ["\ud800", "a\r\nX: y", "a\x00", DEEP, HUGE]
    changes += [{n: text} for n in ("service", "zone", "state") for text in texts]
    changes += [{"stage": DEEP}, {"stage": "\ud800"}, {"addr": DEEP}]

    def decode(change: dict[str, Any]) -> Any:
        return decode_registration("i", REGISTRATION | change)

    assert find_accepted(decode, changes) == []


def test_odd_gateway_entries_are_refused() -> None:
    cases = [{"address": value} for value in ("10.0.0.1:\u00b2", "x:1", DEEP, HUGE)]
    assert find_accepted(decode_gateway, cases) == []


def test_odd_verdicts_are_refused() -> None:
    verdict = {"part": "a", "companions": ["a"], "crashes": 9, "trials": 0}
    changes: list[dict[str, Any]] = [
        {"part": "\ud800"},
        {"part": "\u0663"},
        {"part": DEEP},
        {"companions": ["\ud800"]},
        {"companions": [DEEP]},
        {"companions": DEEP},
        {"crashes": HUGE},
        {"trials": 1e308},
    ]
    assert decode_verdict(verdict).trials == 0
    assert find_accepted(lambda c: decode_verdict(verdict | c), changes) == []


def make_route_change(**fields: Any) -> dict[str, Any]:
    route = make_route("r", "/r/", "idempotent") | fields
    return make_config(routes=[route])


def make_service_change(**fields: Any) -> dict[str, Any]:
    service = {"name": "s", "health_path": "/h", "max_conns": 1} | fields
    return make_config(services=[service])


def make_split(*weights: Any) -> list[dict[str, Any]]:
    return [{"service": "s", "weight": weight} for weight in weights]


# One odd route makes the whole configuration invalid, so that the last one is kept.
def test_odd_configurations_are_refused() -> None:
    changes: list[dict[str, Any]] = [
        {"path_prefix": ""},
        {"path_prefix": "r/"},
        {"path_prefix": "/\r\n/"},
        {"path_prefix": "/\ud800/"},
        {"host": ""},
        {"host": "a b"},
        {"host": "a\r\n"},
        {"host": "\ud800"},
        {"split": make_split(0, 0)},
        {"split": make_split(-1, 2)},
        {"split": make_split(math.nan, 1)},
        {"split": make_split(HUGE, 1)},
        {"split": DEEP},
        {"timeout_ms": 1e308},
        {"timeout_ms": HUGE},
        {"timeout_ms": 0},
        {"timeout_ms": -1},
        {"slo_ms": -1},
        {"gap_slo_ms": -1},
        {"priority": HUGE},
        {"max_attempts": 1e308},
        {"name": DEEP},
        {"service": "\ud800"},
    ]
    configs = [make_route_change(**change) for change in changes]
    configs += [make_service_change(max_conns=value) for value in (0, -1, HUGE, 1e308)]
    engines: list[dict[str, Any]] = [{name: -1} for name in ENGINE]
    engines += [{name: HUGE} for name in ENGINE]
    engines += [{"link_mbps": 0}, {"slots": 0}]
    configs += [make_service_change(engine=ENGINE | change) for change in engines]
    limits = make_config()["limits"]
    for name in limits:
        configs += [make_config(limits=limits | {name: v}) for v in (-1, HUGE, 1e308)]
    configs += [make_config(limits=limits | {"header_timeout_ms": 0})]
    configs += [make_config(limits=limits | {"max_header_bytes": 0})]
    configs += [make_config(version=HUGE), make_config(routes=DEEP)]
    valid = [make_route_change(), make_route_change(split=make_split(0, 1))]
    valid += [make_service_change(), make_service_change(engine=ENGINE), make_config()]
    assert len(find_accepted(decode_configuration, valid)) == len(valid)
    assert find_accepted(decode_configuration, configs) == []


NESTED_BODIES = [
    render_json({"x": make_nested(REFUSED_DEPTH)}),
    b'{"x": ' + MANY_NINES.encode() + b"}",
    b'{"x": "\xff"}',
    render_json(make_nested(ACCEPTED_DEPTH)),
]


def test_odd_prefill_results_are_refused() -> None:
    handles = ["", "a\r\nX: y", "a b", "\u2192", "\ud800", "h" * 5_000, HUGE, ["x"]]
    bodies = [render_json({"kv_handle": handle}) for handle in handles]
    assert find_accepted(decode_prefill, NESTED_BODIES + bodies) == []


def test_odd_reports_are_refused() -> None:
    report = {"stage": "decode", "busy": False, "seq": 0}
    changes: list[dict[str, Any]] = [
        {"seq": HUGE},
        {"seq": -1},
        {"seq": 1e308},
        {"stage": ["decode"]},
        {"stage": {"a": 1}},
        {"stage": make_nested(ACCEPTED_DEPTH)},
        {"busy": make_nested(ACCEPTED_DEPTH)},
    ]
    bodies = [render_json(report | change) for change in changes]
    assert find_accepted(decode_report, NESTED_BODIES + bodies) == []


# Guards the rest of a listing: one odd entry hid all cached prefixes of an engine.
def test_odd_cache_entry_costs_only_itself() -> None:
    odd: list[Any] = [
        None,
        [],
        ["", "a"],
        ["", "a", HUGE, "m"],
        ["", "a", -1, "m"],
        ["", "a", "x", "m"],
        ["", "a", math.inf, "m"],
        ["", "a", True, "m"],
        ["", {"a": 1}, 3, "m"],
        ["", "\ud800", 3, "m"],
        make_nested(REFUSED_DEPTH),
        ["", "a", make_nested(ACCEPTED_DEPTH), "m"],
    ]
    parts = (PromptPart(PrefixId("x"), 1), PromptPart(PrefixId("y"), 2))
    for entry in odd:
        held = [["", "x", 1, "m"], entry, ["", "y", 2, "m"]]
        body = render_json({"epoch": 1, "held": held})
        assert decode_cache_listing(body).parts == parts, entry


def test_cache_listing_without_a_list_is_refused() -> None:
    bodies = [render_json({"held": held}) for held in ({"a": 1}, "text", 7)]
    assert find_accepted(decode_cache_listing, bodies) == []


# Guards connections: an idle time of hundreds of digits was taken as infinite.
def test_idle_timeout_of_many_digits_is_ignored() -> None:
    for digits in (19, 400, MANY_DIGITS):
        headers = [(b"Keep-Alive", b"timeout=" + b"9" * digits)]
        assert decode_answer(200, headers).idle_timeout_s is None
    headers = [(b"Keep-Alive", b"timeout=7")]
    assert decode_answer(200, headers).idle_timeout_s == 7


def make_update(document: dict[str, Any]) -> StoreUpdate:
    item = StoredObject(name=ObjectName("u"), revision=FIFTH, document=document)
    return StoreUpdate(
        process=ProcessId("g"),
        kind=ObjectKind.REGISTRATIONS,
        revision=FIFTH,
        changes=(Change(item, removed=False),),
    )


ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters())
    | st.sampled_from([HUGE, -HUGE, 1e308, "\ud800", "a\r\nb", "1.2.3.4:\u0663"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


@st.composite
def replace_one_value(draw: st.DrawFn, document: Any) -> Any:
    """Return a document of which one value, at any depth, is replaced."""
    if not isinstance(document, (dict, list)) or not document:
        return draw(ANY_VALUE)
    keys = list(document) if isinstance(document, dict) else range(len(document))
    key = draw(st.sampled_from(keys))
    changed = dict(document) if isinstance(document, dict) else list(document)
    if draw(st.booleans()):
        changed[key] = draw(ANY_VALUE)
    else:
        changed[key] = draw(replace_one_value(document[key]))
    return changed


# Guards the callers of the decoders: this error is the only one that they expect.
@given(replace_one_value(make_config()))
def test_any_configuration_is_decoded_or_refused(document: Any) -> None:
    try:
        decode_configuration(document)
    except MalformedDocumentError:
        return


@given(replace_one_value(REGISTRATION))
def test_any_registration_is_sent_or_refused(document: Any) -> None:
    try:
        found = decode_registration("i", document)
    except MalformedDocumentError:
        return
    options = ForwardOptions(
        upstream=found.upstream,
        remaining_time_s=1.0,
        cache_address=found.address,
        prefix_address=found.address,
    )
    values = [value for _, value in encode_forward_headers([], options)]
    assert not any(b"\r" in value or b"\n" in value for value in values)
    json.dumps([found.service, found.zone]).encode()


# Guards the follower: it ended with the error of the encoder, again and again.
def test_update_that_cannot_be_encoded_goes_without_changes() -> None:
    for value in (DEEP, "\ud800"):
        update = make_update({"x": value})
        decoded = decode_store_update(encode_store_update(update))
        assert decoded.revision == FIFTH
        assert decoded.changes is None


# Guards the receivers of datagrams: only this error is expected of the decoder.
def test_odd_updates_are_refused() -> None:
    fields: list[Any] = [FORMAT, "g", "servers", 3, 5, 0, True, False, None, 1]
    decode_store_update(fields)
    cases = [(2, DEEP), (3, math.inf), (4, -math.inf)]
    cases += [(index, value) for index in (3, 4, 9) for value in (HUGE, -1)]
    cases += [(5, age) for age in (HUGE, math.inf, math.nan, -1, DEEP)]
    for index, value in cases:
        odd = [*fields]
        odd[index] = value
        with pytest.raises(StoreUpdateError):
            decode_store_update(odd)


# Guards requests: the name of an upstream is sent in one of their headers.
def test_changes_of_odd_names_are_refused() -> None:
    for name in ("", "a\r\nX: y", "\u0663", "n" * 5_000, 7):
        rows = [[name, 5, False, {}]]
        packed = zlib.compress(cbor2.dumps(rows))
        fields = [FORMAT, "g", "servers", 3, 5, 0, True, False, packed]
        with pytest.raises(StoreUpdateError):
            decode_store_update(fields)
