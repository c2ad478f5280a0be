"""Guard the state of a gateway: outages, lost history, versions, orders, shutdown."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml

from bramleyport.core import ServiceName
from bramleyport.fleet import ShutdownSchedule, Stage, _shutdown
from bramleyport.gateway._attempt import AttemptSupport
from bramleyport.gateway._follower import RETRY_FIRST_S, choose_watch_times
from bramleyport.supervision import supervise
from tests.gateway_fleet import (
    BOUNDS,
    LANGUAGE,
    PLAIN,
    GatewayFleet,
    make_config,
    make_route,
)
from tests.platform_standin import UpstreamStandin, hang

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def read_version(fleet: GatewayFleet) -> int:
    return int(fleet.state.configuration.version)


def test_newer_configuration_takes_effect(fleet: GatewayFleet, run: Run) -> None:
    added = make_route("added", "/added/", "idempotent")
    config = make_config(5)
    fleet.store.put("config", "main", config | {"routes": [*config["routes"], added]})
    run(fleet.wait_for(lambda: read_version(fleet) == 5))
    assert run(fleet.make_caller().call("/added/x", method="GET")).status == 200


def test_older_configuration_never_returns(fleet: GatewayFleet, run: Run) -> None:
    fleet.store.put("config", "main", make_config(9))
    run(fleet.wait_for(lambda: read_version(fleet) == 9))
    fleet.store.put("config", "main", make_config(4))
    fleet.store.put("config", "main", make_config(10))
    run(fleet.wait_for(lambda: read_version(fleet) != 9))
    assert read_version(fleet) == 10


def test_malformed_configuration_leaves_the_last_in_force(
    fleet: GatewayFleet, run: Run
) -> None:
    fleet.store.put("config", "main", make_config(6) | {"routes": [{"name": 1}]})
    fleet.store.put("config", "main", make_config(7))
    run(fleet.wait_for(lambda: read_version(fleet) == 7))


def test_lost_watch_history_leads_to_a_new_listing(
    fleet: GatewayFleet, run: Run
) -> None:
    # The store answers 410 to a watch that continues from dropped history.
    fleet.store.put("servers", "unknown-kind", {"service": 1})
    fleet.store.delete("servers", "p0")
    fleet.store.discard_history()
    run(fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 3))


def test_calls_are_served_in_an_outage_of_the_store(
    fleet: GatewayFleet, run: Run
) -> None:
    fleet.store.unresponsive = True
    fleet.store.reset_connections()
    assert run(fleet.make_caller().call("/post/x", body=b"b")).status == 200
    assert run(fleet.check_readiness()) == 200


async def wait_until_outage_is_noticed(fleet: GatewayFleet) -> None:
    """Wait until the gateway repeats a call for registrations that was refused."""
    begun = len(fleet.store.calls)

    def is_repeated() -> bool:
        return sum("servers" in call for call in fleet.store.calls[begun:]) >= 2

    await fleet.wait_for(is_repeated)


def test_registrations_that_expire_in_an_outage_keep_their_upstreams(
    fleet: GatewayFleet, run: Run
) -> None:
    async def expire_registrations() -> None:
        fleet.store.refusal_status = 503
        fleet.store.reset_connections()
        await wait_until_outage_is_noticed(fleet)
        for upstream in fleet.plain:
            fleet.store.delete("servers", upstream.name)
        fleet.store.discard_history()
        fleet.store.refusal_status = None
        calls = len(fleet.store.calls)
        await fleet.wait_for(
            lambda: any("servers" in call for call in fleet.store.calls[calls:])
        )
        await asyncio.sleep(0.1)

    run(expire_registrations())
    assert run(fleet.make_caller().call("/post/x", body=b"b")).status == 200
    for upstream in fleet.plain:
        upstream.register(fleet.store)
    run(fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 4))


def test_upstream_that_drained_during_an_outage_is_removed_at_once(
    fleet: GatewayFleet, run: Run
) -> None:
    # The watch returns only the removal; the last state of the object shows that the
    # upstream was draining. Seen with DRAIN, trouble-1 --seed 148262528067.
    async def leave() -> None:
        fleet.store.refusal_status = 503
        fleet.store.reset_connections()
        await wait_until_outage_is_noticed(fleet)
        fleet.plain[0].register(fleet.store, state="draining")
        fleet.store.delete("servers", "p0")
        fleet.store.drop_superseded_events()
        fleet.store.refusal_status = None
        await fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 3, 1.5)

    run(leave())


def test_draining_upstream_gets_no_new_calls(fleet: GatewayFleet, run: Run) -> None:
    fleet.plain[0].register(fleet.store, state="draining")
    run(fleet.wait_for(lambda: any(i.draining for i in fleet.state.members.list_all())))
    caller = fleet.make_caller()
    for _ in range(5):
        assert run(caller.call("/post/x", body=b"b")).status == 200
    assert fleet.plain[0].runs == []


def test_malformed_registration_of_another_writer_is_ignored(
    fleet: GatewayFleet, run: Run
) -> None:
    fleet.store.put("servers", "ghost", {"service": "orders", "addr": 7})
    fleet.store.put("servers", "ghost-2", "no table")
    fleet.plain[0].register(fleet.store, slots=7)
    run(
        fleet.wait_for(
            lambda: any(i.slots == 7 for i in fleet.state.members.list_all())
        )
    )
    assert len(fleet.state.members.list_all()) == 4


def test_restarted_upstream_counts_as_having_an_empty_cache(
    fleet: GatewayFleet, run: Run
) -> None:
    # An upstream may restart under the same name.
    prompt = {"Model": "m", "Token_Counts": "40,1", "Prompt_Prefix": "aa:30,bb:10"}
    run(fleet.make_caller().call("/stream/x", body=b"p", **prompt))
    (used,) = [engine for engine in fleet.engines if engine.runs]
    caches = fleet.state.prefixes._caches
    assert used.name in caches
    used.register(fleet.store, born=2000)
    run(fleet.wait_for(lambda: used.name not in caches))


def test_failed_job_is_restarted(fleet: GatewayFleet, run: Run) -> None:
    # When a follower ended with an error, its gateway kept an old configuration.
    runs = []

    async def fail_once() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError("unexpected")

    run(supervise(fail_once))
    assert len(runs) == 2


def test_settings_that_change_without_a_signal_are_reloaded(
    fleet: GatewayFleet, run: Run
) -> None:
    changed = dict(fleet.settings, bounds=dict(fleet.settings["bounds"], grace_s=3))
    fleet.path.write_text(yaml.safe_dump(changed))
    run(fleet.wait_for(lambda: fleet.state.settings.grace_s == 3))


def test_metrics_are_served_with_counts_of_calls(run: Run, tmp_path: Path) -> None:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start(metrics=True))
    run(fleet.make_caller().call("/read/x", method="GET"))
    page = run(fleet.read_metrics())
    assert 'bramleyport_requests_total{rank="0",result="answered"' in page
    assert "bramleyport_answer_seconds_bucket" in page
    run(fleet.stop())


def test_invalid_settings_leave_the_old_ones_in_effect(
    fleet: GatewayFleet, run: Run
) -> None:
    fleet.path.write_text("{")
    run(asyncio.sleep(0))
    fleet.gateway._reload()
    assert fleet.state.settings.grace_s == 8


def test_shutdown_finishes_running_calls_and_closes_connections(
    run: Run, tmp_path: Path
) -> None:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())

    async def slow(upstream: Any, request: Any, writer: Any) -> None:
        from tests.platform_standin import answer_normally

        await asyncio.sleep(0.3)
        await answer_normally(upstream, request, writer)

    async def stop() -> Any:
        for upstream in fleet.plain:
            upstream.script = slow
        caller = fleet.make_caller()
        await caller.send("/post/x", body=b"b")
        await fleet.wait_for(lambda: len(fleet.state.loads.of("p0")) or True)
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(fleet.gateway.stop())
        await asyncio.sleep(0.05)
        ready = await fleet.check_readiness()
        answer = await caller.receive()
        late = await fleet.make_caller().call("/read/x", method="GET")
        await stopping
        return ready, answer, late

    ready, answer, late = run(stop())
    assert ready == 503
    assert (answer.status, answer.headers["connection"]) == (200, "close")
    # New callers are served until the load balancer has seen that it is not ready.
    assert late.status == 200
    run(fleet.stop())


def test_late_in_a_shutdown_only_calls_with_short_deadlines_are_accepted(
    fleet: GatewayFleet, run: Run
) -> None:
    # A longer call accepted then was aborted when the process exited.
    now_s = asyncio.get_event_loop().time()
    fleet.state.shutdown = ShutdownSchedule(restricted_from_s=now_s, end_s=now_s + 1.0)
    long = run(fleet.make_caller().call("/post/x", body=b"b", Deadline_Ms="3000"))
    short = run(fleet.make_caller().call("/post/x", body=b"b", Deadline_Ms="500"))
    assert (long.status, short.status) == (503, 200)
    assert len(fleet.list_runs()) == 1


async def add_engines(fleet: GatewayFleet, count: int) -> list[UpstreamStandin]:
    added = []
    for number in range(count):
        engine = UpstreamStandin(f"n{number}", service=LANGUAGE, stage="decode")
        await engine.start()
        fleet.engines.append(engine)
        engine.register(fleet.store)
        added.append(engine)
    return added


def list_orders(fleet: GatewayFleet) -> list[dict[str, Any]]:
    return [order for engine in fleet.engines for order in engine.orders]


def test_idle_engine_is_ordered_to_prefill_under_the_lease(
    fleet: GatewayFleet, run: Run
) -> None:
    run(add_engines(fleet, 2))
    run(fleet.wait_for(lambda: len(list_orders(fleet)) >= 1))
    (first, *_) = list_orders(fleet)
    assert first["op"] == "stage"
    assert first["stage"] == Stage.PREFILL.value
    lease = fleet.store.objects["leases", "stages"]["spec"]
    assert first["fence"] == lease["fencing"]
    assert first["expected"] == 0


def test_engines_are_not_ordered_while_more_of_them_register(
    fleet: GatewayFleet, run: Run
) -> None:
    # With two of nine engines known, one needed for prefill was ordered to decode.
    async def register_slowly() -> None:
        fleet.store.delete("servers", "d1")
        for number in range(6):
            engine = UpstreamStandin(f"s{number}", service=LANGUAGE, stage="prefill")
            await engine.start()
            fleet.engines.append(engine)
            engine.register(fleet.store)
            await asyncio.sleep(0.8)

    run(register_slowly())
    assert list_orders(fleet) == []


def test_listed_gateway_that_sent_nothing_yet_may_be_first_by_name(
    fleet: GatewayFleet,
) -> None:
    # Without this, two gateways planned at the start, and the second waited for the
    # lease of the first until traffic had begun.
    from bramleyport.core import ProcessId
    from bramleyport.fleet import Address

    peers = fleet.gateway._peers
    assert peers.is_first_by_name()
    peers.set_addresses({ProcessId("a-gateway"): Address("127.0.0.1", 9)})
    assert not peers.is_first_by_name()
    peers._listed_s[ProcessId("a-gateway")] -= 60.0
    assert peers.is_first_by_name()


@pytest.mark.parametrize("stable_s", [1.5, 3.0, 4.0, 10.0])
def test_unanswered_watch_times_out_while_an_outage_permits_stale_state(
    stable_s: float,
) -> None:
    # A watch sent while the store was unresponsive kept five gateways on an old
    # configuration for 5.4 s after the store was available again.
    times = choose_watch_times(stable_s, bound_s=stable_s * 0.6)
    assert times.wait_s > 0
    assert times.wait_s + times.answer_s + RETRY_FIRST_S < stable_s
    # Gateways that rely on updates first have to notice that none arrive.
    unanswered_s = times.fresh_s + times.shared_wait_s + times.answer_s + RETRY_FIRST_S
    assert unanswered_s < stable_s


def test_watch_sent_to_an_unresponsive_store_delays_no_configuration(
    fleet: GatewayFleet, run: Run
) -> None:
    async def play() -> None:
        fleet.store.unresponsive = True
        fleet.store.reset_connections()
        calls = len(fleet.store.calls)
        await fleet.wait_for(lambda: len(fleet.store.calls) > calls + 1)
        fleet.store.unresponsive = False
        fleet.store.put("config", "main", make_config(2))
        # The store never answers the watches that it got while it was unresponsive.
        await fleet.wait_for(lambda: fleet.state.configuration.version == 2)

    run(play())


def test_no_orders_are_sent_without_the_store(fleet: GatewayFleet, run: Run) -> None:
    # Without the lease, another gateway may be ordering the same engines.
    async def disconnect_store() -> None:
        await add_engines(fleet, 2)
        await fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 6)
        fleet.store.refusal_status = 503
        await asyncio.sleep(4.0)

    run(disconnect_store())
    assert list_orders(fleet) == []


def test_only_the_first_gateway_by_name_plans(fleet: GatewayFleet, run: Run) -> None:
    async def receive_from_another() -> None:
        peers = fleet.gateway._peers
        await add_engines(fleet, 2)
        for _ in range(40):
            peers._record_peer(
                "a-gateway", ("127.0.0.1", 9), asyncio.get_running_loop().time()
            )
            await asyncio.sleep(0.1)

    run(receive_from_another())
    assert list_orders(fleet) == []


def test_running_call_survives_the_removal_of_its_upstream(
    fleet: GatewayFleet, run: Run
) -> None:
    # Some upstreams are removed without notice and finish their running calls.
    async def remove_during_call() -> Any:
        from tests.platform_standin import answer_normally

        release = asyncio.Event()

        async def wait(upstream: Any, request: Any, writer: Any) -> None:
            await release.wait()
            await answer_normally(upstream, request, writer)

        for upstream in fleet.plain:
            upstream.script = wait
        caller = fleet.make_caller()
        await caller.send("/post/x", body=b"b")
        await asyncio.sleep(0.1)
        for upstream in fleet.plain:
            fleet.store.delete("servers", upstream.name)
        await fleet.wait_for(lambda: len(fleet.state.members.list_all()) == 2)
        release.set()
        return await caller.receive()

    assert run(remove_during_call()).status == 200


def test_changed_settings_keep_the_repeats_of_the_window(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a reload after which the whole retry budget is spent again."""

    async def spend_and_reload() -> float:
        budget = fleet.state.find_budget(ServiceName(PLAIN))
        now_s = asyncio.get_running_loop().time()
        await fleet.wait_for(lambda: budget.take(now_s, 1) is False)
        changed = fleet.settings | {"heartbeat_ms": 1300}
        fleet.path.write_text(yaml.safe_dump(changed))
        fleet.gateway._reload()
        return now_s

    now_s = run(spend_and_reload())
    assert not fleet.state.find_budget(ServiceName(PLAIN)).take(now_s, 1)


def test_changed_retry_bounds_apply_to_the_budgets_in_use(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against budgets that keep the bounds of the settings at the start."""

    async def reload_without_extra() -> None:
        fleet.state.find_budget(ServiceName(PLAIN))
        bounds = fleet.settings["bounds"] | {"budget_extra_tries": 0}
        fleet.path.write_text(yaml.safe_dump(fleet.settings | {"bounds": bounds}))
        fleet.gateway._reload()

    run(reload_without_extra())
    assert fleet.state.find_budget(ServiceName(PLAIN)).allow(1) == 0.0


@pytest.mark.parametrize(
    ("path", "method", "status"),
    [("/post/x", "place", 503), ("/post/x", "", 502), ("/once/x", "", 502)],
    ids=["not-run", "plain", "stream"],
)
def test_calls_that_outlast_the_grace_time_are_answered(
    fleet: GatewayFleet,
    run: Run,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    method: str,
    status: int,
) -> None:
    """Guards against a closed connection for a call of which nothing was answered."""

    async def wait(*_: Any) -> None:
        await asyncio.sleep(60)

    if method:
        monkeypatch.setattr(AttemptSupport, method, wait)
    for upstream in (*fleet.plain, *fleet.engines):
        upstream.script = hang
    monkeypatch.setattr(_shutdown, "STOP_MARGIN_S", BOUNDS["grace_s"])
    monkeypatch.setattr(_shutdown, "MAX_MARGIN_FRACTION", 1.0)

    async def stop() -> Any:
        caller = fleet.make_caller()
        await caller.send(path, body=b"b", Model="m", Token_Counts="9,9")
        await fleet.wait_for(
            lambda: method or any(item.runs for item in fleet.plain + fleet.engines)
        )
        await asyncio.sleep(0.05)
        await fleet.gateway.stop()
        return await caller.receive()

    answer = run(stop())
    assert (answer.status, answer.complete) == (status, True)
