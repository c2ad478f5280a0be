"""Guard the ends of calls that wait for upstreams which are away."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.gateway._return_queue import ReturnQueue
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import RawCaller

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# A stop ends before the longest wait of a call with this deadline.
GRACE_S = 3.0
DEADLINE_MS = "6000"


@pytest.fixture
def queues(monkeypatch: pytest.MonkeyPatch) -> list[ReturnQueue]:
    """Return the queues in which calls have waited."""
    queues: list[ReturnQueue] = []
    wait = ReturnQueue.wait

    async def record_and_wait(queue: ReturnQueue, *arguments: Any) -> None:
        queues.append(queue)
        await wait(queue, *arguments)

    monkeypatch.setattr(ReturnQueue, "wait", record_and_wait)
    return queues


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


async def send_held_call(fleet: GatewayFleet, queues: list[ReturnQueue]) -> RawCaller:
    """Send a call while all engines are away, and wait until it is held."""
    for engine in fleet.engines:
        await engine.stop()
        fleet.gateway._guard.record_refused(engine.name)
    caller = fleet.make_caller()
    await caller.send("/once/x", body=b"b", Deadline_Ms=DEADLINE_MS)
    await fleet.wait_for(lambda: queues and queues[0]._held)
    return caller


# Guards against calls that are kept, and sent later, after their callers have gone.
def test_call_is_not_held_once_its_caller_has_gone(
    fleet: GatewayFleet, queues: list[ReturnQueue], run: Run
) -> None:
    async def check() -> None:
        caller = await send_held_call(fleet, queues)
        caller.close()
        await fleet.wait_for(lambda: not queues[0]._held)

    run(check())


# Guards against a call that is cut by a planned stop as it waits.
def test_held_call_is_refused_at_the_end_of_a_stop(
    fleet: GatewayFleet, queues: list[ReturnQueue], run: Run
) -> None:
    async def check() -> None:
        fleet.state.settings = replace(fleet.state.settings, grace_s=GRACE_S)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(1.0)
        caller = await send_held_call(fleet, queues)
        answer = await caller.receive()
        await stopping
        assert answer.status == 503
        assert not queues[0]._held

    run(check())
