"""Guard answers whose upstream falls silent and goes on, and nothing can replace it."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.gateway import _stream_attempt
from bramleyport.gateway._clock import read_now
from bramleyport.retries import RepeatBudget
from tests.gateway_fleet import LANGUAGE, PLAIN, GatewayFleet
from tests.platform_standin import (
    EVENT_COUNT,
    RawRequest,
    UpstreamStandin,
    answer_normally,
    render_event,
    script_first_request,
    start_stream,
    write_chunk,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
WHOLE = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))
PROMPT = {
    "Model": "m",
    "Token_Counts": "4000,10",
    "Prompt_Prefix": "aa:3000,bb:1000",
}
# Longer than an attempt is given, and shorter than its call has.
SILENCE_S = 0.5


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[GatewayFleet]:
    monkeypatch.setattr(_stream_attempt, "MIN_PAUSE_S", 0.05)
    monkeypatch.setattr(_stream_attempt, "PAUSE_FACTOR", 0.0)
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


async def pause_within_stream(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an event, fall silent for a while and send the other ones."""
    upstream.record_run(request).ended = True
    first = start_stream(upstream, request, writer)
    write_chunk(writer, render_event(first))
    await writer.drain()
    await asyncio.sleep(SILENCE_S)
    for number in range(first + 1, EVENT_COUNT + 1):
        write_chunk(writer, render_event(number))
    writer.write(b"0\r\n\r\n")


async def pause_before_answer(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Fall silent for a while and answer."""
    await asyncio.sleep(SILENCE_S)
    await answer_normally(upstream, request, writer)


def leave_repeats(fleet: GatewayFleet, service: str, count: int) -> None:
    """Spend the retry budget of a service but for some repeats."""
    budget = fleet.state.find_budget(ServiceName(service))
    taken = 0
    while budget.take(read_now(), 1):
        taken += 1
    for _ in range(count):
        budget._repeats.pop()


def spend_budget(fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    for service in (LANGUAGE, PLAIN):
        budget = fleet.state.find_budget(ServiceName(service))
        monkeypatch.setattr(budget, "allow", lambda _: 0.0)


def drain_other_engine(fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    (silent,) = (item for item in fleet.engines if item.runs)
    for engine in fleet.engines:
        if engine is not silent:
            fleet.state.record_declined(engine.name, read_now() + 60.0)


def forecast_late_answers(fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    choose = fleet.state.chooser.choose

    def choose_busy(*arguments: Any, **options: Any) -> Any:
        return replace(choose(*arguments, **options), forecast_s=60.0)

    monkeypatch.setattr(fleet.state.chooser, "choose", choose_busy)


@pytest.mark.parametrize(
    "prevent", [spend_budget, drain_other_engine, forecast_late_answers]
)
def test_stream_goes_on_after_a_silence_if_no_retry_is_assured(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch, prevent: Any
) -> None:
    """Guards against a begun stream that is cut though its upstream goes on."""
    script_first_request(fleet.engines, pause_within_stream)

    async def call() -> Any:
        caller = fleet.make_caller()
        await caller.send("/stream/x", body=b"p", **PROMPT)
        await fleet.wait_for(fleet.list_runs)
        prevent(fleet, monkeypatch)
        return await caller.receive()

    answer = run(call())
    assert (answer.status, answer.body, answer.complete) == (200, WHOLE, True)
    assert len(fleet.list_runs()) == 1


def test_plain_call_waits_for_a_silent_upstream_if_no_retry_is_assured(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 502 while the upstream is about to answer."""
    script_first_request(fleet.plain, pause_before_answer)
    spend_budget(fleet, monkeypatch)
    answer = run(fleet.make_caller().call("/read/x", method="GET"))
    assert answer.status == 200
    assert len(fleet.list_runs()) == 1


def test_calls_of_one_turn_do_not_count_on_the_same_repeat(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against several attempts given up for one repeat that is left."""
    for engine in fleet.engines:
        engine.next_scripts = [pause_within_stream] * 4

    async def call_all() -> list[Any]:
        leave_repeats(fleet, LANGUAGE, 0)
        callers = [fleet.make_caller() for _ in range(4)]
        for number, caller in enumerate(callers):
            await caller.send("/stream/x", body=b"p", Request_Id=f"r{number}", **PROMPT)
        await fleet.wait_for(lambda: len(fleet.list_runs()) == len(callers))
        for engine in fleet.engines:
            engine.next_scripts.clear()
        leave_repeats(fleet, LANGUAGE, 1)
        return await asyncio.gather(*(caller.receive() for caller in callers))

    answers = run(call_all())
    assert [(item.body, item.complete) for item in answers] == [(WHOLE, True)] * 4
    assert len(fleet.list_runs()) == 5


def test_repeat_that_was_given_back_may_be_taken_again() -> None:
    """Guards against a budget that is spent by repeats that were never made."""
    budget = RepeatBudget(ratio=0.0, extra=1.25, window_s=10.0)
    assert budget.take(1.0, 1)
    assert not budget.take(2.0, 1)
    budget.give_back(1.0)
    assert budget.take(2.0, 1)
    assert not budget.take(3.0, 1)


def make_blocking_stream(fleet: GatewayFleet, *, sent_before: bool) -> Any:
    """Return a script that blocks the gateway's loop and sends events around that."""

    async def script(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        upstream.record_run(request).ended = True
        first = start_stream(upstream, request, writer)
        write_chunk(writer, render_event(first))
        # The gateway shares the loop, and waits for the next event from here on.
        await fleet.wait_for(
            lambda: (
                upstream.name in fleet.state.last_received_s
                and fleet.state.loads.of(UpstreamId(upstream.name)).count_prefilling(0)
                == 0
            )
        )
        if not sent_before:
            time.sleep(SILENCE_S)
            await asyncio.sleep(0.02)
        for number in range(first + 1, EVENT_COUNT + 1):
            write_chunk(writer, render_event(number))
        if sent_before:
            time.sleep(SILENCE_S)
        writer.write(b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("sent_before", [True, False])
def test_stall_of_the_gateway_does_not_count_as_silence_of_an_upstream(
    fleet: GatewayFleet, run: Run, sent_before: bool
) -> None:
    """Guards against a stream given up while its events wait in the socket."""
    script = make_blocking_stream(fleet, sent_before=sent_before)
    script_first_request(fleet.engines, script)
    answer = run(fleet.make_caller().call("/stream/x", body=b"p", **PROMPT))
    assert (answer.body, answer.complete) == (WHOLE, True)
    assert len(fleet.list_runs()) == 1


def test_plain_call_is_not_given_up_while_its_answer_waits_in_the_socket(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a repeat of a call that was answered during a stall."""

    async def answer_and_block(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await answer_normally(upstream, request, writer)
        time.sleep(SILENCE_S)

    script_first_request(fleet.plain, answer_and_block)
    answer = run(fleet.make_caller().call("/read/x", method="GET"))
    assert answer.status == 200
    assert len(fleet.list_runs()) == 1
