"""Guard upstreams against one request that crashes each of them, and comes again."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.request_traffic import (
    DEADLY,
    DOWN_S,
    MAX_LATE_REPEATS,
    RequestTraffic,
    count_answers,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

PATHS = ("/read/x", "/post/x", "/stream/x", "/once/x")
# Fraction of the sound requests that are served once the crashes have ended.
SERVED_FRACTION = 0.9


@asynccontextmanager
async def run_traffic(
    folder: Path, gateways: int = 4, **fields: Any
) -> AsyncIterator[RequestTraffic]:
    traffic = RequestTraffic(folder, gateways, **fields)
    await traffic.group.start()
    try:
        yield traffic
    finally:
        await traffic.group.stop()


def check_bound(traffic: RequestTraffic, *bodies: str) -> None:
    print(traffic.describe(*bodies))
    for body in bodies:
        assert len(traffic.list_late_repeats(body)) <= MAX_LATE_REPEATS


def check_served(traffic: RequestTraffic, since_s: float) -> None:
    sound = traffic.list_sound(since_s)
    served = sum(item.is_served for item in sound)
    assert served >= SERVED_FRACTION * len(sound) > 0, count_answers(sound)


# Guards against gateways that send a request on which each upstream crashes to one
# after another, as often as it comes: three crashes have to suffice for all gateways.
@pytest.mark.parametrize("path", PATHS)
def test_request_that_crashes_upstreams_is_withheld(
    run: Run, tmp_path: Path, path: str
) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path) as traffic:
            traffic.set_deadly(DEADLY)
            await traffic.send_to_all(path, 3.0, DEADLY)
            settled_s = time.monotonic()
            await traffic.send_to_all(path, 3.0, DEADLY)
            check_bound(traffic, DEADLY)
            check_served(traffic, settled_s)

    run(check())


# Guards against what is known of a request that ends with the gateways that saw it.
def test_request_stays_withheld_when_gateways_are_replaced(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 3) as traffic:
            traffic.set_deadly(DEADLY)
            await traffic.send_to_all("/read/x", 2.5, DEADLY)
            for name in list(traffic.group.gateways):
                traffic.group.stop_gateway(name)
            await traffic.wait_recovered()
            for name in ("n0", "n1"):
                await traffic.group.start_gateway(name)
            await traffic.send_to_all("/read/x", 3.0, DEADLY)
            check_bound(traffic, DEADLY)

    run(check())


# Guards against evidence on one request that hides the next, or that is forgotten.
def test_many_deadly_requests_in_turn_are_withheld(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        bodies = [f"deadly {number}" for number in range(8)]
        async with run_traffic(tmp_path) as traffic:
            traffic.set_deadly(*bodies)
            for body in bodies:
                await traffic.send_to_all("/read/x", 1.0, body)
            await traffic.wait_recovered()
            settled_s = time.monotonic()
            await traffic.send_to_all("/read/x", 2.0, *bodies)
            check_bound(traffic, *bodies)
            check_served(traffic, settled_s)

    run(check())


# Guards against evidence that ends before the request comes again.
def test_rare_request_at_one_gateway_is_withheld(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 1, stable_ms=500) as traffic:
            traffic.set_deadly(DEADLY)
            for _ in range(9):
                await traffic.send("g0", "/read/x", DEADLY)
                await asyncio.sleep(2 * DOWN_S)
            check_bound(traffic, DEADLY)
            assert len(traffic.crashes) <= MAX_LATE_REPEATS

    run(check())


# Guards against crashes that nobody sees as such: the next process of the upstream
# accepts connections before one is tried, under a new identifier or the same.
@pytest.mark.parametrize("keeps_id", [False, True])
def test_request_is_withheld_though_upstreams_are_back_at_once(
    run: Run, tmp_path: Path, keeps_id: bool
) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 2) as traffic:
            for upstream in traffic.upstreams:
                upstream.down_s = 0.0
                upstream.registration_s = 3.0
                upstream.keeps_id = keeps_id
            traffic.set_deadly(DEADLY)
            await traffic.send_to_all("/read/x", 4.0, DEADLY)
            check_bound(traffic, DEADLY)

    run(check())


# Guards against refusing what only shares its path, caller and prompt with a request
# that crashes upstreams: the parts of the prompt are not to blame.
def test_prompt_parts_of_a_deadly_request_are_served(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 2) as traffic:
            traffic.set_deadly(DEADLY)
            for _ in range(6):
                for name in traffic.group.gateways:
                    await traffic.send(name, "/once/x", DEADLY)
                await asyncio.sleep(DOWN_S)
            await traffic.wait_recovered()
            settled_s = time.monotonic()
            for _ in range(20):
                for name in traffic.group.gateways:
                    await traffic.send_sound(name, "/once/x")
            check_served(traffic, settled_s)

    run(check())


# Guards against blaming a sound request that callers repeat for unrelated crashes.
@pytest.mark.parametrize("path", ["/read/x", "/stream/x"])
def test_repeated_sound_request_is_served_after_unrelated_crashes(
    run: Run, tmp_path: Path, path: str
) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 3) as traffic:
            for upstream in traffic.upstreams:
                upstream.pause_s = 0.05
            sending = asyncio.ensure_future(
                traffic.send_to_all(path, 4.0, "sound poll", interval_s=0.05)
            )
            for _ in range(8):
                await asyncio.sleep(0.4)
                max(traffic.upstreams, key=lambda item: item.running).crash()
            await sending
            await traffic.wait_recovered()
            settled_s = time.monotonic()
            for upstream in traffic.upstreams:
                upstream.pause_s = 0.0
            await traffic.send_to_all(path, 0.5, "sound poll")
            check_served(traffic, settled_s)

    run(check())


# Guards against refusing requests at another path or of another caller.
def test_same_body_on_another_path_is_served(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, 2) as traffic:
            traffic.set_deadly(DEADLY)
            await traffic.send_to_all("/read/x", 1.0, DEADLY)
            withheld = await traffic.send("g0", "/read/x", DEADLY)
            assert withheld.answer is not None
            assert withheld.answer.status == 503
            assert float(withheld.answer.headers["retry-after"]) > 1
            await traffic.wait_recovered()
            traffic.set_deadly()
            assert (await traffic.send("g0", "/read/y", DEADLY)).is_served

    run(check())
