"""Guard calls that run at most once and whose prompts are prefilled apart.

A prefill is no run of its call, and both have one request identifier.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from bramleyport.admission import Admitted
from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet import Stage, TraitId, Verdict
from bramleyport.gateway import _placement
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._retries import MIN_REMAINING_S
from bramleyport.http1 import ExchangeError, HttpClient, _pool
from bramleyport.platform import make_report_request
from tests.gateway_fleet import LANGUAGE, GatewayFleet
from tests.platform_standin import (
    EVENT_COUNT,
    PREFILL_FAULTS,
    CallerAnswer,
    RawRequest,
    RepeatedPrefillAnswer,
    Script,
    UpstreamStandin,
    answer_normally,
    answer_own_request,
    decline,
    hang,
    hang_in_prefill,
    lose_answer,
    render_event,
    render_prefill,
    render_response,
    start_stream,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
WHOLE = b"".join(render_event(number) for number in range(1, EVENT_COUNT + 1))


class SplitFleet(GatewayFleet):
    """Represent a gateway, two engines that decode and one that prefills."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.reader = UpstreamStandin("reader", service=LANGUAGE, stage="prefill")
        self.decoders = list(self.engines)
        self.engines.append(self.reader)
        self._count = 0

    async def call_once(self, **headers: str) -> CallerAnswer:
        """Send a call with a new prompt, which is prefilled apart."""
        self._count += 1
        name = f"n{self._count}"
        prompt = {"Model": "m", "Token_Counts": "20000,10", "Request_Id": name}
        prompt["Prompt_Prefix"] = f"a{name}:15000,b{name}:5000"
        caller = self.make_caller()
        return await caller.call("/once/x", body=b"p", **(prompt | headers))

    def script_decodes(self, script: Script) -> None:
        """Let the engines that decode answer calls by a script."""
        for engine in self.decoders:
            engine.script = script

    def list_decodes(self) -> list[RawRequest]:
        """Return the calls that reached an engine to be decoded."""
        return [
            arrival.request
            for engine in self.engines
            for arrival in engine.arrivals
            if "request-id" in arrival.request.headers
            and arrival.request.headers.get("stage") != "prefill"
        ]

    def count_runs(self) -> Counter[str]:
        """Return how often each call ran."""
        return Counter(request for _, request in self.list_runs())

    def end_calls(self) -> None:
        """End all calls, as a stop does whose time is up."""
        self.state.ending = True
        for connection in list(self.gateway._callers.connections):
            connection.end_request()


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[SplitFleet]:
    # Connections are reused however slowly the test runs.
    monkeypatch.setattr(_pool, "MAX_FRESH_IDLE_S", 60.0)
    monkeypatch.setattr(_pool, "DEFAULT_MAX_IDLE_S", 60.0)
    fleet = SplitFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.mark.parametrize("fault", PREFILL_FAULTS)
def test_failed_prefill_is_no_run(fleet: SplitFleet, run: Run, fault: str) -> None:
    # A call whose prefill was lost would be answered 502, and not be retried.
    fleet.reader.prefill_script = PREFILL_FAULTS[fault]
    fleet.script_decodes(decline)
    answer = run(fleet.call_once(Deadline_Ms="6000"))
    assert answer.status == 503
    assert fleet.reader.arrivals
    assert fleet.list_decodes()


def test_deadline_within_a_prefill_is_no_run(fleet: SplitFleet, run: Run) -> None:
    fleet.reader.prefill_script = hang_in_prefill
    answer = run(fleet.call_once(Deadline_Ms="900"))
    assert answer.status == 503
    run(asyncio.sleep(0.2))
    assert fleet.reader.arrivals
    assert fleet.list_decodes() == []


async def decline_without_name(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a call without naming it."""
    writer.write(render_response(503, Not_Run="1"))


async def decline_other_stage(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a call as an engine does that has another stage."""
    writer.write(render_response(421, Request_Id=request.headers["request-id"]))


async def decline_within_body(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a call, and reset the connection within the refusal."""
    headers = {"Not_Run": "1", "Request_Id": request.headers["request-id"]}
    writer.write(render_response(503, b"refused", **headers)[:-3])
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


@pytest.mark.parametrize(
    "script", [decline_without_name, decline_other_stage, decline_within_body]
)
def test_refused_decode_is_no_run(fleet: SplitFleet, run: Run, script: Script) -> None:
    fleet.script_decodes(script)
    assert run(fleet.call_once()).status == 503
    run(fleet.wait_for(lambda: fleet.reader.freed_handles == ["reader-h1"]))


async def start_only(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run a call and end the connection after the head of its stream."""
    upstream.record_run(request).ended = True
    start_stream(upstream, request, writer)
    await writer.drain()
    writer.close()


async def answer_as_prefill(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run a call and answer it as a prefill."""
    upstream.record_run(request).ended = True
    writer.write(render_prefill(upstream, request))


@pytest.mark.parametrize("script", [lose_answer, start_only, answer_as_prefill])
def test_lost_decode_is_not_sent_again(
    fleet: SplitFleet, run: Run, script: Script
) -> None:
    fleet.script_decodes(script)
    assert run(fleet.call_once()).status == 502
    assert fleet.reader.prefill_count == 1
    assert len(fleet.list_decodes()) == 1


@pytest.mark.parametrize("delay_s", [None, 0.02])
def test_repeated_answer_to_a_prefill_is_no_answer(
    fleet: SplitFleet, run: Run, delay_s: float | None
) -> None:
    # The decode of the next call would go on from the handle of another call.
    script = RepeatedPrefillAnswer(delay_s=delay_s)
    fleet.reader.prefill_script = script
    for _ in range(6):
        answer = run(fleet.call_once())
        assert (answer.status, answer.body) == (200, WHOLE)
    sources = [request.headers.get("kv-source") for request in fleet.list_decodes()]
    handles = Counter(source for source in sources if source is not None)
    assert set(handles.values()) == {1}
    assert script.repeats > 0


async def request_report(fleet: SplitFleet, upstream: UpstreamStandin) -> None:
    """Request the report of an engine, as the check of its process does."""
    target = fleet.state.members.find(UpstreamId(upstream.name))
    with suppress(ExchangeError):
        await fleet.gateway._exchanger.call(target, make_report_request())


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "answered"])
def test_late_answer_to_a_request_of_the_gateway_is_no_answer(
    fleet: SplitFleet, run: Run, is_refused: bool
) -> None:
    # It would be taken as that of the call that the connection carries next.
    connections: list[int] = []
    own_requests: list[RawRequest] = []

    async def answer_and_keep(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        own_requests.append(request)
        await answer_own_request(upstream, request, writer)

    async def run_slowly(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(upstream.connection_count)
        if is_refused:
            writer.write(render_response(503, Not_Run="1"))
        else:
            await answer_own_request(upstream, own_requests[0], writer)
        await writer.drain()
        await asyncio.sleep(0.1)
        await answer_normally(upstream, request, writer)

    async def play() -> int:
        fleet.script_decodes(run_slowly)
        for engine in fleet.decoders:
            engine.own_script = answer_and_keep
            await request_report(fleet, engine)
        answer = await fleet.call_once()
        await asyncio.sleep(0.2)
        return answer.status

    assert run(play()) in (200, 502)
    assert list(fleet.count_runs().values()) == [1]
    # The connection had carried a request of the gateway.
    assert connections == [1]


class HeldPrefill:
    """Answer prefills once that is released."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.released = asyncio.Event()

    async def __call__(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.began.set()
        await self.released.wait()
        writer.write(render_prefill(upstream, request))


Change = Callable[[SplitFleet], Coroutine[Any, Any, None]]


async def change_stages(fleet: SplitFleet) -> None:
    """Let all engines prefill."""
    for engine in fleet.decoders:
        engine.script = decline_other_stage
        engine.stage = "prefill"
        engine.register(fleet.store)


async def replace_decoders(fleet: SplitFleet) -> None:
    """Let other processes answer at the addresses of the engines that decode."""
    for engine in fleet.decoders:
        engine.name += "-next"


async def stop_decoders(fleet: SplitFleet) -> None:
    """Stop the engines that decode."""
    for engine in fleet.decoders:
        await engine.stop()


async def pause_decoders(fleet: SplitFleet) -> None:
    """Let the engines that decode want no requests."""
    for engine in fleet.decoders:
        fleet.state.record_pause(UpstreamId(engine.name), 5.0, read_now())


async def withhold_prompt(fleet: SplitFleet) -> None:
    """Let another gateway withhold a part of the prompt."""
    part = TraitId("an1")
    verdict = Verdict(trait=part, companions=frozenset((part,)), crashes=3)
    fleet.gateway._guard.apply_verdict(verdict, "other")


async def end_calls(fleet: SplitFleet) -> None:
    """End the stop of the gateway."""
    fleet.end_calls()


@pytest.mark.parametrize(
    "change",
    [
        change_stages,
        replace_decoders,
        stop_decoders,
        pause_decoders,
        withhold_prompt,
        end_calls,
    ],
)
def test_call_that_no_engine_takes_after_its_prefill_is_no_run(
    fleet: SplitFleet, run: Run, change: Change
) -> None:
    async def play() -> CallerAnswer:
        prefill = HeldPrefill()
        fleet.reader.prefill_script = prefill
        call = asyncio.ensure_future(fleet.call_once())
        await prefill.began.wait()
        await change(fleet)
        await asyncio.sleep(0.1)
        prefill.released.set()
        return await call

    assert run(play()).status == 503
    assert fleet.list_runs() == []


def test_prefill_that_ends_with_the_time_of_its_call_is_followed_by_no_decode(
    fleet: SplitFleet, run: Run
) -> None:
    # The decode was sent with some milliseconds left, and its caller got 504.
    async def prefill_slowly(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        left_s = float(request.headers["deadline-ms"]) / 1000
        await asyncio.sleep(left_s - MIN_REMAINING_S / 2)
        writer.write(render_prefill(upstream, request))

    fleet.reader.prefill_script = prefill_slowly
    fleet.script_decodes(hang)
    assert run(fleet.call_once(Deadline_Ms="900")).status == 503
    assert fleet.reader.prefill_count == 1
    assert fleet.list_decodes() == []


class ChangingStage:
    """Refuse prefills as an engine that decodes by now; repeat that on the connection.

    The decode of the same call runs.
    """

    def __init__(self, fleet: SplitFleet) -> None:
        self._fleet = fleet
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def refuse_prefill(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.headers["request-id"]
        self._refusals[writer] = render_response(421, Request_Id=name)
        upstream.stage = "decode"
        upstream.register(self._fleet.store)
        members = self._fleet.state.members
        target = UpstreamId(upstream.name)
        await self._fleet.wait_for(lambda: members.find(target).stage is Stage.DECODE)
        await pause_decoders(self._fleet)
        writer.write(self._refusals[writer])

    async def decode(
        self,
        upstream: UpstreamStandin,
        request: RawRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(self._refusals.get(writer, b""))
        await answer_normally(upstream, request, writer)


def test_repeated_refusal_of_a_prefill_is_no_answer_to_the_decode(
    fleet: SplitFleet, run: Run
) -> None:
    # On the connection of the prefill, the refusal names the decode too.
    changing = ChangingStage(fleet)
    fleet.reader.prefill_script = changing.refuse_prefill
    fleet.reader.script = changing.decode
    answer = run(fleet.call_once())
    assert (answer.status, answer.body) == (200, WHOLE)
    assert [name for name, _ in fleet.list_runs()] == ["reader"]


DEADLINE_S = 0.5
SWEEP_STEPS = 40
# Largest time between an answer and the deadline; most lie much closer to it.
SWEEP_S = 0.2


@pytest.mark.parametrize("step", ["prefill", "refusal", "run"])
def test_deadline_in_the_turn_of_an_answer(
    fleet: SplitFleet, run: Run, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    # The call was refused while it ran, if the answer and the deadline came at once.
    admitted = Admitted(Explanation(reason="test"))
    monkeypatch.setattr(_placement, "admit", lambda *_, **__: admitted)
    due_s: dict[str, float] = {}

    async def wait(request: RawRequest) -> None:
        name = request.headers["request-id"]
        await asyncio.sleep(due_s[name] - asyncio.get_running_loop().time())

    async def prefill(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if step == "prefill":
            await wait(request)
        writer.write(render_prefill(upstream, request))

    async def decode(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if step != "prefill":
            await wait(request)
        script = decline if step == "refusal" else answer_normally
        await script(upstream, request, writer)

    async def call(number: int) -> tuple[str, int]:
        name = f"s{number}"
        position = 2 * number / SWEEP_STEPS - 1
        offset_s = position * abs(position) * SWEEP_S
        due_s[name] = asyncio.get_running_loop().time() + DEADLINE_S + offset_s
        deadline_ms = str(int(1000 * DEADLINE_S))
        answer = await fleet.call_once(Request_Id=name, Deadline_Ms=deadline_ms)
        return name, answer.status

    async def play() -> dict[str, int]:
        fleet.reader.prefill_script = prefill
        fleet.script_decodes(decode)
        answers = dict(await asyncio.gather(*map(call, range(SWEEP_STEPS))))
        await asyncio.sleep(0.2)
        return answers

    answers = run(play())
    runs = fleet.count_runs()
    assert max(runs.values(), default=0) <= 1
    assert [name for name in runs if answers[name] not in (200, 504)] == []
    # Some answers came before the deadline, and some after it.
    assert len(set(answers.values())) > 1


def hang_in_connect(
    monkeypatch: pytest.MonkeyPatch, upstreams: list[UpstreamStandin]
) -> asyncio.Event:
    """Let connections to some upstreams never open; return when the first begins."""
    connect = HttpClient.open
    ports = {upstream.port for upstream in upstreams}
    began = asyncio.Event()

    async def open_slowly(client: Any, connection: Any, timeout_s: float) -> None:
        if connection.peer.port in ports:
            began.set()
            await asyncio.sleep(60)
        await connect(client, connection, timeout_s)

    monkeypatch.setattr(HttpClient, "open", open_slowly)
    return began


@pytest.mark.parametrize("end", ["deadline", "stop"])
def test_call_that_ends_before_its_decode_is_sent_is_no_run(
    fleet: SplitFleet, run: Run, monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    # Its caller was told that it may have run, though no byte of it was sent.
    began = hang_in_connect(monkeypatch, fleet.decoders)

    async def play() -> CallerAnswer:
        call = asyncio.ensure_future(fleet.call_once(Deadline_Ms="900"))
        await began.wait()
        if end == "stop":
            fleet.end_calls()
        return await call

    answer = run(play())
    assert fleet.reader.prefill_count == 1
    assert fleet.list_decodes() == []
    assert answer.status == 503
