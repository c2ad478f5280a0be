"""Guard plain calls: each gets its own answer, and none runs twice."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ServiceName
from bramleyport.gateway._clock import read_now
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config
from tests.platform_standin import (
    Script,
    answer_without_length,
    decline,
    fail,
    hang,
    lose_answer,
    make_misdirected_answer,
    make_stamp_headers,
    render_response,
    script_first_request,
    truncate,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def script_all(fleet: GatewayFleet, script: Script) -> None:
    for upstream in fleet.plain:
        upstream.script = script


def test_answer_is_relayed_unchanged(fleet: GatewayFleet, run: Run) -> None:
    caller = fleet.make_caller()
    answer = run(caller.call("/read/x?y=1", method="GET", Request_Id="abc"))
    assert (answer.status, answer.body) == (200, b"answer to abc")
    assert answer.headers["server-stamp"].startswith("stamp.p")
    sent = fleet.plain[0].runs + fleet.plain[1].runs
    assert sent[0].request.target == "/read/x?y=1"


def test_upstream_gets_the_remaining_time_and_the_expected_instance(
    fleet: GatewayFleet, run: Run
) -> None:
    run(fleet.make_caller().call("/read/x", method="GET", Deadline_Ms="700"))
    (sent,) = fleet.plain[0].runs + fleet.plain[1].runs
    headers = sent.request.headers
    assert 0 < int(headers["deadline-ms"]) <= 700
    assert headers["expect-instance"] in ("p0", "p1")


def test_internal_headers_of_callers_are_dropped(fleet: GatewayFleet, run: Run) -> None:
    smuggled = {"Kv_Source": "1.2.3.4:5/h", "Pin_Ms": "9", "Expect_Instance": "x"}
    answer = run(fleet.make_caller().call("/post/x", body=b"b", **smuggled))
    assert answer.status == 200
    (sent,) = fleet.plain[0].runs + fleet.plain[1].runs
    assert "kv-source" not in sent.request.headers
    assert "pin-ms" not in sent.request.headers


def test_idempotent_call_with_a_lost_answer_is_retried(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.plain, lose_answer)
    answer = run(fleet.make_caller().call("/read/x", method="GET"))
    assert answer.status == 200
    assert len(fleet.list_runs()) == 2


@pytest.mark.parametrize("script", [lose_answer, truncate], ids=["lost", "truncated"])
def test_non_idempotent_call_with_a_lost_answer_is_not_retried(
    fleet: GatewayFleet, run: Run, script: Script
) -> None:
    # A second run would bill twice, and 503 would claim that the first did not happen.
    script_all(fleet, script)
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 502
    assert len(fleet.list_runs()) == 1


def test_non_idempotent_call_that_hangs_is_answered_504(
    fleet: GatewayFleet, run: Run
) -> None:
    script_all(fleet, hang)
    answer = run(fleet.make_caller().call("/post/x", body=b"b", Deadline_Ms="300"))
    assert answer.status == 504
    assert len(fleet.list_runs()) == 1


def test_declined_non_idempotent_call_runs_elsewhere_once(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.plain, decline)
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 200
    assert len(fleet.list_runs()) == 1


def test_call_declined_everywhere_is_refused_with_retry_after(
    fleet: GatewayFleet, run: Run
) -> None:
    script_all(fleet, decline)
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert fleet.list_runs() == []


def test_error_answer_of_the_upstream_is_relayed_with_its_signature(
    fleet: GatewayFleet, run: Run
) -> None:
    script_all(fleet, fail)
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert (answer.status, answer.body) == (500, b"failed")
    assert "server-stamp" in answer.headers


def test_failed_idempotent_call_is_retried_at_another_upstream(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.plain, fail)
    assert run(fleet.make_caller().call("/read/x", method="GET")).status == 200


def test_call_at_an_unresponsive_upstream_is_retried_at_another(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.plain, hang)
    assert run(fleet.make_caller().call("/read/x", method="GET")).status == 200


def test_answer_to_another_request_is_discarded(fleet: GatewayFleet, run: Run) -> None:
    script_all(fleet, make_misdirected_answer("somebody"))
    answer = run(fleet.make_caller().call("/post/x", body=b"b", Request_Id="mine"))
    assert answer.body == b"answer to mine"


def test_answer_delimited_by_connection_close_is_complete(
    fleet: GatewayFleet, run: Run
) -> None:
    script_all(fleet, answer_without_length)
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert (answer.status, answer.body) == (200, b"no length")


def test_other_instance_at_the_address_runs_nothing(
    fleet: GatewayFleet, run: Run
) -> None:
    # The address may have been reassigned to an upstream of another service.
    for upstream in fleet.plain:
        upstream.name = f"new-{upstream.name}"
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 503
    assert fleet.list_runs() == []


def test_unreachable_upstream_fails_no_call(fleet: GatewayFleet, run: Run) -> None:
    run(fleet.plain[0].stop())
    caller = fleet.make_caller()
    statuses = [run(caller.call("/post/x", body=b"b")).status for _ in range(4)]
    assert statuses == [200] * 4
    assert len(fleet.list_runs()) == 4


def test_persistent_connection_serves_many_requests(
    fleet: GatewayFleet, run: Run
) -> None:
    caller = fleet.make_caller()
    for number in range(5):
        answer = run(caller.call("/read/x", method="GET", Request_Id=f"n{number}"))
        assert answer.body == f"answer to n{number}".encode()
    assert fleet.plain[0].connection_count + fleet.plain[1].connection_count <= 2


def test_request_inside_a_body_is_only_a_body(fleet: GatewayFleet, run: Run) -> None:
    inner = b"POST /post/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: in\r\n\r\n"
    answer = run(fleet.make_caller().call("/post/x", body=inner, Request_Id="out"))
    assert answer.status == 200
    assert [request for _, request in fleet.list_runs()] == ["out"]
    sent = fleet.plain[0].runs + fleet.plain[1].runs
    assert sent[0].request.body == inner


def test_conflicting_content_lengths_are_refused(fleet: GatewayFleet, run: Run) -> None:
    async def send() -> bytes:
        caller = fleet.make_caller()
        await caller.open()
        assert caller.writer is not None
        assert caller.reader is not None
        caller.writer.write(
            b"POST /post/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: a\r\n"
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"
        )
        return await caller.reader.read(100)

    assert run(send()).startswith(b"HTTP/1.1 400")
    assert fleet.list_runs() == []


def test_slow_header_is_answered_408(fleet: GatewayFleet, run: Run) -> None:
    async def send() -> bytes:
        caller = fleet.make_caller()
        await caller.open()
        assert caller.writer is not None
        assert caller.reader is not None
        caller.writer.write(b"POST /post/x HT")
        return await caller.reader.read(100)

    assert run(send()).startswith(b"HTTP/1.1 408")


def test_oversized_body_is_refused(fleet: GatewayFleet, run: Run) -> None:
    answer = run(fleet.make_caller().call("/post/x", body=b"x" * 100_001))
    assert answer.status == 413
    assert fleet.list_runs() == []


def test_unknown_route_is_answered_404(fleet: GatewayFleet, run: Run) -> None:
    assert run(fleet.make_caller().call("/nowhere/x")).status == 404


def test_caller_that_leaves_stops_the_upstream(fleet: GatewayFleet, run: Run) -> None:
    left = asyncio.Event()

    async def wait_for_close(upstream: Any, request: Any, writer: Any) -> None:
        upstream.record_run(request)
        while not writer.transport.is_closing():
            await asyncio.sleep(0.01)
        left.set()

    async def disconnect() -> None:
        caller = fleet.make_caller()
        await caller.send("/post/x", body=b"b")
        await fleet.wait_for(fleet.list_runs)
        caller.close()
        await asyncio.wait_for(left.wait(), 20)

    script_all(fleet, wait_for_close)
    run(disconnect())


def test_calls_before_the_first_configuration_get_retry_after(
    run: Run, tmp_path: Path
) -> None:
    # After a 404 the caller would not retry.
    fleet = GatewayFleet(tmp_path)
    run(fleet.start(configured=False))
    assert run(fleet.check_readiness()) == 503
    answer = run(fleet.make_caller().call("/post/x", body=b"b"))
    assert answer.status == 503
    assert "retry-after" in answer.headers
    fleet.store.put("config", "main", make_config())
    run(fleet.wait_for(lambda: fleet.state.routes is not None))
    assert run(fleet.check_readiness()) == 200
    run(fleet.stop())


@pytest.mark.parametrize("path", ["/nowhere/x", "/read/x"])
def test_answer_to_a_head_request_has_no_body(
    fleet: GatewayFleet, run: Run, path: str
) -> None:
    """Guards against an error (1901) and a closed connection after its headers."""

    async def answer_head(upstream: Any, request: Any, writer: Any) -> None:
        upstream.record_run(request).ended = True
        headers = make_stamp_headers(upstream, request)
        head = render_response(200, b"12345", **headers)
        writer.write(head.removesuffix(b"12345"))

    script_all(fleet, answer_head)

    async def call_twice() -> list[str]:
        caller = fleet.make_caller()
        heads = []
        for _ in range(2):
            await caller.send(path, method="HEAD")
            assert caller.reader is not None
            head = await caller.reader.readuntil(b"\r\n\r\n")
            heads.append(head.split(b" ")[1].decode())
        return heads

    status = "404" if path == "/nowhere/x" else "200"
    assert run(call_twice()) == [status, status]


def test_time_in_which_a_caller_sends_its_body_counts(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against an answer, and work of an upstream, after the caller has left."""

    async def call_slowly() -> int:
        caller = fleet.make_caller()
        timed = {"Deadline_Ms": "2000", "Content_Length": "1"}
        await caller.send("/read/x", method="PUT", **timed)
        assert caller.writer is not None
        await asyncio.sleep(0.5)
        caller.writer.write(b"b")
        return (await caller.receive()).status

    assert run(call_slowly()) == 200
    (sent,) = fleet.plain[0].runs + fleet.plain[1].runs
    assert int(sent.request.headers["deadline-ms"]) <= 1500


def test_deadline_of_a_caller_is_no_failure_of_the_upstream(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against upstreams ejected because callers had little time."""
    script_all(fleet, hang)

    async def call_briefly() -> int:
        answer = await fleet.make_caller().call("/post/x", body=b"b", Deadline_Ms="150")
        return answer.status

    statuses = [run(call_briefly()) for _ in range(8)]
    assert statuses == [504] * 8
    assert not fleet.state.list_ejected(ServiceName(PLAIN), read_now())
