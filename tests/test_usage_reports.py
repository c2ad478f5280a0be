"""Guard the usage reports of gateways against kills, lost answers and restores."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from bramleyport.fleet import plan_shutdown
from bramleyport.gateway import _lease
from bramleyport.gateway._clock import read_boot_time, read_now
from tests.gateway_group import GatewayGroup
from tests.platform_standin import (
    LOOPBACK,
    PlatformApiStandin,
    decline,
    fail,
    lose_answer,
    make_stream_abort,
)

WINDOW_S = 1.0
BOUNDS = {"window_s": WINDOW_S, "usage_late_s": 3.0, "thaw_ms": 100}
ACCOUNTS = {
    "tenants": [
        {"name": "kelani", "api_keys": ["k1"]},
        {"name": "east", "api_keys": ["k2"]},
    ]
}
Run = Callable[[Coroutine[Any, Any, Any]], Any]
Scenario = Callable[[GatewayGroup, PlatformApiStandin], Awaitable[None]]


def run_group(
    run: Run,
    folder: Path,
    scenario: Scenario,
    *,
    gateways: int = 3,
    config: dict[str, Any] = ACCOUNTS,
    duties: list[str] | None = None,
) -> None:
    async def play() -> None:
        api = PlatformApiStandin()
        await api.start()
        names = ["usage"] if duties is None else duties
        cloud = {"addr": f"{LOOPBACK}:{api.port}", "duties": names, "duties_per_s": 20}
        group = GatewayGroup(
            folder,
            gateways,
            ("p0", "p1", "d0", "d1"),
            bounds=BOUNDS,
            settings={"cloud": cloud},
            config=config,
        )
        try:
            await group.start()
            await scenario(group, api)
        finally:
            await group.stop()
            await api.stop()

    run(play())


def count_runs(group: GatewayGroup) -> Counter[str]:
    return Counter(
        run.request.headers["tenant"]
        for upstream in group.upstreams
        for run in upstream.runs
    )


def count_reported(api: PlatformApiStandin) -> Counter[str]:
    total: Counter[str] = Counter()
    for counts in api.list_accepted().values():
        total.update(counts[0])
    return total


def check_reports(api: PlatformApiStandin) -> None:
    """Check what holds whatever fails: one count per window, no gap, rising numbers."""
    windows = api.list_accepted()
    assert {len(counts) for counts in windows.values()} == {1}
    assert sorted(windows) == list(range(min(windows), max(windows) + 1))
    fencings = [call.fencing for call in api.calls]
    assert fencings == sorted(fencings)
    holders = {(call.fencing, call.holder) for call in api.calls}
    assert len(holders) == len({fencing for fencing, _ in holders})


async def wait_until_reported(
    group: GatewayGroup, api: PlatformApiStandin, end_s: float
) -> None:
    last = int(end_s / WINDOW_S)
    await group.wait_for(lambda: max(api.list_accepted(), default=0) >= last)


def test_each_window_is_reported_once_with_what_upstreams_ran(
    run: Run, tmp_path: Path
) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        # Refused attempts count nowhere. One whose answer was lost counts, a failure of
        # the upstream too, and a resumed stream counts at both upstreams.
        group.upstreams[0].next_scripts = [decline, lose_answer, fail]
        group.upstreams[2].next_scripts = [make_stream_abort(2)]
        await group.send_calls(3.0, 30, "/read/x", Api_Key="k1")
        await group.send_calls(1.0, 20, "/stream/x", Api_Key="k2")
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert count_reported(api) == count_runs(group)
        assert len({call.holder for call in api.calls}) == 1

    run_group(run, tmp_path, scenario)


def test_next_holder_goes_on_where_a_killed_one_ended(run: Run, tmp_path: Path) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.send_calls(2.0, 30, "/read/x", Api_Key="k1")
        await group.wait_for(lambda: api.calls)
        # Nothing but what was told before is counted by the others.
        await asyncio.sleep(1.0)
        killed = api.calls[-1].holder
        group.stop_gateway(killed)
        await group.send_calls(2.0, 30, "/read/x", Api_Key="k2")
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert {call.holder for call in api.calls} > {killed}
        assert count_reported(api) == count_runs(group)

    run_group(run, tmp_path, scenario)


def test_planned_stop_of_the_holder_loses_no_counts(run: Run, tmp_path: Path) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.send_calls(2.0, 30, "/read/x", Api_Key="k1")
        await group.wait_for(lambda: api.calls)
        # Counted at the holder after it last told the others, in part.
        await group.send_calls(0.3, 100, "/read/x", Api_Key="k2")
        stopped = api.calls[-1].holder
        await group.gateways[stopped].stop()
        group.forget_gateway(stopped)
        await group.send_calls(1.0, 30, "/read/x", Api_Key="k2")
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert {call.holder for call in api.calls} > {stopped}
        assert count_reported(api) == count_runs(group)

    run_group(run, tmp_path, scenario)


# Guards against windows that nobody reports until the end of the stop of a zone: the
# first gateways by name drain, and the others are no candidates.
def test_draining_gateways_report_if_the_holder_ends_and_all_candidates_drain(
    run: Run, tmp_path: Path
) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.wait_for(lambda: api.calls)
        holder = api.calls[-1].holder
        for name in ("g0", "g1", "g2", "g3"):
            schedule = plan_shutdown(read_now(), 600.0)
            group.gateways[name].state.shutdown = schedule
        group.stop_gateway(holder)
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert {call.holder for call in api.calls} > {holder}

    run_group(run, tmp_path, scenario, gateways=5)


# Guards against a holder that others don't tell their counts to, as gateways that come
# before it by name are candidates in its place.
def test_holder_goes_on_when_other_gateways_become_candidates(
    run: Run, tmp_path: Path
) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.wait_for(lambda: api.calls)
        for name in ("a0", "a1", "a2"):
            await group.start_gateway(name)
        await group.send_calls(3.0, 30, "/read/x", Api_Key="k1")
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert {call.holder for call in api.calls} == {"g0"}
        assert count_reported(api) == count_runs(group)

    run_group(run, tmp_path, scenario, gateways=1)


def test_reports_are_sent_again_and_the_store_may_be_away(
    run: Run, tmp_path: Path
) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.wait_for(lambda: api.calls)
        api.loses_answers = True
        await group.send_calls(1.0, 30, "/read/x", Api_Key="k1")
        api.loses_answers, api.status = False, 429
        group.store.refusal_status = 503
        await group.send_calls(3.0, 30, "/read/x", Api_Key="k1")
        api.status, group.store.refusal_status = 200, None
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert count_reported(api) == count_runs(group)

    run_group(run, tmp_path, scenario, gateways=2)


def test_restored_store_leads_to_no_other_counts(run: Run, tmp_path: Path) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.wait_for(lambda: api.calls)
        copy = group.store.copy()
        await group.send_calls(3.0, 30, "/read/x", Api_Key="k1")
        await wait_until_reported(group, api, time.time() - WINDOW_S)
        await group.store.restore_after_outage(copy, 0.2)
        await group.send_calls(1.0, 30, "/read/x", Api_Key="k1")
        await wait_until_reported(group, api, time.time())
        check_reports(api)
        assert count_reported(api) == count_runs(group)

    run_group(run, tmp_path, scenario, gateways=2)


def test_holder_whose_host_was_suspended_sends_nothing_under_its_old_lease(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await group.wait_for(lambda: api.calls)
        old = api.calls[-1].fencing
        # The monotonic clock stands still while a host is suspended.
        monkeypatch.setattr(_lease, "read_boot_time", lambda: read_boot_time() + 60.0)
        sent = len(api.calls)
        await group.wait_for(lambda: len(api.calls) > sent + 2)
        assert min(call.fencing for call in api.calls[sent:]) > old
        check_reports(api)

    run_group(run, tmp_path, scenario, gateways=1)


def test_nothing_is_sent_without_accounts_or_the_duty(run: Run, tmp_path: Path) -> None:
    async def scenario(group: GatewayGroup, api: PlatformApiStandin) -> None:
        await asyncio.sleep(4.0)
        assert api.calls == []
        assert not any("duties" in call for call in group.store.calls)

    run_group(run, tmp_path, scenario, gateways=1, config={})
    run_group(run, tmp_path, scenario, gateways=1, duties=[])
