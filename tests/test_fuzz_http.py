"""Fuzz callers' input: invalid requests must be answered as not run.

A request that is refused without this statement could be retried although it ran, or
not retried although it did not, and unhandled input could stop the entry.
"""

import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from result import Err

from bramleyport.callers._request import parse_completion, parse_plain
from bramleyport.core import Execution
from tests.http_client import exchange_raw

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda child: (
        st.lists(child, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "prompt", "max_tokens", "role"])
            | st.text(max_size=4),
            child,
            max_size=4,
        )
    ),
    max_leaves=12,
)
HEADERS = st.dictionaries(
    st.sampled_from(["x-rank", "idempotency-key", "x-account", "content-type"]),
    st.text(max_size=12),
)


@given(HEADERS, st.binary() | JSON.map(lambda v: json.dumps(v).encode()), st.booleans())
def test_any_completion_request_is_parsed_or_refused(
    headers: dict[str, str], body: bytes, chat: bool
) -> None:
    result = parse_completion("/v1/completions", headers, body, chat=chat)
    if isinstance(result, Err):
        assert result.err_value.execution is Execution.NOT_RUN
        assert 400 <= result.err_value.http_status < 500
    else:
        assert result.ok_value.max_tokens > 0


@given(HEADERS, st.binary())
def test_any_plain_call_is_parsed_or_refused(
    headers: dict[str, str], body: bytes
) -> None:
    result = parse_plain("s", "POST", "/x", headers, body)
    if isinstance(result, Err):
        assert result.err_value.execution is Execution.NOT_RUN


HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
RAW = [
    ("not HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),
    ("no version", b"GET /\r\n\r\n"),
    ("bad length", HEAD + b"Content-Length: -5\r\n\r\n"),
    ("two lengths", HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    (
        "length and chunks",
        HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ),
    ("colon missing", HEAD + b"Broken header\r\n\r\n"),
    ("short body", HEAD + b"Content-Length: 50\r\n\r\n{}"),
    ("long header", HEAD + b"X: " + b"a" * 70_000 + b"\r\n\r\n"),
    ("huge length", HEAD + b"Content-Length: 99999999999\r\n\r\n"),
]


@pytest.mark.parametrize("raw", [row[1] for row in RAW], ids=[row[0] for row in RAW])
def test_malformed_http_is_refused_and_the_entry_keeps_serving(
    demo: Any, run: Callable[[Coroutine[Any, Any, Any]], Any], raw: bytes
) -> None:
    port = demo.entries[0].port
    answer = run(exchange_raw(port, raw, half_close=True))
    assert answer.startswith(b"HTTP/1.1 4")
    assert b'"execution": "not_run"' in answer
    health = run(exchange_raw(port, b"GET /healthz HTTP/1.0\r\n\r\n"))
    assert b"200 OK" in health


@settings(max_examples=30, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(data=st.binary(min_size=1, max_size=200))
def test_random_bytes_do_not_stop_the_entry(
    demo: Any, run: Callable[[Coroutine[Any, Any, Any]], Any], data: bytes
) -> None:
    port = demo.entries[0].port
    run(exchange_raw(port, data + b"\r\n\r\n", half_close=True))
    health = run(exchange_raw(port, b"GET /healthz HTTP/1.0\r\n\r\n"))
    assert b"200 OK" in health
