"""Guard the rate limits that upstreams name, against all gateways together."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from bramleyport.core import ProcessId
from tests.gateway_group import GatewayGroup
from tests.limit_simulation import LimitSimulation
from tests.platform_standin import (
    RawRequest,
    Script,
    UpstreamStandin,
    answer_normally,
    lose_answer,
)
from tests.rate_window import SETTLE_S, WINDOW_S, count_allowed, count_most_limited

Run = Callable[[Coroutine[Any, Any, Any]], Any]


# Guards against gateways that ignore the limit of an upstream, or of which each one
# takes all of it: each of them sends about as much as all of them may.
@pytest.mark.parametrize(
    ("gateways", "limit", "path", "upstreams"),
    [
        (5, 2.8, "/post/x", ("p0", "p1")),
        (12, 0.4, "/read/x", ("p0", "p1")),
        (4, 2.0, "/stream/x", ("d0", "d1")),
    ],
    ids=["plain", "many-gateways", "streams"],
)
def test_gateways_together_keep_to_the_limit_that_an_upstream_names(
    run: Run,
    tmp_path: Path,
    gateways: int,
    limit: float,
    path: str,
    upstreams: tuple[str, ...],
) -> None:
    async def check() -> None:
        group = GatewayGroup(tmp_path, gateways, upstreams)
        await group.start()
        try:
            for upstream in group.upstreams:
                upstream.limit = str(limit)
            named_s = time.monotonic()
            await group.send_calls(SETTLE_S + WINDOW_S + 1.0, 40.0, path)
        finally:
            await group.stop()
        for upstream in group.upstreams:
            times_s = [arrival.arrived_s for arrival in upstream.arrivals]
            most = count_most_limited(times_s, named_s)
            assert most <= count_allowed(limit), upstream.name
        assert group.statuses[200] > 0
        assert set(group.statuses) <= {200, 503}
        assert not set(group.refused) & set(group.list_runs())

    run(check())


def test_no_prompt_is_prefilled_for_a_decode_that_no_limit_permits(
    run: Run, tmp_path: Path
) -> None:
    """Guards against separate prefills whose calls no engine may decode afterwards."""

    async def check() -> None:
        group = GatewayGroup(tmp_path, 3, ("d0", "d1", "f0", "f1"))
        await group.start()
        try:
            for upstream in group.upstreams:
                upstream.limit = "3"
            named_s = time.monotonic()
            prompt = {
                "Model": "m",
                "Token_Counts": "17000,20",
                "Prompt_Prefix": "aa:13000,bb:4000",
            }
            seconds = SETTLE_S + WINDOW_S + 1.0
            await group.send_calls(seconds, 30.0, "/stream/x", **prompt)
        finally:
            await group.stop()
        for upstream in group.upstreams:
            times_s = [arrival.arrived_s for arrival in upstream.arrivals]
            most = count_most_limited(times_s, named_s)
            assert most <= count_allowed(3.0), upstream.name
        assert sum(upstream.prefill_count for upstream in group.upstreams) > 0
        assert [item for item in group.upstreams if item.freed_handles] == []
        assert group.statuses[200] > 0
        assert not set(group.refused) & set(group.list_runs())

    run(check())


def make_simulation(
    seed: int, gateways: int, *, loss: float = 0.0, demand_per_s: float = 3.0
) -> LimitSimulation:
    simulation = LimitSimulation(Random(seed), loss, demand_per_s)
    for number in range(gateways):
        simulation.start_gateway(f"g{number}")
    simulation.run(2.0)
    return simulation


@settings(max_examples=25)
@given(
    seed=st.integers(0, 2**32),
    gateways=st.integers(1, 40),
    rate=st.sampled_from([0.0, 0.05, 0.2, 0.7, 1.0, 2.6, 5.0, 20.0, 80.0]),
    loss=st.sampled_from([0.0, 0.1, 0.5]),
)
def test_any_number_of_gateways_keeps_to_a_limit(
    seed: int, gateways: int, rate: float, loss: float
) -> None:
    """Guards against shares whose sum exceeds the limit, and updates that get lost."""
    simulation = make_simulation(seed, gateways, loss=loss)
    simulation.change_limit(rate)
    simulation.run(16.0)
    assert simulation.count_excess() <= 0


@settings(max_examples=25)
@given(
    seed=st.integers(0, 2**32),
    gateways=st.integers(2, 24),
    rate=st.sampled_from([0.2, 2.6, 8.0]),
    events=st.lists(
        st.sampled_from(["kill", "restart", "join", "upstream", "lower", "raise"]),
        min_size=1,
        max_size=6,
    ),
)
def test_limit_holds_while_gateways_and_upstreams_come_and_go(
    seed: int, gateways: int, rate: float, events: list[str]
) -> None:
    simulation = make_simulation(seed, gateways, loss=0.2)
    simulation.change_limit(rate)
    random = Random(seed)
    for index, event in enumerate(events):
        simulation.run(6.0 + index * (0.1 + 3.0 * random.random()))
        name = f"g{random.randrange(gateways)}"
        if event in ("kill", "restart"):
            simulation.kill_gateway(name)
        if event == "restart":
            simulation.start_gateway(name)
        elif event == "join":
            simulation.start_gateway(f"n{index}")
        elif event == "upstream":
            simulation.restart_upstream()
        elif event in ("lower", "raise"):
            rate *= 0.4 if event == "lower" else 2.5
            simulation.change_limit(rate)
    simulation.run(simulation.now_s + 12.0)
    assert simulation.count_excess() <= 0


def test_all_gateways_that_restart_at_once_keep_to_a_limit() -> None:
    """Guards against a gateway that knows neither its peers nor the limit yet.

    What is sent before the first answer names the limit again depends on the demand.
    """
    simulation = make_simulation(1, 30, demand_per_s=0.4)
    simulation.change_limit(2.0)
    simulation.run(8.0)
    for number in range(30):
        simulation.kill_gateway(f"g{number}")
        simulation.start_gateway(f"g{number}")
    simulation.run(20.0)
    assert simulation.count_excess() <= 0


def test_limit_is_used_by_those_that_may_and_ends_for_all() -> None:
    """Guards against shares that stay unused, and gateways that miss the end."""
    simulation = make_simulation(1, 10, loss=0.3)
    simulation.change_limit(6.0)
    simulation.run(12.0)
    used = sum(8.0 < time_s <= 12.0 for time_s in simulation.arrivals)
    assert used >= 0.8 * 6.0 * 4
    simulation.change_limit(None)
    simulation.run(24.0)
    after = sum(20.0 < time_s <= 24.0 for time_s in simulation.arrivals)
    # All calls are sent again: ten gateways with three a second.
    assert after >= 0.7 * 30.0 * 4


@pytest.mark.parametrize("gateways", [10, 60])
def test_repeated_notices_stay_within_the_traffic_for_control(gateways: int) -> None:
    """Guards against notices in proportion to the gateways that share a limit.

    100 limited upstreams, 50 bytes a notice and 7 KB/s for each daemon (CAPACITY.md)
    permit 1.4 notices a second for each upstream, whoever sends them.
    """
    simulation = make_simulation(1, gateways)
    simulation.change_limit(9.0)
    simulation.run(20.0)
    first_s, last_s = 20.0, 80.0
    simulation.run(last_s)
    sent = sum(first_s < time_s <= last_s for time_s in simulation.notices)
    assert sent <= 1.4 * (last_s - first_s)


def test_end_of_a_limit_reaches_gateways_that_hear_only_some_others() -> None:
    """Guards against a gateway that relies on notices which others leave out."""
    simulation = make_simulation(2, 12, loss=0.3)
    simulation.change_limit(3.0)
    simulation.run(20.0)
    deaf = simulation.gateways[ProcessId("g11")]
    deaf.hears_only = {ProcessId("g0")}
    simulation.run(30.0)
    simulation.change_limit(None)
    simulation.run(45.0)
    assert deaf.limiter.list_notices() == []


def test_limit_holds_while_gateways_do_not_hear_each_other() -> None:
    """Guards against two groups that each take the whole limit."""
    simulation = make_simulation(3, 8)
    simulation.change_limit(4.0)
    simulation.run(10.0)
    for gateway in list(simulation.gateways.values())[:4]:
        gateway.group = 1
    simulation.run(50.0)
    assert simulation.count_excess() <= 0


def make_slow(delay_s: float) -> Script:
    async def answer_slowly(
        upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(delay_s)
        await answer_normally(upstream, request, writer)

    return answer_slowly


@asynccontextmanager
async def run_with_one_permit(
    folder: Path, upstream: str, path: str
) -> AsyncIterator[GatewayGroup]:
    """Run a gateway that may send one request now and the next one in half a second."""
    group = GatewayGroup(folder, 1, (upstream,))
    await group.start()
    try:
        group.upstreams[0].limit = "2"
        while not group.refused:
            await group.send_calls(0.05, 50.0, path)
        await asyncio.sleep(0.6)
        yield group
    finally:
        await group.stop()


@pytest.mark.parametrize(("upstream", "path"), [("p0", "/read/x"), ("d0", "/stream/x")])
def test_call_that_may_have_run_waits_for_the_permit_of_its_retry(
    run: Run, tmp_path: Path, upstream: str, path: str
) -> None:
    """Guards against failed calls that a retry a little later would have answered."""

    async def check() -> None:
        async with run_with_one_permit(tmp_path, upstream, path) as group:
            group.upstreams[0].next_scripts.append(lose_answer)
            assert await group.send_call(path) == 200

    run(check())


@pytest.mark.parametrize(("upstream", "path"), [("p0", "/read/x"), ("d0", "/stream/x")])
def test_attempt_is_not_abandoned_where_limits_leave_no_other_upstream(
    run: Run, tmp_path: Path, upstream: str, path: str
) -> None:
    """Guards against requests of a limit that are spent on work that is given up."""

    async def check() -> None:
        async with run_with_one_permit(tmp_path, upstream, path) as group:
            (target,) = group.upstreams
            before = len(target.arrivals)
            target.next_scripts.append(make_slow(1.0))
            assert await group.send_call(path) == 200
            assert len(target.arrivals) == before + 1

    run(check())
