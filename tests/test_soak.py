"""Guard the guarantees to callers under overlapping faults, and the soak's checks."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests.platform_standin import (
    CallerAnswer,
    CrashingEngine,
    EngineCrash,
    RawRequest,
    UpstreamArrival,
    UpstreamRun,
    UpstreamStandin,
    render_event,
)
from tests.rate_window import SETTLE_S
from tests.soak import Findings, Impairments, Profile, run_soak
from tests.soak._checks import (
    COMPLETE_STREAM,
    CONFIG_LIMIT_S,
    DISCONNECT_LIMIT_S,
    DRAIN_LIMIT_S,
    STABLE_S,
    Drain,
    NamedLimit,
    Observations,
    RouteChange,
    SentCall,
    ServedVersion,
    check_answer,
    check_disconnected_callers,
    check_drains,
    check_extra_route,
    check_limits,
    check_runs,
    check_versions,
)
from tests.soak._crash_checks import (
    check_deadly_parts,
    check_deadly_requests,
    check_sound_prompts,
)
from tests.soak._deadly_prompts import DEADLY_BODIES
from tests.soak._faults import ODD_ENTRIES
from tests.soak._processes import GatewayProcess, StartError
from tests.soak._proxy import Direction, FaultProxy
from tests.soak._stop_checks import (
    PlannedStop,
    StopCall,
    StopObservations,
    UpstreamWork,
    check_stops,
)
from tests.soak._store_faults import STORE_FAULTS

Run = Callable[[Coroutine[Any, Any, Any]], Any]

STAMPED = {"server-stamp": "s"}


@pytest.fixture
def observations() -> Observations:
    return Observations(Findings(), Impairments())


def add_upstream_run(
    observations: Observations, name: str, kind: str, started_s: float
) -> UpstreamStandin:
    """Add a call sent at time 0 and return an upstream that ran it."""
    observations.sent[name] = SentCall(kind, 0.0)
    upstream = UpstreamStandin("p0", service="orders")
    request = RawRequest("POST", f"/{kind}/x", {"request-id": name}, b"")
    upstream.runs = [UpstreamRun(request, started_s=started_s)]
    return upstream


def test_guarantees_hold_with_endless_answers(run: Run) -> None:
    findings = run(
        run_soak(11, 5.0, gateways=3, profile=Profile.HOSTILE, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["post 200"] > 0


def test_guarantees_hold_with_many_gateways(run: Run) -> None:
    """Guards the sharing of store updates: only a few of many gateways watch it."""
    findings = run(
        run_soak(12, 5.0, gateways=9, profile=Profile.PLANNED, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["post 200"] > 0


def test_guarantees_hold_with_mixed_faults(run: Run) -> None:
    findings = run(
        run_soak(7, 5.0, gateways=3, profile=Profile.MIXED, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["post 200"] > 0
    assert findings.calls["stream 200"] > 0


def test_guarantees_hold_while_upstreams_limit_their_rates(run: Run) -> None:
    findings = run(
        run_soak(24, 12.0, gateways=3, profile=Profile.LIMITS, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.limited_windows > 0
    assert findings.calls["post 200"] > 0


# Guards the withholding of prompts on which engines crash, while gateways are killed.
def test_guarantees_hold_while_engines_crash_on_prompts(run: Run) -> None:
    findings = run(
        run_soak(3, 6.0, gateways=3, profile=Profile.CRASHES, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.crashes.total() > 0
    assert findings.calls["stream 200"] > 0


# Guards the lists that gateways follow: each odd entry stopped all of them for good.
@pytest.mark.parametrize("gateways", [3, 9], ids=["few", "sharing"])
def test_guarantees_hold_beside_odd_entries(run: Run, gateways: int) -> None:
    findings = run(
        run_soak(
            29,
            5.0,
            gateways=gateways,
            profile=Profile.ODD_ENTRIES,
            check_time_limits=False,
        )
    )
    assert findings.violations == []
    assert sum(findings.faults[name] for name in ODD_ENTRIES) > 0
    assert findings.calls["post 200"] > 0


# Guards against gateways that follow the old history of a store that came back from a
# copy, so that the newest configuration never comes into force.
def test_guarantees_hold_while_the_store_is_restored(run: Run) -> None:
    findings = run(
        run_soak(11, 3.0, gateways=8, profile=Profile.RESTORED, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.restored_count > 0
    assert findings.calls["post 200"] > 0
    assert findings.calls["version 200"] > 0


# Guards the check against older versions that are missed, and against calls that were
# under way at the same time or met another process.
@pytest.mark.parametrize(
    ("sent_s", "started_s", "violated"),
    [(12.0, 1.0, True), (10.5, 1.0, False), (12.0, 2.0, False)],
    ids=["later", "meanwhile", "restarted"],
)
def test_older_version_after_a_newer_one_is_found(
    observations: Observations, sent_s: float, started_s: float, violated: bool
) -> None:
    observations.versions += [
        ServedVersion("g0", 1.0, version=2, sent_s=10.0, answered_s=11.0),
        ServedVersion("g0", started_s, version=1, sent_s=sent_s, answered_s=13.0),
    ]
    check_versions(observations)
    assert bool(observations.findings.violations) is violated


# Guards the withholding of requests that crash upstreams, while gateways are killed.
def test_guarantees_hold_while_upstreams_crash_on_requests(run: Run) -> None:
    findings = run(
        run_soak(5, 6.0, gateways=3, profile=Profile.REQUESTS, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.crashes.total() > 0
    assert findings.calls["read 200"] > 0


# Guards lists of several pages with foreign names, and removals beside cut channels.
def test_guarantees_hold_while_channels_to_the_store_are_cut(run: Run) -> None:
    profile = Profile.CUT_CHANNELS
    findings = run(
        run_soak(2, 6.0, gateways=3, profile=profile, check_time_limits=False)
    )
    assert findings.violations == []
    assert sum(findings.faults[name] for name in STORE_FAULTS) > 0
    assert findings.calls["post 200"] > 0


# Guards parts that crash engines behind many others, while gateways are killed.
def test_guarantees_hold_while_engines_crash_on_long_prompts(run: Run) -> None:
    profile = Profile.LONG_PROMPTS
    findings = run(
        run_soak(2, 6.0, gateways=3, profile=profile, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.crashes.total() > 0
    assert findings.calls["stream 200"] > 0


# Guards what upstreams say of themselves in answers, beside planned operations.
def test_guarantees_hold_while_upstreams_leave_and_pause(run: Run) -> None:
    findings = run(
        run_soak(5, 6.0, gateways=3, profile=Profile.SIGNALS, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["post 200"] > 0


# Guards streams against events of two versions, while engines and gateways come and go.
def test_guarantees_hold_while_versions_change(run: Run) -> None:
    findings = run(
        run_soak(5, 6.0, gateways=3, profile=Profile.VERSIONS, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["resumed 200"] > 0


# Guards streams whose gateways go dark as versions come and go.
def test_streams_of_dark_gateways_go_on_while_versions_change(run: Run) -> None:
    profile = Profile.DARK_GATEWAYS
    findings = run(
        run_soak(1, 8.0, gateways=4, profile=profile, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["resumed 200"] > 0


# Guards streams that are taken up while the last engines that decode their version are
# away, beside others of it that prefill.
def test_streams_go_on_while_decoders_of_a_version_crash(run: Run) -> None:
    profile = Profile.VERSION_STAGES
    findings = run(
        run_soak(306, 6.0, gateways=3, profile=profile, check_time_limits=False)
    )
    assert findings.violations == []
    assert findings.calls["resumed 200"] > 0


# Guards the check itself: repeats that are sent under the bound have to be counted.
@pytest.mark.parametrize(("late", "violations"), [(3, 0), (4, 1)])
def test_repeats_of_a_deadly_request_are_counted(
    observations: Observations, late: int, violations: int
) -> None:
    upstream = CrashingEngine("p0", service="orders")
    for number in range(3):
        crash = EngineCrash("p0", DEADLY_BODIES["read"], time_s=float(number))
        upstream.crashes.append(crash)
    for number in range(late):
        headers = {"request-id": f"s{number}"}
        body = DEADLY_BODIES["read"].encode()
        request = RawRequest("POST", "/read/x", headers, body)
        upstream.arrivals.append(UpstreamArrival(request))
        observations.sent[f"s{number}"] = SentCall("read", 2.1 + STABLE_S)
    check_deadly_requests(observations, [upstream])
    assert len(observations.findings.violations) == violations


def make_crashed_engine(crashes: int, arrivals: int) -> CrashingEngine:
    """Return an engine that crashed on a part before time 10 and got it after that."""
    engine = CrashingEngine("d0", service="language", stage="decode")
    for number in range(crashes):
        engine.crashes.append(EngineCrash("d0", "dead", time_s=float(number)))
    for number in range(arrivals):
        headers = {"request-id": f"s{number}", "prompt-prefix": "a1:9,dead:9,f:9"}
        request = RawRequest("POST", "/once/x", headers, b"")
        engine.arrivals.append(UpstreamArrival(request))
    return engine


# Guards the check against bounds that begin too late, too early or not at all.
@pytest.mark.parametrize(
    ("crashes", "arrivals", "sent_s", "violated"),
    [(5, 4, 7.1, True), (5, 3, 7.1, False), (5, 4, 6.9, False), (4, 4, 7.1, False)],
)
def test_deadly_requests_at_engines_are_found(
    observations: Observations,
    crashes: int,
    arrivals: int,
    sent_s: float,
    violated: bool,
) -> None:
    engine = make_crashed_engine(crashes, arrivals)
    for number in range(arrivals):
        observations.sent[f"s{number}"] = SentCall("once", sent_s, deadly_part="dead")
    check_deadly_parts(observations, [engine], ["dead"])
    assert bool(observations.findings.violations) is violated


# Guards the check against sound prompts that are withheld unnoticed.
@pytest.mark.parametrize(("refused", "violated"), [(4, False), (6, True)])
def test_refused_sound_prompts_are_found(
    observations: Observations, refused: int, violated: bool
) -> None:
    engine = make_crashed_engine(5, 0)
    for number in range(20):
        after = number >= 10
        status = 503 if after and number < 10 + refused else 200
        call = SentCall("once", 20.0 if after else -1.0)
        call.answer = CallerAnswer(status, {}, b"", True)
        observations.sent[f"s{number}"] = call
    check_sound_prompts(observations, [engine], deadly_from_s=0.0)
    assert bool(observations.findings.violations) is violated


@pytest.mark.parametrize(
    ("requests", "after_s", "violated"),
    [(21, SETTLE_S + 1.0, False), (22, SETTLE_S + 1.0, True), (22, 1.0, False)],
    ids=["allowed", "too many", "not settled"],
)
def test_requests_over_a_limit_are_found(
    observations: Observations, requests: int, after_s: float, violated: bool
) -> None:
    upstream = add_upstream_run(observations, "s1", "read", 0.0)
    limit = NamedLimit("p0", 2.7, named_s=100.0)
    observations.limits.append(limit)
    request = upstream.runs[0].request
    upstream.arrivals = [
        UpstreamArrival(request, limit.named_s + after_s + 0.01 * number)
        for number in range(requests)
    ]
    check_limits(observations, [upstream])
    assert bool(observations.findings.violations) is violated


@pytest.mark.parametrize(
    ("kind", "answer"),
    [
        ("post", CallerAnswer(200, {}, b"answer to s1", True)),
        ("post", CallerAnswer(200, STAMPED, b"answer to s2", True)),
        ("post", CallerAnswer(200, STAMPED | {"request-id": "s2"}, b"x", True)),
        ("stream", CallerAnswer(200, STAMPED, render_event(1), True)),
        ("stream", CallerAnswer(200, STAMPED, render_event(2), False)),
        ("stream", CallerAnswer(200, STAMPED, COMPLETE_STREAM + render_event(5), True)),
    ],
    ids=["unstamped", "body", "other request", "incomplete", "gap", "repeated"],
)
def test_invalid_answer_is_found(
    observations: Observations, kind: str, answer: CallerAnswer
) -> None:
    check_answer(observations, "s1", kind, answer)
    assert observations.findings.violations


@pytest.mark.parametrize(
    ("status", "runs", "violated"),
    [(200, 2, True), (503, 1, True), (503, 0, False), (502, 1, False), (200, 1, False)],
)
def test_runs_that_contradict_the_answers_are_found(
    observations: Observations, status: int, runs: int, violated: bool
) -> None:
    upstream = add_upstream_run(observations, "s1", "post", 0.0)
    upstream.runs = upstream.runs * runs
    observations.sent["s1"].answer = CallerAnswer(status, {}, b"", True)
    check_runs(observations, [upstream])
    assert bool(observations.findings.violations) is violated


def test_run_that_no_caller_sent_is_found(observations: Observations) -> None:
    upstream = add_upstream_run(observations, "inner", "post", 0.0)
    observations.sent.clear()
    check_runs(observations, [upstream])
    assert observations.findings.violations


@pytest.mark.parametrize(
    ("late_s", "impaired", "violated"),
    [(0.5, False, True), (-0.5, False, False), (0.5, True, False)],
)
def test_run_at_a_draining_upstream_is_found(
    observations: Observations, late_s: float, impaired: bool, violated: bool
) -> None:
    acknowledged_s = 100.0
    upstream = add_upstream_run(
        observations, "s1", "read", acknowledged_s + DRAIN_LIMIT_S + late_s
    )
    observations.drains.append(Drain("p0", acknowledged_s))
    if impaired:
        observations.impairments._spans.append(
            [acknowledged_s, acknowledged_s + STABLE_S]
        )
    check_drains(observations, [upstream])
    assert bool(observations.findings.violations) is violated


def test_impairment_can_outlast_the_faults(observations: Observations) -> None:
    # The end of a soak cancels the faults, but silenced connections stay silent.
    observations.impairments.record_for(60.0)
    now_s = time.monotonic()
    assert observations.impairments.overlaps(now_s + 50.0, now_s + 51.0)
    assert not observations.impairments.overlaps(now_s + 61.0, now_s + 62.0)


@pytest.mark.parametrize(("late_s", "violated"), [(0.1, True), (-0.1, False)])
def test_run_after_its_caller_disconnected_is_found(
    observations: Observations, late_s: float, violated: bool
) -> None:
    upstream = add_upstream_run(
        observations, "s1", "read", 10.0 + DISCONNECT_LIMIT_S + late_s
    )
    observations.sent["s1"].disconnected_s = 10.0
    check_disconnected_callers(observations, [upstream])
    assert bool(observations.findings.violations) is violated


@pytest.mark.parametrize(
    ("status", "present", "settled", "violated"),
    [
        (404, True, True, True),
        (200, False, True, True),
        (404, False, True, False),
        (503, True, True, False),
        (404, True, False, False),
    ],
)
def test_call_routed_by_an_old_configuration_is_found(
    observations: Observations,
    status: int,
    present: bool,
    settled: bool,
    violated: bool,
) -> None:
    observations.route_changes.append(RouteChange(10.0, present))
    observations.sent["s1"] = SentCall(
        "extra", 10.1 + (CONFIG_LIMIT_S if settled else 0.0)
    )
    check_extra_route(observations, "s1", status)
    assert bool(observations.findings.violations) is violated


@pytest.mark.parametrize(
    ("code", "log", "violated"),
    [
        (0, b'{"event": 1001}', False),
        (-15, b"", False),
        (-15, b'{"event": 1001}', True),
        (1, b"", True),
    ],
    ids=["stopped", "not listening yet", "killed by the signal", "failed"],
)
def test_exit_code_after_sigterm_is_checked(
    tmp_path: Path, code: int, log: bytes, violated: bool
) -> None:
    gateway = GatewayProcess("g0", tmp_path, FaultProxy(0), FaultProxy(0))
    earlier = b'{"event": 1001} of an earlier start'
    (tmp_path / "g0.log").write_bytes(earlier + log)
    gateway.log_start = len(earlier)
    assert bool(gateway.describe_bad_exit(code)) is violated


def test_proxy_holds_back_a_direction_and_silences_open_connections(run: Run) -> None:
    async def check() -> None:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = FaultProxy(server.sockets[0].getsockname()[1])
        await proxy.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        proxy.held_directions = {Direction.TO_CLIENT}
        writer.write(b"a")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        proxy.held_directions = set()
        assert await reader.read(1) == b"a"
        proxy.silence_connections()
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        reader, other = await asyncio.open_connection("127.0.0.1", proxy.port)
        other.write(b"c")
        assert await reader.read(1) == b"c"
        writer.close()
        other.close()
        proxy.stop()
        server.close()

    run(check())


# Guards against a soak that waits 30 s for a process that has ended, and says nothing.
def test_gateway_process_that_does_not_start_is_reported_with_its_log(
    tmp_path: Path, run: Run
) -> None:
    async def check() -> None:
        gateway = GatewayProcess("g0", tmp_path, FaultProxy(0), FaultProxy(0))
        gateway.prepare()
        server = await asyncio.start_server(
            lambda *_: None, "127.0.0.1", gateway.caller_proxy.server_port
        )
        gateway.start()
        try:
            with pytest.raises(StartError, match=r"g0 ended before .* could not start"):
                await gateway.wait_started()
        finally:
            gateway.kill()
            server.close()

    run(check())


# Guards what is accepted by a gateway that is stopped, while its callers go on.
def test_planned_stops_cut_no_call(run: Run) -> None:
    findings = run(run_soak(1, 6.0, gateways=3, profile=Profile.STOPS))
    assert findings.violations == []
    assert findings.faults["stop_gateway"] > 0
    assert findings.calls["post 200"] > 0


GRACE_S = 6.0


# Guards the check against cuts that it misses, and against those that are allowed: the
# end of the caller's limit, an upstream that works for too long, bytes just sent.
@pytest.mark.parametrize(
    ("sent_s", "cut_s", "limit_s", "work", "violated"),
    [
        (3.5, 3.8, 2.0, None, True),
        (3.5, 3.6, 2.0, None, False),
        (3.5, 3.6, 2.0, UpstreamWork(3.5), True),
        (3.5, 5.5, 2.0, UpstreamWork(3.5), False),
        (2.9, 5.1, 9.0, UpstreamWork(3.0), False),
        (3.1, 5.1, 9.0, UpstreamWork(3.1), True),
        (2.9, 5.1, 9.0, UpstreamWork(3.0, 4.9), True),
        (2.9, 4.9, 9.0, UpstreamWork(3.0), True),
        (None, 3.8, 2.0, None, False),
    ],
)
def test_unanswered_calls_are_found(
    sent_s: float | None,
    cut_s: float,
    limit_s: float,
    work: UpstreamWork | None,
    violated: bool,
) -> None:
    observations = StopObservations(Findings())
    observations.stops.append(PlannedStop("g0", GRACE_S, 0.0, 6.0))
    began_s = sent_s if sent_s is not None else 3.5
    call = StopCall("s1", "post", "g0", limit_s, began_s, sent_s, cut_s=cut_s)
    observations.calls.append(call)
    if work is not None:
        observations.work["s1"] = work
    check_stops(observations)
    assert bool(observations.findings.violations) is violated


# Guards the check against answers that deny a run or end a call too soon.
@pytest.mark.parametrize(
    ("status", "reason", "answered_s", "has_run", "violated"),
    [
        (503, "stopping", 3.5, False, False),
        (503, "stopping", 3.5, True, True),
        (502, "call_ended", 5.1, True, False),
        (502, "call_ended", 4.9, True, True),
    ],
)
def test_wrong_answers_in_a_stop_are_found(
    status: int, reason: str, answered_s: float, has_run: bool, violated: bool
) -> None:
    observations = StopObservations(Findings())
    observations.stops.append(PlannedStop("g0", GRACE_S, 0.0, 6.0))
    call = StopCall("s1", "post", "g0", 9.0, 3.0, 3.0, status=status, reason=reason)
    call.answered_s = answered_s
    observations.calls.append(call)
    if has_run:
        observations.work["s1"] = UpstreamWork(3.0)
    check_stops(observations)
    assert bool(observations.findings.violations) is violated


def test_call_is_checked_against_the_stop_of_its_own_process() -> None:
    """Guards against blaming a stop for a call that the one before has ended."""
    observations = StopObservations(Findings())
    observations.stops.append(PlannedStop("g0", GRACE_S, 0.0, 5.2))
    observations.stops.append(PlannedStop("g0", GRACE_S, 7.0, 12.0))
    call = StopCall("s1", "post", "g0", 9.0, 2.9, 2.9, answered_s=7.4)
    call.status, call.reason = 502, "call_ended"
    observations.calls.append(call)
    check_stops(observations)
    assert observations.findings.violations == []


# Guards the check against excusing more than a kill at the grace time, of a process
# that its host kept from running.
@pytest.mark.parametrize(
    ("cut_s", "waited_s", "violated"),
    [(6.05, 0.6, False), (6.05, 0.4, True), (4.9, 0.6, True)],
)
def test_only_late_kills_of_starved_processes_are_excused(
    cut_s: float, waited_s: float, violated: bool
) -> None:
    observations = StopObservations(Findings())
    stop = PlannedStop("g0", GRACE_S, 0.0, 6.1, waited_s)
    observations.stops.append(stop)
    call = StopCall("s1", "post", "g0", 9.0, 4.0, 4.0, cut_s=cut_s)
    observations.calls.append(call)
    check_stops(observations)
    assert bool(observations.findings.violations) is violated
