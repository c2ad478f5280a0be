"""Guard streams that broke off: nothing but their next events may follow."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.gateway._event_relay import BrokenStreamError, EventRelay
from bramleyport.http1 import Answer
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import (
    EVENT_COUNT,
    RawRequest,
    Script,
    UpstreamStandin,
    make_stream_abort,
    render_event,
    script_first_request,
    stream_events,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
SENT_EVENTS = 2
PROMPT = {
    "Model": "m",
    "Token_Counts": "4000,10",
    "Prompt_Prefix": "aa:3000,bb:1000",
}
ALL_EVENTS = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))
FIRST_EVENTS = ALL_EVENTS[: SENT_EVENTS * len(render_event(1))]
STAMP = "Server-Stamp: s"
STREAM = "Content-Type: text/event-stream"
JSON = "Content-Type: application/json"
PAGE = b"<h1>an error</h1>\n\n<p>in two parts</p>\n\n"
ID = "Request-Id: {id}"


def render_head(status: int, *lines: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode()


def render_sized(status: int, body: bytes, *lines: str) -> bytes:
    return render_head(status, *lines, f"Content-Length: {len(body)}") + body


def render_chunked(status: int, body: bytes, *lines: str) -> bytes:
    head = render_head(status, *lines, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + chunk + b"0\r\n\r\n"


def render_unframed(status: int, body: bytes, *lines: str) -> bytes:
    return render_head(status, *lines) + body


def render_events(*numbers: int) -> bytes:
    return b"".join(render_event(number) for number in numbers)


REFUSAL = (ID, "Not-Run: 1")
OWN = (ID, STAMP)
OWN_STREAM = (ID, STAMP, STREAM)
ERROR_EVENT = b"event: error\ndata: out of memory\n\n"
# Answers to the attempt that is to resume the stream, none of which continues it.
ANSWERS = {
    "error": render_sized(500, PAGE, *OWN),
    "error_without_stamp": render_sized(500, PAGE, ID),
    "error_without_id": render_sized(500, PAGE, STAMP),
    "error_in_chunks": render_chunked(500, PAGE, *OWN),
    "error_without_length": render_unframed(500, PAGE, *OWN),
    "error_as_stream": render_chunked(500, render_events(3, 4, 5), *OWN_STREAM),
    "bad_request": render_sized(400, PAGE, *OWN),
    "not_found": render_sized(404, PAGE, *OWN),
    "too_many": render_sized(429, PAGE, *OWN),
    "refusal": render_sized(503, PAGE, *REFUSAL),
    "refusal_in_chunks": render_chunked(503, PAGE, *REFUSAL),
    "refusal_without_length": render_unframed(503, PAGE, *REFUSAL),
    "refusal_with_stamp": render_sized(503, PAGE, STAMP, *REFUSAL),
    "refusal_as_success": render_chunked(
        200, render_events(3, 4, 5), STAMP, STREAM, *REFUSAL
    ),
    "other_instance": render_sized(421, PAGE, *OWN),
    "no_content": render_head(204, *OWN),
    "partial_content": render_chunked(206, render_events(3, 4, 5), *OWN_STREAM),
    "redirect": render_sized(302, PAGE, *OWN, "Location: /x"),
    "not_modified": render_head(304, *OWN),
    "interim_then_error": render_head(100) + render_sized(500, PAGE, *OWN),
    "hints_then_error": render_head(103, "Link: x") + render_sized(500, PAGE, *OWN),
    "switch": render_head(101, *OWN, "Upgrade: x", "Connection: upgrade") + PAGE,
    "json": render_sized(200, PAGE, *OWN, JSON),
    "json_in_chunks": render_chunked(200, PAGE, *OWN, JSON),
    "json_without_length": render_unframed(200, PAGE, *OWN, JSON),
    "json_with_numbers": render_sized(200, render_events(3, 4, 5), *OWN, JSON),
    "empty_json": render_sized(200, b"", *OWN, JSON),
    "plain": render_sized(200, PAGE, *OWN),
    "empty": render_sized(200, b"", *OWN),
    "no_events": render_chunked(200, b"", *OWN_STREAM),
    "no_events_with_length": render_sized(200, b"", *OWN_STREAM),
    "no_events_without_length": render_unframed(200, b"", *OWN_STREAM),
    "page_as_stream": render_chunked(200, PAGE, *OWN_STREAM),
    "error_event": render_chunked(200, ERROR_EVENT, *OWN_STREAM),
    "error_then_events": render_chunked(
        200, ERROR_EVENT + render_events(3, 4, 5), *OWN_STREAM
    ),
    "restart": render_chunked(200, render_events(1, 2, 3, 4, 5), *OWN_STREAM),
    "last_event_again": render_chunked(200, render_events(2, 3, 4, 5), *OWN_STREAM),
    "gap": render_chunked(200, render_events(4, 5), *OWN_STREAM),
    "no_stamp": render_chunked(200, render_events(3, 4, 5), ID, STREAM),
    "encoded": render_chunked(
        200, render_events(3, 4, 5), *OWN_STREAM, "Content-Encoding: gzip"
    ),
}


def make_answer_script(answer: bytes) -> Script:
    """Return a script that writes an answer and closes the connection."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers["request-id"].encode()
        writer.write(answer.replace(b"{id}", name))
        await writer.drain()
        writer.close()

    return script


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.mark.parametrize("name", ANSWERS)
def test_answer_that_does_not_continue_a_stream_stays_out_of_it(
    fleet: GatewayFleet, run: Run, name: str
) -> None:
    for engine in fleet.engines:
        engine.script = make_answer_script(ANSWERS[name])
    script_first_request(fleet.engines, make_stream_abort(SENT_EVENTS))
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.status, answer.body) == (200, FIRST_EVENTS)
    assert not answer.complete
    assert sum(len(engine.arrivals) for engine in fleet.engines) > 1


@pytest.mark.parametrize("name", ["refusal", "refusal_in_chunks", "other_instance"])
def test_stream_goes_on_after_a_refused_attempt(
    fleet: GatewayFleet, run: Run, name: str
) -> None:
    scripts = [make_stream_abort(SENT_EVENTS), make_answer_script(ANSWERS[name])]

    async def play_next(*arguments: Any) -> None:
        script = scripts.pop(0) if scripts else stream_events
        await script(*arguments)

    for engine in fleet.engines:
        engine.script = play_next
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (ALL_EVENTS, True)


@pytest.mark.parametrize("name", ANSWERS)
def test_answer_to_a_caller_that_resumes_is_whole_or_no_success(
    fleet: GatewayFleet, run: Run, name: str
) -> None:
    # Such a caller has events already, but no answer of this call has begun.
    for engine in fleet.engines:
        engine.script = make_answer_script(ANSWERS[name])
    caller = fleet.make_caller()
    answer = run(caller.call("/stream/x", body=b"p", Last_Event_Id="2", **PROMPT))
    if answer.status == 200:
        # Without other events, nothing shows that event 3 is missing.
        assert answer.body in (b"", render_events(3, 4, 5), render_events(4, 5))
    else:
        assert answer.complete


class RecordingConnection:
    """Represent the connection to a caller and record what is written to it."""

    def __init__(self) -> None:
        self.written = b""
        self.finished = False

    def start_answer(self, status: int, reason: bytes, headers: Any) -> None:
        pass

    def write_body(self, data: bytes) -> None:
        self.written += data

    def finish_answer(self) -> None:
        self.finished = True


def begin_stream(events: bytes) -> tuple[EventRelay, RecordingConnection]:
    connection = RecordingConnection()
    relay = EventRelay(connection, 0)  # type: ignore[arg-type]
    relay.begin_attempt(make_head())
    relay.relay_events(events)
    return relay, connection


def make_head(content_type: bytes = b"text/event-stream") -> Answer:
    return Answer(200, b"OK", [(b"content-type", content_type)])


def test_resumed_stream_may_start_with_comments() -> None:
    relay, connection = begin_stream(render_events(1, 2))
    relay.begin_attempt(make_head(b"Text/Event-Stream; charset=utf-8"))
    relay.relay_events(b": busy\n\n" + render_events(3))
    relay.finish()
    assert connection.written.endswith(b": busy\n\n" + render_events(3))
    assert connection.finished


def test_resumed_stream_may_leave_out_numbers_as_its_first_part_did() -> None:
    relay, connection = begin_stream(render_events(10, 20))
    relay.begin_attempt(make_head())
    relay.relay_events(render_events(30))
    relay.finish()
    assert connection.written == render_events(10, 20, 30)


def test_stream_with_unnumbered_events_is_not_resumed() -> None:
    # Nothing shows which of them the caller has.
    relay, _ = begin_stream(b"data: a\n\n")
    with pytest.raises(BrokenStreamError):
        relay.begin_attempt(make_head())
