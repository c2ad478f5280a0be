"""Guard the faults of the soak against checks of a process that has been replaced."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import pytest

from tests.gateway_fleet import LANGUAGE, PLAIN
from tests.platform_standin import (
    RawCaller,
    StagedEngine,
    StoreStandin,
    UpstreamStandin,
)
from tests.soak._checks import DRAIN_LIMIT_S, Observations
from tests.soak._faults import (
    LIMIT_CHANGES,
    PLANNED_OPERATIONS,
    STEADY_LIMIT_RATE,
    FaultTargets,
)
from tests.soak._lost_streams import LostStreams
from tests.soak._signal_faults import leave_by_answer

if TYPE_CHECKING:
    from tests.platform_standin._http import RawRequest
    from tests.soak._findings import Findings
    from tests.soak._proxy import FaultProxy

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def make_targets(upstream: UpstreamStandin) -> FaultTargets:
    observations = Observations(cast("Findings", None), cast("Any", None))
    proxy = cast("FaultProxy", SimpleNamespace(port=1))
    return FaultTargets(
        random=Random(1),
        observations=observations,
        store=StoreStandin(),
        gateways=[],
        upstreams=[upstream],
        proxies={upstream.name: proxy},
    )


def record_answer(upstream: UpstreamStandin) -> None:
    upstream.record_run(cast("RawRequest", None)).ended = True


# Guards against counting the calls of a new process, which no gateway was told of,
# against the one before it, which said that it leaves.
def test_process_that_replaces_a_leaving_one_does_not_leave(run: Run) -> None:
    async def check() -> None:
        upstream = UpstreamStandin("p0", service=PLAIN)
        targets = make_targets(upstream)
        leave = asyncio.ensure_future(leave_by_answer(targets))
        await asyncio.sleep(0)
        record_answer(upstream)
        await asyncio.sleep(DRAIN_LIMIT_S / 2 + 0.1)
        (drain,) = targets.observations.leaving
        assert upstream.leaving
        targets.restart_upstream(upstream)
        assert not upstream.leaving
        assert drain.until_s < float("inf")
        ended_s, process_ms = drain.until_s, upstream.born_ms
        leave.cancel()
        await asyncio.wait([leave])
        assert (drain.until_s, upstream.born_ms) == (ended_s, process_ms)

    run(check())


# Guards against a soak of limits that checks no window: drains and restarts ended most
# limits before the check counts them.
def test_steady_limit_outlasts_drains_and_restarts(run: Run) -> None:
    async def check() -> None:
        upstream = UpstreamStandin("p0", service=PLAIN)
        targets = make_targets(upstream)
        other = UpstreamStandin("p1", service=PLAIN)
        targets.upstreams = [upstream, other]
        targets.proxies[other.name] = targets.proxies[upstream.name]
        targets.limit_steadily(upstream)
        process_ms = upstream.born_ms
        drain = PLANNED_OPERATIONS["drain_upstream"]
        faults = (drain, *LIMIT_CHANGES.values())
        for _ in range(20):
            running = [asyncio.ensure_future(fault(targets)) for fault in faults]
            await asyncio.sleep(0)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        assert {item.upstream for item in targets.observations.drains} == {other.name}
        (limit,) = [
            item for item in targets.observations.limits if item.upstream == "p0"
        ]
        assert limit.until_s == float("inf")
        assert upstream.limit == str(STEADY_LIMIT_RATE)
        assert upstream.born_ms == process_ms

    run(check())


# Guards the check itself: it has to count streams, not tries, and to excuse no version.
@pytest.mark.parametrize(
    ("taken_up", "gone_on", "begun", "violated"),
    [(12, 5, 10, True), (12, 6, 10, False), (11, 0, 10, False), (12, 5, 8, False)],
    ids=["lost", "half", "few", "few begin"],
)
def test_lost_streams_of_a_version_are_found(
    taken_up: int, gone_on: int, begun: int, violated: bool
) -> None:
    lost = LostStreams()
    for number in range(10):
        lost.record_new(begun=number < begun)
    for number in range(taken_up):
        lost.record_taken_up(f"b{number}", "v2", goes_on=False)
        if number < gone_on:
            lost.record_taken_up(f"b{number}", "v2", goes_on=True)
            lost.record_taken_up(f"b{number}", "v2", goes_on=True)
    assert bool(lost.list_violations()) is violated
    # Streams of another version, which all go on, excuse nothing.
    for number in range(100):
        lost.record_taken_up(f"a{number}", "v1", goes_on=True)
    assert bool(lost.list_violations()) is violated


# Guards the stand-in: without orders that take effect, a soak has no stages to plan.
def test_engine_changes_its_stage_by_order(run: Run) -> None:
    async def check() -> None:
        engine, store = (
            StagedEngine("d0", service=LANGUAGE, stage="decode"),
            StoreStandin(),
        )
        await engine.start()
        engine.switch_s = 0.1
        engine.register(store)
        caller = RawCaller(engine.port)

        async def send(path: str, body: str = "", **headers: str) -> int:
            answer = await caller.call(path, body=body.encode(), **headers)
            return answer.status

        order = json.dumps({"op": "stage", "stage": "prefill", "expected": 0})
        assert await send("/-/order", order) == 202
        assert await send("/-/order", order) == 409
        assert await send("/stream/x", Request_Id="r1") == 503
        async with asyncio.timeout(5):
            while store.objects["servers", "d0"]["spec"]["stage"] != "prefill":
                await asyncio.sleep(0.01)
        assert await send("/stream/x", Request_Id="r2") == 421
        assert await send("/stream/x", Request_Id="r3", Stage="prefill") == 200
        caller.close()
        await engine.stop()

    run(check())
