"""Guard the platform's messages: what is decoded, encoded and dropped."""

import json
from pathlib import Path
from typing import Any

import pytest
import yaml
from click.testing import CliRunner

from bramleyport.cli._main import main
from bramleyport.core import (
    FencingNumber,
    ProcessId,
    RequestId,
    SettingsError,
    UpstreamId,
)
from bramleyport.fleet import Address, Repeatability, Stage
from bramleyport.platform import (
    ForwardOptions,
    MalformedDocumentError,
    OrderResult,
    StageOrder,
    decode_answer,
    decode_cache_listing,
    decode_call,
    decode_configuration,
    decode_gateway,
    decode_order_status,
    decode_prefill,
    decode_registration,
    decode_report,
    encode_answer_headers,
    encode_forward_headers,
    encode_gateway,
    encode_own_headers,
    load_node_settings,
    make_stage_request,
    read_event_id,
)
from tests.gateway_fleet import make_config, make_route, make_settings

REGISTRATION = {
    "service": "language",
    "addr": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1765000000123,
}


def test_registration_is_decoded() -> None:
    found = decode_registration("i-1", REGISTRATION)
    assert found.upstream == "i-1"
    assert found.address == Address("10.128.0.9", 8080)
    assert (found.slots, found.draining, found.stage) == (64, False, Stage.DECODE)
    assert found.started_ms == 1765000000123


def test_draining_registration_is_decoded() -> None:
    assert decode_registration("i", REGISTRATION | {"state": "draining"}).draining


@pytest.mark.parametrize(
    "change",
    [
        {"addr": None},
        {"addr": "10.0.0.1"},
        {"addr": "10.0.0.1:http"},
        {"addr": "10.0.0.1:70000"},
        {"service": 7},
        {"zone": None},
        {"slots": "64"},
        {"slots": -1},
        {"slots": True},
        {"slots": float("inf")},
        {"slots": float("nan")},
        {"state": "sleeping"},
        {"stage": "both"},
        {"born": 1.5},
        {"born": "1"},
    ],
)
def test_malformed_registration_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_registration("i", REGISTRATION | change)


@pytest.mark.parametrize("missing", ["service", "addr", "zone", "slots", "state"])
def test_registration_with_a_missing_field_is_refused(missing: str) -> None:
    document = {name: REGISTRATION[name] for name in REGISTRATION if name != missing}
    with pytest.raises(MalformedDocumentError):
        decode_registration("i", document)


def test_configuration_is_decoded() -> None:
    found = decode_configuration(make_config(7))
    assert found.version == 7
    kinds = {route.name: route.repeatability for route in found.routes}
    assert kinds == {
        "read": Repeatability.IDEMPOTENT,
        "post": Repeatability.AT_MOST_ONCE,
        "once": Repeatability.STREAM_ONCE,
        "stream": Repeatability.STREAM_RESUMABLE,
    }
    language = next(s for s in found.services.values() if s.engine)
    assert language.engine is not None
    assert language.engine.link_bytes_per_s == pytest.approx(1.9e12 / 8)
    assert found.limits.header_timeout_s == 0.5


def test_split_route_is_decoded() -> None:
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    route = make_route("r", "/r/", "idempotent", split=split)
    del route["service"]
    (found,) = decode_configuration(make_config(routes=[route])).routes
    assert [share.weight for share in found.services] == [90, 10]


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "7"},
        {"routes": [{"name": "r"}]},
        {"routes": [make_route("r", "/r/", "sometimes")]},
        {"routes": "none"},
        {"limits": None},
        {"services": [{"name": "s"}]},
    ],
)
def test_malformed_configuration_is_refused(fields: dict[str, Any]) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_configuration(make_config(**fields))


CALL = [
    (b"Host", b"calls.example"),
    (b"Request-Id", b"9c41"),
    (b"Last-Event-Id", b"12"),
    (b"Model", b"m"),
    (b"Token-Counts", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"Deadline-Ms", b"6000"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Content-Length", b"3"),
]


def test_call_is_decoded() -> None:
    head = decode_call(CALL)
    assert (head.request, head.time_limit_s, head.last_event) == ("9c41", 6.0, 12)
    assert head.prompt is not None
    assert (head.prompt.tokens_in, head.prompt.tokens_out) == (1460, 80)
    assert [part.tokens for part in head.prompt.parts] == [800, 410, 250]


@pytest.mark.parametrize("value", [b"", b"soon", b"-5", b"nan", b"inf"])
def test_invalid_deadline_gives_the_default(value: bytes) -> None:
    assert decode_call([(b"Deadline-Ms", value)]).time_limit_s == 30.0


def test_forwarding_sets_internal_headers_and_drops_hop_by_hop_headers() -> None:
    options = ForwardOptions(
        upstream=UpstreamId("i-7"),
        remaining_time_s=1.25,
        priority=1,
        cache_address=Address("10.0.0.1", 80),
        cache_handle="h",
    )
    sent = {
        name.lower(): value for name, value in encode_forward_headers(CALL, options)
    }
    assert sent[b"deadline-ms"] == b"1250"
    assert sent[b"expect-instance"] == b"i-7"
    assert sent[b"request-priority"] == b"1"
    assert sent[b"kv-source"] == b"10.0.0.1:80/h"
    assert sent[b"last-event-id"] == b"12"
    assert sent[b"token-counts"] == b"1460,80"
    for name in (b"connection", b"x-hop", b"content-length"):
        assert name not in sent


def test_resumed_request_names_the_last_event_once() -> None:
    options = ForwardOptions(
        upstream=UpstreamId("i"), remaining_time_s=1, last_event=15
    )
    sent = encode_forward_headers(CALL, options)
    values = [value for name, value in sent if name.lower() == b"last-event-id"]
    assert values == [b"15"]


@pytest.mark.parametrize(
    "name",
    [b"Kv-Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-Source", b"Kv-Fetch", b"Stage"],
)
def test_callers_cannot_set_internal_headers(name: bytes) -> None:
    options = ForwardOptions(upstream=UpstreamId("i"), remaining_time_s=1)
    sent = encode_forward_headers([*CALL, (name, b"x")], options)
    assert name.lower() not in {header.lower() for header, _ in sent}


def test_answer_is_decoded() -> None:
    head = decode_answer(
        200,
        [(b"Request-Id", b"r"), (b"Server-Stamp", b"s"), (b"Keep-Alive", b"timeout=7")],
    )
    assert (head.request, head.stamped, head.not_run) == ("r", True, False)
    assert head.idle_timeout_s == 7.0


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"Not-Run", b"1")], True),
        (421, [(b"Instance-Id", b"i")], True),
        (503, [], False),
        (429, [], False),
    ],
)
def test_only_an_explicit_header_says_that_nothing_ran(
    status: int, headers: list[tuple[bytes, bytes]], not_run: bool
) -> None:
    assert decode_answer(status, headers).not_run is not_run


def test_answer_to_the_caller_keeps_the_server_stamp() -> None:
    headers = [(b"Server-Stamp", b"s"), (b"Keep-Alive", b"timeout=7")]
    assert encode_answer_headers(headers) == [(b"Server-Stamp", b"s")]


def test_gateway_answer_has_retry_after() -> None:
    headers = encode_own_headers(RequestId("r"), 0.25)
    assert headers == [(b"Request-Id", b"r"), (b"Retry-After", b"0.25")]


@pytest.mark.parametrize(
    ("event", "number"),
    [
        (b"id: 3\ndata: x\n\n", 3),
        (b"weight-versions: 2\nid:4\ndata: x\n\n", 4),
        (b"data: id: 5\n\n", None),
        (b"id: x\n\n", None),
    ],
)
def test_event_number_is_decoded(event: bytes, number: int | None) -> None:
    assert read_event_id(event) == number


def test_prefill_result_is_decoded() -> None:
    body = b'{"kv_handle":"3fa0","tokens":1460,"version":1}'
    assert decode_prefill(body).handle == "3fa0"


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"kv_handle":3}'])
def test_malformed_prefill_result_is_refused(body: bytes) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_prefill(body)


def test_cache_listing_is_decoded() -> None:
    body = json.dumps({"epoch": 1, "next": 2, "held": [["", "5c1e", 800, "m"]]})
    (part,) = decode_cache_listing(body.encode()).parts
    assert (part.prefix, part.tokens) == ("5c1e", 800)


def test_report_is_decoded() -> None:
    report = decode_report(b'{"stage":"decode","busy":true,"seq":2}')
    assert (report.stage, report.busy, report.orders_accepted) == (
        Stage.DECODE,
        True,
        2,
    )


def test_order_has_holder_fencing_number_and_expected_count() -> None:
    request = make_stage_request(
        StageOrder(
            upstream=UpstreamId("i-7"),
            stage=Stage.PREFILL,
            holder=ProcessId("node-7"),
            fencing=FencingNumber(41),
            expected=2,
        )
    )
    assert (b"Expect-Instance", b"i-7") in request.headers
    assert json.loads(request.body) == {
        "op": "stage",
        "stage": "prefill",
        "holder": "node-7",
        "fence": 41,
        "expected": 2,
    }


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (202, OrderResult.ACCEPTED),
        (200, OrderResult.ALREADY_HOLDS),
        (409, OrderResult.CONFLICT),
        (412, OrderResult.FENCED),
        (421, OrderResult.OTHER_INSTANCE),
        (500, OrderResult.UNKNOWN),
    ],
)
def test_order_result_follows_from_the_status(status: int, result: OrderResult) -> None:
    assert decode_order_status(status) is result


def test_gateway_entry_survives_encoding_and_decoding() -> None:
    address = Address("10.0.0.1", 7380)
    assert decode_gateway(encode_gateway(address)) == address


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(make_settings(8142)))
    settings = load_node_settings(path)
    assert settings.store.address.port == 8142
    assert (settings.grace_s, settings.drain_limit_s, settings.lease_s) == (8, 2.0, 3.0)
    assert settings.retries.window_s == 10


@pytest.mark.parametrize(
    "change",
    [
        {"listen": {}},
        {"listen": {"front": "here", "ready": "10.0.0.1:1"}},
        {"bounds": None},
        {"internal_ports": []},
        {"node": 7},
        {"platform_store": {"addr": "10.0.0.1:1"}},
    ],
)
def test_invalid_settings_are_refused(tmp_path: Path, change: dict[str, Any]) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(make_settings(8142) | change))
    with pytest.raises(SettingsError):
        load_node_settings(path)


def test_settings_that_are_not_a_mapping_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text("- a\n")
    with pytest.raises(SettingsError):
        load_node_settings(path)


def test_check_command_names_an_invalid_field_of_the_settings(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    settings = make_settings(8142)
    path.write_text(yaml.safe_dump(settings))
    assert CliRunner().invoke(main, ["check", "gateway", str(path)]).exit_code == 0
    path.write_text(yaml.safe_dump(settings | {"ip": 7}))
    result = CliRunner().invoke(main, ["check", "gateway", str(path)])
    assert result.exit_code == 2
    assert "ip is not a string" in result.output


def test_event_number_of_thousands_of_digits_is_ignored() -> None:
    """Guards against a call that ends without an answer for a number it can't read."""
    assert decode_call([(b"Last-Event-Id", b"9" * 5000)]).last_event == 0
