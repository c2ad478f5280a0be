"""Guard streams: complete events, in order, once, across several upstreams."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import UpstreamId
from bramleyport.fleet import Chooser
from tests.fleet_builders import make_prompt
from tests.gateway_fleet import LANGUAGE, GatewayFleet
from tests.platform_standin import (
    EVENT_COUNT,
    RawRequest,
    Script,
    UpstreamStandin,
    answer_prefill,
    decline,
    fail,
    hang,
    make_stamp_headers,
    make_stream_abort,
    render_event,
    script_first_request,
    stream_events,
    write_chunk,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
WHOLE = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))
PROMPT = {
    "Model": "m",
    "Token_Counts": "4000,10",
    "Prompt_Prefix": "aa:3000,bb:1000",
}


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def test_stream_is_relayed_completely(fleet: GatewayFleet, run: Run) -> None:
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.status, answer.body, answer.complete) == (200, WHOLE, True)
    assert answer.headers["server-stamp"].startswith("stamp.d")


@pytest.mark.parametrize("within_event", [False, True])
@pytest.mark.parametrize("after", [0, 1, 3])
def test_broken_stream_is_resumed_elsewhere(
    fleet: GatewayFleet, run: Run, after: int, within_event: bool
) -> None:
    script_first_request(
        fleet.engines, make_stream_abort(after, within_event=within_event)
    )
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (WHOLE, True)
    assert len({name for name, _ in fleet.list_runs()}) == 2


def test_resumed_stream_names_the_last_event_of_the_caller(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.engines, make_stream_abort(2))
    run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    runs = [run for engine in fleet.engines for run in engine.runs]
    resumed = [run.request.headers.get("last-event-id") for run in runs]
    assert sorted(resumed, key=str) == ["2", None]


def test_broken_stream_that_may_run_once_is_aborted(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.engines, make_stream_abort(2))
    answer = run(fleet.make_caller().call("/once/x", body=b"p", **PROMPT))
    assert answer.body == WHOLE[: 2 * len(render_event(1))]
    assert not answer.complete
    assert len(fleet.list_runs()) == 1


def test_unresponsive_engine_is_abandoned_before_the_first_event(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.engines, hang)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (WHOLE, True)


def test_prompt_of_a_caller_that_disconnected_does_not_count_as_cached(
    fleet: GatewayFleet, run: Run
) -> None:
    # The next call with that prompt was sent to an engine that had not prefilled it.
    async def disconnect() -> None:
        for engine in fleet.engines:
            engine.next_scripts = [hang]
        caller = fleet.make_caller()
        await caller.send("/stream/x", body=b"p", **PROMPT)
        await fleet.wait_for(fleet.list_runs)
        assert count_cached(fleet) == 4000
        caller.close()
        await fleet.wait_for(lambda: count_cached(fleet) == 0)

    run(disconnect())


def count_cached(fleet: GatewayFleet) -> int:
    prompt = make_prompt(("aa", 3000), ("bb", 1000))
    return max(
        fleet.state.prefixes.count_cached(UpstreamId(engine.name), prompt)
        for engine in fleet.engines
    )


def test_engine_that_stalls_between_events_is_abandoned(
    fleet: GatewayFleet, run: Run
) -> None:
    async def pause(upstream: Any, request: Any, writer: Any) -> None:
        await make_pause(upstream, request, writer)

    script_first_request(fleet.engines, pause)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (WHOLE, True)


async def make_pause(upstream: Any, request: Any, writer: Any) -> None:
    from tests.platform_standin import start_stream, write_chunk

    upstream.record_run(request)
    first = start_stream(upstream, request, writer)
    write_chunk(writer, render_event(first))
    await writer.drain()
    await asyncio.sleep(60)


def test_declined_stream_that_may_run_once_runs_elsewhere(
    fleet: GatewayFleet, run: Run
) -> None:
    script_first_request(fleet.engines, decline)
    answer = run(fleet.make_caller().call("/once/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (WHOLE, True)
    assert len(fleet.list_runs()) == 1


def test_error_answer_of_the_engine_reaches_the_caller(
    fleet: GatewayFleet, run: Run
) -> None:
    for engine in fleet.engines:
        engine.script = fail
    answer = run(fleet.make_caller().call("/once/x", body=b"p", **PROMPT))
    assert answer.status == 500
    assert len(fleet.list_runs()) == 1


def test_duplicate_event_is_relayed_once(fleet: GatewayFleet, run: Run) -> None:
    async def repeat(upstream: Any, request: Any, writer: Any) -> None:
        from tests.platform_standin import start_stream, write_chunk

        upstream.record_run(request)
        start_stream(upstream, request, writer)
        for number in (1, 1, 2, 3, 4, 5):
            write_chunk(writer, render_event(number))
        writer.write(b"0\r\n\r\n")

    script_first_request(fleet.engines, repeat)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert answer.body == WHOLE


async def add_prefill_engine(fleet: GatewayFleet) -> UpstreamStandin:
    prefill_engine = UpstreamStandin("reader", service=LANGUAGE, stage="prefill")
    await prefill_engine.start()
    fleet.engines.append(prefill_engine)
    prefill_engine.register(fleet.store)
    await fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 5)
    return prefill_engine


LONG = PROMPT | {"Token_Counts": "20000,10", "Prompt_Prefix": "aa:15000,bb:5000"}


def test_long_prompt_is_prefilled_elsewhere_and_fetched_by_handle(
    fleet: GatewayFleet, run: Run
) -> None:
    prefill_engine = run(add_prefill_engine(fleet))
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **LONG))
    assert (answer.body, answer.complete) == (WHOLE, True)
    (ran,) = [run for engine in fleet.engines for run in engine.runs]
    source = f"127.0.0.1:{prefill_engine.port}/reader-h1"
    assert ran.request.headers["kv-source"] == source
    assert prefill_engine.freed_handles == []


# Guards against a prefill in vain: once the first shares of versions had come, a call
# that was placed before them was decoded nowhere.
def test_call_prefilled_as_the_first_shares_of_versions_come_is_decoded(
    run: Run, tmp_path: Path
) -> None:
    fleet = GatewayFleet(tmp_path)

    async def answer_after_shares(upstream: Any, request: Any, writer: Any) -> None:
        fleet.store.release_answers()
        versions = fleet.state.stream_versions
        await fleet.wait_for(lambda: versions.list_versions(LANGUAGE))
        await answer_prefill(upstream, request, writer)

    async def check() -> None:
        fleet.store.hold_answers(lambda request: "/stream-versions" in request.target)
        await fleet.start()
        prefill_engine = await add_prefill_engine(fleet)
        prefill_engine.prefill_script = answer_after_shares
        answer = await fleet.make_caller().call("/stream/x", body=b"p", **LONG)
        assert (answer.body, answer.complete) == (WHOLE, True)
        assert prefill_engine.prefill_count == 1
        (ran,) = [run for engine in fleet.engines for run in engine.runs]
        assert "kv-source" in ran.request.headers
        assert prefill_engine.freed_handles == []

    try:
        run(check())
    finally:
        run(fleet.stop())


def test_unused_handle_is_freed(fleet: GatewayFleet, run: Run) -> None:
    prefill_engine = run(add_prefill_engine(fleet))
    script_first_request(fleet.engines, decline)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **LONG))
    assert answer.complete
    run(fleet.wait_for(lambda: prefill_engine.freed_handles))
    assert prefill_engine.freed_handles[0] == "reader-h1"


def test_declined_handle_is_not_followed_by_another_prefill(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each retry of a split call reached two engines while the budget counted one:
    # BUDGET, trouble-3 --seed 629650778339.
    score = Chooser._score_direct

    def prefer_splits(*arguments: Any) -> Any:
        option = score(*arguments)
        return replace(option, score_s=option.score_s + 10.0)

    monkeypatch.setattr(Chooser, "_score_direct", prefer_splits)
    prefill_engine = run(add_prefill_engine(fleet))
    script_first_request(fleet.engines, decline)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **LONG))
    assert (answer.body, answer.complete) == (WHOLE, True)
    assert prefill_engine.prefill_count == 1


def test_failed_prefill_engine_fails_no_call(fleet: GatewayFleet, run: Run) -> None:
    prefill_engine = run(add_prefill_engine(fleet))
    run(prefill_engine.stop())
    answer = run(fleet.make_caller().call("/once/x", body=b"p", **LONG))
    assert (answer.body, answer.complete) == (WHOLE, True)
    assert len(fleet.list_runs()) == 1


def test_prefill_engine_that_hangs_is_abandoned(fleet: GatewayFleet, run: Run) -> None:
    # Its connection stays open, so only a time limit detects it.
    prefill_engine = run(add_prefill_engine(fleet))
    prefill_engine.prefill_hangs = True
    patient = LONG | {"Deadline_Ms": "6000"}
    answer = run(fleet.make_caller().call("/once/x", body=b"p", **patient))
    assert (answer.status, answer.body, answer.complete) == (200, WHOLE, True)
    assert len(fleet.list_runs()) == 1


def test_shared_prefix_is_fetched_from_the_engine_that_has_it(
    fleet: GatewayFleet, run: Run
) -> None:
    caller = fleet.make_caller()
    run(caller.call("/stream/x", body=b"p", **PROMPT))
    (first,) = [engine for engine in fleet.engines if engine.runs]

    async def call_while_busy() -> None:
        first.script = hang
        busy = fleet.make_caller()
        await busy.send("/once/x", body=b"p", **(LONG | {"Prompt_Prefix": "cc:20000"}))
        await fleet.wait_for(lambda: len(fleet.list_runs()) == 2)
        other = dict(PROMPT, Prompt_Prefix="aa:3000,dd:1000")
        await fleet.make_caller().call("/stream/x", body=b"p", **other)

    for engine in fleet.engines:
        if engine is not first:
            engine.script = stream_events
    # The long prompt keeps one of the two engines busy.
    run(call_while_busy())
    fetched = [
        run.request.headers.get("kv-fetch")
        for engine in fleet.engines
        for run in engine.runs
        if "dd:" in run.request.headers["prompt-prefix"]
    ]
    assert len(fetched) == 1


def make_marked_stream(header: str) -> Script:
    """Return a script that streams all events under a head with another header."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = make_stamp_headers(upstream, request)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", header]
        lines += [f"{key.replace('_', '-')}: {text}" for key, text in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        write_chunk(writer, WHOLE)
        writer.write(b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
@pytest.mark.parametrize("header", ["Not-Run: 1", "Content-Encoding: gzip"])
def test_success_with_headers_of_a_failure_is_no_stream(
    fleet: GatewayFleet, run: Run, header: str, path: str
) -> None:
    # It was relayed as a success, in the middle of a broken stream too.
    for engine in fleet.engines:
        engine.script = make_marked_stream(header)
    answer = run(fleet.make_caller().call(path, body=b"p", **PROMPT))
    assert answer.status == (503 if header.startswith("Not-Run") else 502)
