"""Guard the clients of engines and plain services against faults of the upstreams.

The agent decides from an error's execution whether to run a call again, so a wrong
value would lose or repeat work.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.core import Execution
from bramleyport.standins import (
    EngineProfile,
    EngineStandin,
    PlainStandin,
    read_port,
    serve_app,
    stop_listening,
)
from bramleyport.upstreams import (
    Completion,
    CompletionEnd,
    EngineClient,
    PlainClient,
    Token,
    UpstreamError,
)
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
PROFILE = EngineProfile(block_tokens=10, role_change_s=0.01, step_base_s=0.002)
PROMPT = "x" * 400


class Engine:
    def __init__(self, run: Run, *, checks_fencing: bool) -> None:
        self.run = run
        self.standin = EngineStandin(("m",), PROFILE, checks_fencing=checks_fencing)
        self.listening = run(serve_app(self.standin.app, find_port()))
        self.client = EngineClient(f"http://127.0.0.1:{read_port(self.listening)}")

    def run_with_engine(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        async def run_both() -> Any:
            steps = asyncio.ensure_future(self.standin.run())
            try:
                return await coroutine
            finally:
                steps.cancel()

        return self.run(run_both())


@pytest.fixture(params=[True, False], ids=["checks fencing", "ignores fencing"])
def engine(request: pytest.FixtureRequest, run: Run) -> Iterator[Engine]:
    engine = Engine(run, checks_fencing=request.param)
    yield engine
    run(stop_listening(engine.listening))


def make_completion(job: str, max_tokens: int = 6) -> Completion:
    return Completion(
        job=job,
        prompt=PROMPT,
        max_tokens=max_tokens,
        priority=0,
        model="m",
        adapter=None,
    )


async def collect(stream: Any) -> list[Any]:
    return [event async for event in stream]


def test_stream_is_complete_and_ends_with_its_token_count(engine: Engine) -> None:
    events = engine.run_with_engine(
        collect(engine.client.complete(make_completion("a")))
    )
    assert [type(event) for event in events] == [Token] * 6 + [CompletionEnd]
    assert events[-1].output_tokens == 6


def test_truncated_stream_may_have_run_and_can_be_resumed(engine: Engine) -> None:
    engine.standin.faults.break_streams_after = 2

    async def break_then_resume() -> list[Any]:
        with pytest.raises(UpstreamError) as raised:
            await collect(engine.client.complete(make_completion("a")))
        assert raised.value.execution is Execution.UNKNOWN
        engine.standin.faults.break_streams_after = None
        return await collect(engine.client.resume("a", 2))

    events = engine.run_with_engine(break_then_resume())
    assert [type(event) for event in events] == [Token] * 4 + [CompletionEnd]
    assert engine.standin.executions == ["a"]


def test_cancelled_stream_frees_the_engine(engine: Engine) -> None:
    async def cancel_early() -> None:
        stream = engine.client.complete(make_completion("a", max_tokens=10_000))
        await stream.__anext__()
        await engine.client.cancel("a")
        await stream.aclose()

    engine.run_with_engine(cancel_early())
    assert engine.standin.model.running == []


def test_cached_prefix_is_reported_in_cache_events(engine: Engine) -> None:
    engine.run_with_engine(collect(engine.client.complete(make_completion("a"))))
    events = engine.run(engine.client.read_cache_events(0))
    assert sum(len(event.stored) for event in events) == 10


def test_lost_cache_events_leave_a_gap_in_the_sequence(engine: Engine) -> None:
    engine.standin.faults.cache_event_gap = True
    engine.run_with_engine(collect(engine.client.complete(make_completion("a"))))
    engine.standin.faults.cache_event_gap = False
    engine.standin.model.cache.clear()
    engine.standin._record_cache_changes()
    events = engine.run(engine.client.read_cache_events(0))
    assert [event.sequence for event in events] == [2]


def test_imported_prefix_is_cached(engine: Engine, run: Run) -> None:
    other = Engine(run, checks_fencing=False)
    blocks = engine.run_with_engine(engine.client.export_kv("a", PROMPT, 0, "m"))
    assert run(other.client.import_kv("engine-a", blocks)) == 10
    assert other.standin.model.cache.count_cached(blocks) == 10
    run(stop_listening(other.listening))


def test_role_change_is_applied_and_clears_the_cache(engine: Engine) -> None:
    engine.run_with_engine(collect(engine.client.complete(make_completion("a"))))
    engine.run(
        engine.client.put_order({"sequence": 1, "fencing": 1, "role": "prefill"})
    )
    assert engine.run(engine.client.read_order())["role"] == "prefill"
    assert len(engine.standin.model.cache) == 0


def test_old_fencing_number_is_refused_by_engines_that_check_it(engine: Engine) -> None:
    put = engine.client.put_order
    engine.run(put({"sequence": 2, "fencing": 5, "role": "decode"}))
    late = {"sequence": 1, "fencing": 4, "role": "prefill"}
    if engine.standin.checks_fencing:
        with pytest.raises(UpstreamError) as raised:
            engine.run(put(late))
        assert raised.value.execution is Execution.NOT_RUN
        assert engine.run(engine.client.read_order())["role"] == "decode"
    else:
        engine.run(put(late))
        assert engine.run(engine.client.read_order())["role"] == "prefill"


def test_order_may_have_run_after_a_crash(engine: Engine) -> None:
    engine.standin.faults.crash_in_order = True
    with pytest.raises(UpstreamError) as raised:
        engine.run(
            engine.client.put_order({"sequence": 1, "fencing": 1, "role": "prefill"})
        )
    assert raised.value.execution is Execution.UNKNOWN
    assert engine.run(engine.client.read_order())["role"] == "mixed"


def test_call_with_a_refused_connection_was_not_run(run: Run) -> None:
    client = PlainClient("http://127.0.0.1:1")
    with pytest.raises(UpstreamError) as raised:
        run(client.call("POST", "/postings", {}, b"{}"))
    assert raised.value.execution is Execution.NOT_RUN


def test_plain_call_returns_status_headers_and_body(run: Run) -> None:
    standin = PlainStandin()
    listening = run(serve_app(standin.app, find_port()))
    client = PlainClient(f"http://127.0.0.1:{read_port(listening)}")

    async def call() -> tuple[int, str, bytes]:
        response = await client.call("POST", "/postings", {}, b"{}")
        body = b"".join([chunk async for chunk in response.body])
        return response.status, response.headers["content-type"], body

    assert run(call()) == (201, "application/json", b'{"posting": 1}')
    run(stop_listening(listening))
