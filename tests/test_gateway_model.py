"""Compare many gateways with a single one that has the whole state of the fleet."""

from dataclasses import replace

import pytest

from bramleyport.bench._gateways_report import GatewaySummary, run_gateways
from bramleyport.bench._gateways_run import GatewayRun
from bramleyport.bench._gateways_scenario import GATEWAY_SCENARIOS, GatewayScenario
from tests.rate_window import count_allowed, count_most_limited

# Full runs take a minute, but the failures appear within the first seconds.
SHORT_S = 6.0
# Fraction of the value that may be lost because each gateway knows only part of the
# work.
MAX_REGRET = 0.08


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, scenario in GATEWAY_SCENARIOS.items():
        surges = tuple(
            replace(surge, start_s=1.0, end_s=4.0) for surge in scenario.surges
        )
        changed = replace(scenario, duration_s=SHORT_S, surges=surges)
        monkeypatch.setitem(GATEWAY_SCENARIOS, name, changed)


def summarize(name: str, gateways: int) -> GatewaySummary:
    return run_gateways(name, gateways, seed=1)


@pytest.mark.parametrize("name", ["long-prompts", "long-prompts-flood"])
def test_many_gateways_earn_nearly_as_much_as_one(short: None, name: str) -> None:
    # 40 or more gateways each send long prompts to the engine that was idle a quarter
    # of a second ago, and all transfers of KV caches use one link.
    single = summarize(name, 1)
    many = summarize(name, 40)
    assert many.value >= single.value * (1 - MAX_REGRET)


def test_urgent_calls_are_served_best_when_slots_are_occupied(short: None) -> None:
    # Long answers occupy the slots while many short calls are queued.
    summary = summarize("held-slots-flood", 20)
    note, classify = summary.mixes
    assert note.in_time >= classify.in_time
    assert note.failed == 0


def test_update_traffic_of_a_gateway_is_independent_of_the_gateway_count(
    short: None,
) -> None:
    few = summarize("long-prompts", 30)
    many = summarize("long-prompts", 90)
    assert many.sent_kb_per_s < 2 * few.sent_kb_per_s


def test_run_is_the_same_for_the_same_seed(short: None) -> None:
    assert summarize("long-prompts", 8) == summarize("long-prompts", 8)


def test_every_call_ends(short: None) -> None:
    scenario: GatewayScenario = GATEWAY_SCENARIOS["long-prompts-loss"]
    run = GatewayRun(scenario.with_gateways(10), seed=3)
    run.simulate()
    for outcome in run.state.outcomes.values():
        ended = outcome.in_time + outcome.late + outcome.refused + outcome.failed
        assert ended == outcome.calls


# A limit keeps part of the fleet's capacity unused. What the other engines can serve is
# served: without limits the fleet earns 0.9 of the value, two of three engines that
# decode are replaced by engines that prefill, and all engines together take 24 requests
# a second, of which each call needs up to two.
@pytest.mark.parametrize(
    ("name", "least_value"),
    [
        ("small-fleet-limits", 0.85),
        ("small-fleet-decoder-limits", 0.7),
        ("small-fleet-all-limited", 0.35),
    ],
)
def test_limits_of_engines_hold_and_leave_service(
    name: str, least_value: float
) -> None:
    scenario = GATEWAY_SCENARIOS[name]
    run = GatewayRun(scenario, seed=1)
    run.simulate()
    limits = scenario.limits
    assert limits is not None
    limited = [item for item in run.state.engines.values() if item.limit is not None]
    assert len(limited) == limits.decoders + limits.prefill_engines
    for engine in limited:
        most = count_most_limited(engine.arrivals_s, limits.from_s)
        assert most <= count_allowed(limits.rate)
    assert summarize(name, scenario.gateways).value >= least_value
