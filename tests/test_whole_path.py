"""Test requests from caller to upstream over real sockets."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.http_client import exchange_raw, fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]
CHAT = {
    "model": "inspections",
    "max_tokens": 5,
    "messages": [{"role": "user", "content": "Which helmets expire?"}],
}


def make_url(demo: Any, path: str, entry: int = 0) -> str:
    return f"http://127.0.0.1:{demo.entries[entry].port}{path}"


def test_streamed_chat_is_complete(demo: Any, run: Run) -> None:
    body = json.dumps({**CHAT, "stream": True}).encode()
    answer = run(fetch(make_url(demo, "/v1/chat/completions"), "POST", body=body))
    events = answer.body.decode().strip().split("\n\n")
    assert answer.status == 200
    assert events[-1] == "data: [DONE]"
    assert len(events) == 5 + 2


def test_unstreamed_chat_reports_usage(demo: Any, run: Run) -> None:
    body = json.dumps(CHAT).encode()
    answer = run(fetch(make_url(demo, "/v1/chat/completions"), "POST", body=body))
    assert answer.json()["usage"]["completion_tokens"] == 5


def test_models_are_listed(demo: Any, run: Run) -> None:
    answer = run(fetch(make_url(demo, "/v1/models")))
    assert [item["id"] for item in answer.json()["data"]] == ["inspections"]


def test_repeated_key_runs_once_through_any_entry(demo: Any, run: Run) -> None:
    headers = {"Idempotency-Key": "k-1"}
    path = "/services/orders/postings"
    first = run(fetch(make_url(demo, path), "POST", headers, b"{}"))
    again = run(fetch(make_url(demo, path, 1), "POST", headers, b"{}"))
    assert first.status == again.status == 201
    assert first.body == again.body
    assert len(demo.plain.postings) == 1


def test_reused_key_with_another_body_is_an_error(demo: Any, run: Run) -> None:
    headers = {"Idempotency-Key": "k-1"}
    url = make_url(demo, "/services/orders/postings")
    run(fetch(url, "POST", headers, b"{}"))
    answer = run(fetch(url, "POST", headers, b'{"helmets": 9}'))
    assert answer.status == 422
    assert answer.json()["execution"] == "not_run"
    assert len(demo.plain.postings) == 1


def test_keyed_call_without_store_is_refused_not_run(demo: Any, run: Run) -> None:
    demo.store.faults.outage = True
    url = make_url(demo, "/services/orders/postings")
    answer = run(fetch(url, "POST", {"Idempotency-Key": "k-2"}, b"{}"))
    demo.store.faults.outage = False
    assert answer.status == 503
    assert answer.json()["execution"] == "not_run"
    assert "retry-after" in answer.headers
    assert demo.plain.postings == []


def test_lost_store_answer_does_not_run_twice(demo: Any, run: Run) -> None:
    demo.store.faults.lose_answers = 1
    url = make_url(demo, "/services/orders/postings")
    answer = run(fetch(url, "POST", {"Idempotency-Key": "k-3"}, b"{}"))
    assert answer.status == 201
    assert len(demo.plain.postings) == 1


REFUSALS = [
    ("malformed body", "/v1/chat/completions", {}, b"{", 400),
    ("not an object", "/v1/chat/completions", {}, b"[]", 400),
    ("no messages", "/v1/chat/completions", {}, b'{"model": "inspections"}', 400),
    ("unknown model", "/v1/completions", {}, b'{"model": "x", "prompt": "a"}', 404),
    ("unknown rank", "/v1/completions", {"X-Rank": "soon"}, b"{}", 400),
    ("unknown service", "/services/none/x", {}, b"", 404),
    ("missing key", "/services/orders/postings", {}, b"{}", 400),
    ("oversize body", "/v1/completions", {}, b"x" * 2_000_001, 413),
]


@pytest.mark.parametrize(
    ("path", "headers", "body", "status"),
    [row[1:] for row in REFUSALS],
    ids=[row[0] for row in REFUSALS],
)
def test_refusal_states_not_run(
    demo: Any, run: Run, path: str, headers: dict[str, str], body: bytes, status: int
) -> None:
    answer = run(fetch(make_url(demo, path), "POST", headers, body))
    assert answer.status == status
    assert answer.json()["execution"] == "not_run"


HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "body",
    [b"5\r\nab", b"zz\r\nab\r\n", b"5\r\nabcde\r\n"],
    ids=["cut in a chunk", "bad chunk size", "no last chunk"],
)
def test_truncated_chunked_body_states_not_run(
    demo: Any, run: Run, body: bytes
) -> None:
    port = demo.entries[0].port
    answer = run(exchange_raw(port, HEAD + body, half_close=True))
    assert answer.startswith(b"HTTP/1.1 400")
    assert b'"execution": "not_run"' in answer


def test_burst_of_connections_is_accepted(demo: Any, run: Run) -> None:
    """A short listen queue lost connections when 200 callers connected at once."""
    port = demo.entries[0].port
    head = b"GET /healthz HTTP/1.0\r\n\r\n"

    async def call_all() -> list[bytes]:
        return await asyncio.gather(*[exchange_raw(port, head) for _ in range(300)])

    assert all(b"200 OK" in answer for answer in run(call_all()))


def test_metrics_show_state_and_histograms(demo: Any, run: Run) -> None:
    body = json.dumps(CHAT).encode()
    run(fetch(make_url(demo, "/v1/chat/completions"), "POST", body=body))
    text = run(fetch(make_url(demo, "/metrics"))).body.decode()
    for expected in (
        'bramleyport_state{name="records_revision"}',
        'bramleyport_state{name="lease_held",pool="inspector-8b"}',
        "bramleyport_queue_wait_seconds_bucket",
        "bramleyport_first_token_seconds_bucket",
        'bramleyport_store_calls_total{kind="list",result="ok"}',
    ):
        assert expected in text
