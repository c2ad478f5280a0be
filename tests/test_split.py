"""Test prefill on one engine and decode on another, with failures at each step."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from result import Err, Ok
from twisted.web.client import ResponseFailed

from bramleyport.agent import _scheduler
from bramleyport.agent._scheduler import AgentScheduler, WorkPart
from bramleyport.bench._routing import make_views, make_work
from bramleyport.core import AttemptId, Rank, digest_prefix
from bramleyport.dispatch._attempt import Call
from bramleyport.estimate import ESTIMATORS
from bramleyport.queueing import QUEUE_POLICIES, Queued, Refused
from bramleyport.settings import EntrySettings, TransferSettings, load_settings
from bramleyport.standins import LOOPBACK
from bramleyport.telemetry import Metrics
from tests.http_client import Answer
from tests.split_fleet import PROMPT, TOKENS, SplitFleet, wait_until

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run) -> Iterator[SplitFleet]:
    fleet = SplitFleet()
    run(fleet.start())
    yield fleet
    run(fleet.stop())


@pytest.fixture
def unlimited_imports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a stall of the test process from counting as a slow import."""
    monkeypatch.setattr(_scheduler, "MIN_IMPORT_LIMIT_S", 60.0)


def assert_complete(answer: Answer) -> None:
    assert answer.status == 200, answer
    assert answer.json()["usage"]["completion_tokens"] == TOKENS
    assert len(answer.json()["choices"][0]["text"].split()) == TOKENS


def count_completions(fleet: SplitFleet) -> list[int]:
    return [len(engine.executions) for engine in fleet.engines]


@pytest.mark.usefixtures("unlimited_imports")
def test_split_request_is_complete_and_leaves_nothing_on_the_prefill_engine(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        assert_complete(await fleet.complete())
        assert count_completions(fleet) == [0, 1, 0]
        assert len(fleet.engines[0].exports) == 1
        assert fleet.engines[1].imports == [fleet.engines[0].kv_address]
        blocks = digest_prefix(PROMPT, 1000)
        assert fleet.engines[1].model.cache.count_cached(blocks) == len(blocks)
        await wait_until(lambda: fleet.is_idle(0))
        assert fleet.count("splits", result="prefilled") == 1
        assert fleet.count("attempts", result="ok") == 2
        assert fleet.count_imports(1, "imported") == 1

    run(check())


def test_requests_are_split_by_default_where_engines_report_kv_transfer(
    run: Run,
) -> None:
    """The routing policy must be built with the cost of transfers."""
    fleet = SplitFleet(force_split=False)
    fleet.engines[0].model.role = fleet.engines[0].model.role.PREFILL
    for engine in fleet.engines[1:]:
        engine.model.role = engine.model.role.DECODE

    async def check() -> None:
        await fleet.start()
        assert (await fleet.complete(prompt=PROMPT * 6, max_tokens=60)).status == 200
        assert fleet.count("splits", result="prefilled") == 1
        await fleet.stop()

    run(check())


def test_agent_that_does_not_announce_kv_transfer_gets_no_prefill(run: Run) -> None:
    """An older agent would close the connection on the unknown message tag."""
    fleet = SplitFleet(exporting_engines=0)

    async def check() -> None:
        await fleet.start()
        connection = next(iter(fleet.agents[0]._connections))
        assert_complete(await fleet.complete())
        assert count_completions(fleet) == [1, 0, 0]
        assert fleet.engines[0].exports == []
        assert not connection.closed.is_set()
        await fleet.stop()

    run(check())


def test_request_that_must_not_be_repeated_is_never_split(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        loop = asyncio.get_running_loop()
        work = replace(
            make_work(0, Random(1)),
            model=fleet.entry.records.records["inspections"].model.name,
            arrived_s=loop.time(),
            idempotent=False,
        )
        body = json.dumps({"prompt": "a"}).encode()
        call = Call(method="POST", path="/", headers={}, body=body)

        async def ignore_chunk(chunk: bytes) -> None:
            pass

        assert isinstance(
            await fleet.entry._dispatcher.run(work, call, ignore_chunk), Ok
        )
        assert count_completions(fleet) == [1, 0, 0]
        assert all(not engine.exports for engine in fleet.engines)

    run(check())


def test_request_is_routed_again_after_its_prefill_agent_was_killed(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.engines[0].faults.hold_export = True
        completion = asyncio.ensure_future(fleet.complete())
        await wait_until(lambda: fleet.engines[0].exports)
        await fleet.kill(0)
        assert_complete(await completion)
        assert fleet.count("splits", result="disconnected") == 1
        assert count_completions(fleet) == [0, 1, 0]
        assert fleet.engines[1].imports == []

    run(check())


def test_refused_prefill_is_charged_like_a_refused_attempt(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.agents[0]._gate.changing = True  # entries have not been notified yet
        budget = fleet.entry._dispatcher._retries.budget
        before = budget.tokens
        assert_complete(await fleet.complete())
        assert fleet.count("splits", result="refused") == 1
        assert fleet.count("decisions", kind="retry", reason="within_budget") == 1
        assert budget.tokens < before
        assert count_completions(fleet) == [0, 1, 0]
        assert [engine.exports for engine in fleet.engines] == [[], [], []]

    run(check())


def test_refused_prefill_without_budget_is_not_run(fleet: SplitFleet, run: Run) -> None:
    async def check() -> None:
        fleet.agents[0]._gate.changing = True
        budget = fleet.entry._dispatcher._retries.budget
        budget.tokens, budget.ratio, budget.floor_per_s = 0.0, 0.0, 0.001
        answer = await fleet.complete()
        assert answer.status == 429
        assert answer.json()["execution"] == "not_run"
        assert "retry-after" in answer.headers
        assert count_completions(fleet) == [0, 0, 0]

    run(check())


def test_prefill_beyond_its_limit_is_cancelled(fleet: SplitFleet, run: Run) -> None:
    async def check() -> None:
        fleet.engines[0].faults.hold_export = True
        assert_complete(await fleet.complete("urgent"))
        assert fleet.count("splits", result="timeout") == 1
        streams = fleet.engines[0]._streams
        await wait_until(lambda: [s.cancelled for s in streams.values()] == [True])
        await wait_until(lambda: fleet.is_idle(0))
        assert count_completions(fleet) == [0, 1, 0]

    run(check())


def test_request_is_routed_again_after_a_failed_export(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.engines[0].faults.fail_export = True
        assert_complete(await fleet.complete())
        assert fleet.count("splits", result="upstream_error") == 1
        assert count_completions(fleet) == [0, 1, 0]

    run(check())


def test_engine_that_cannot_export_costs_no_further_retries(
    fleet: SplitFleet, run: Run
) -> None:
    """Without a pause, each request would spend a retry of the shared budget."""

    async def check() -> None:
        fleet.engines[0].faults.fail_export = True
        for _ in range(15):
            assert_complete(await fleet.complete())
        assert fleet.count("splits", result="upstream_error") == 1
        assert fleet.count("decisions", kind="retry", reason="within_budget") == 1
        assert count_completions(fleet) == [14, 1, 0]

    run(check())


@pytest.mark.usefixtures("unlimited_imports")
def test_failed_import_makes_the_decode_engine_compute_the_prompt(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.engines[1].faults.fail_import = True
        assert_complete(await fleet.complete())
        assert fleet.count_imports(1, "failed") == 1
        assert count_completions(fleet) == [0, 1, 0]
        assert fleet.count("decisions", kind="retry", reason="within_budget") == 0
        blocks = digest_prefix(PROMPT, 1000)
        assert fleet.engines[1].model.cache.count_cached(blocks) == len(blocks)

    run(check())


def test_request_is_routed_again_after_its_decode_agent_refused(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.agents[1]._gate.changing = True
        assert_complete(await fleet.complete())
        assert fleet.count("splits", result="prefilled") == 1
        assert fleet.count("attempts", result="refused") == 1
        assert sum(count_completions(fleet)) == 1
        assert count_completions(fleet)[1] == 0

    run(check())


@pytest.mark.usefixtures("unlimited_imports")
@pytest.mark.parametrize("stream", [False, True])
def test_decode_agent_that_dies_after_the_import(
    fleet: SplitFleet, run: Run, stream: bool
) -> None:
    """A buffered answer is run again; a stream that has started must not be."""

    async def check() -> None:
        completion = asyncio.ensure_future(
            fleet.complete(max_tokens=200, stream=stream)
        )
        engine = fleet.engines[1]
        await wait_until(
            lambda: any(len(s.tokens) > 3 for s in engine._streams.values())
        )
        assert engine.imports
        await fleet.kill(1)
        if stream:
            with pytest.raises(ResponseFailed):
                await completion
            assert count_completions(fleet) == [0, 1, 0]
        else:
            answer = await completion
            assert answer.json()["usage"]["completion_tokens"] == 200
            assert count_completions(fleet) == [1, 1, 0]
        assert fleet.count("splits", result="prefilled") == 1

    run(check())


def test_prefill_is_cancelled_when_the_caller_disconnects(
    fleet: SplitFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.engines[0].faults.hold_export = True
        _, writer = await asyncio.open_connection(LOOPBACK, fleet.entry.port)
        body = {"model": "inspections", "prompt": PROMPT, "max_tokens": TOKENS}
        data = json.dumps(body).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Rank: standard\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await wait_until(lambda: fleet.engines[0].exports)
        # After an ordinary close the caller may still read; after a reset it cannot.
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        streams = fleet.engines[0]._streams
        await wait_until(lambda: [s.cancelled for s in streams.values()] == [True])
        await wait_until(lambda: fleet.is_idle(0))
        assert count_completions(fleet) == [0, 0, 0]
        assert fleet.count("splits", result="timeout") == 0

    run(check())


def test_planned_stop_of_the_prefill_agent_waits_for_the_prefill(
    fleet: SplitFleet, run: Run
) -> None:
    """I2, I8: a planned stop must not interrupt a request."""

    async def check() -> None:
        fleet.engines[0].faults.hold_export = True
        completion = asyncio.ensure_future(fleet.complete())
        await wait_until(lambda: fleet.engines[0].exports)
        stopping = asyncio.ensure_future(fleet.agents[0].stop())
        fleet.stopped_agents.append(fleet.agents[0])
        await wait_until(lambda: fleet.agents[0]._leaving)
        await asyncio.sleep(0.2)
        assert not stopping.done()
        fleet.release_exports(0)
        assert_complete(await completion)
        await stopping
        assert fleet.count("splits", result="prefilled") == 1
        assert fleet.count("attempts", result="ok") == 2
        assert count_completions(fleet) == [0, 1, 0]

    run(check())


def make_scheduler() -> AgentScheduler:
    view = make_views(1, Random(1))[0]
    queue = QUEUE_POLICIES.create("ranked", 4)
    return AgentScheduler(queue, ESTIMATORS.create("declared"), view, Metrics())


def test_transferred_work_is_not_refused_for_a_late_first_token() -> None:
    """A refusal would waste the completed prefill and the transfer."""
    work = replace(make_work(0, Random(1)), arrived_s=0.0)
    now_s = work.targets.first_token_s + 0.1
    unsplit = make_scheduler().offer(AttemptId("a.1"), work, now_s)
    assert isinstance(unsplit, Refused)
    transferred = make_scheduler().offer(AttemptId("a.1"), work, now_s, WorkPart.DECODE)
    assert isinstance(transferred, Queued)
    late_s = work.answer_deadline_s
    late = make_scheduler().offer(AttemptId("a.1"), work, late_s, WorkPart.DECODE)
    assert isinstance(late, Refused)


def test_prefill_is_refused_at_its_deadline_like_other_work() -> None:
    work = replace(make_work(0, Random(1)), arrived_s=0.0, rank=Rank.URGENT)
    now_s = work.targets.first_token_s + 0.1
    decision = make_scheduler().offer(AttemptId("a.1"), work, now_s, WorkPart.PREFILL)
    assert isinstance(decision, Refused)
    late_target = replace(work, targets=replace(work.targets, first_token_s=9.0))
    queued = make_scheduler().offer(
        AttemptId("a.1"), late_target, 0.0, WorkPart.PREFILL
    )
    assert isinstance(queued, Queued)


@pytest.mark.parametrize(
    "field", ["bytes_per_s: 0", "overhead_s: -1", "prefill_limit_ratio: .inf"]
)
def test_invalid_transfer_settings_are_refused(field: str) -> None:
    process = (
        "{process: e, zone: z, region: r, address: a, peer_port: 1, object_api: u}"
    )
    text = f"process: {process}\nhttp_port: 1\nkv_transfer: {{{field}}}\n"
    result = load_settings(text.encode(), EntrySettings)
    assert isinstance(result, Err)
    assert field.split(":")[0] in result.err_value[0].describe()
    assert TransferSettings().enabled
