"""Guard what many gateways lose against one that knows all that is sent."""

from dataclasses import replace

import pytest

from bramleyport.bench._gateways_report import GatewaySummary, run_gateways
from bramleyport.bench._gateways_run import GatewayRun
from bramleyport.bench._gateways_scenario import GATEWAY_SCENARIOS, GatewayScenario

# Full runs take a minute; the pattern shows in the first seconds.
SHORT_S = 6.0
# A view of its own may cost a gateway this part of what one that knows all earns.
MAX_REGRET = 0.08


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, scenario in GATEWAY_SCENARIOS.items():
        surges = tuple(
            replace(surge, start_s=1.0, end_s=4.0) for surge in scenario.surges
        )
        changed = replace(scenario, duration_s=SHORT_S, surges=surges)
        monkeypatch.setitem(GATEWAY_SCENARIOS, name, changed)


def play(name: str, gateways: int) -> GatewaySummary:
    return run_gateways(name, gateways, seed=1)


@pytest.mark.parametrize("name", ["long-prompts", "long-prompts-flood"])
def test_gateways_that_see_little_earn_nearly_as_much_as_one(
    short: None, name: str
) -> None:
    # Pattern: 40 choosers or more each send long prompts to the engine that looked idle
    # a quarter of a second ago, and all moves over one link.
    whole = play(name, 1)
    many = play(name, 40)
    assert many.value >= whole.value * (1 - MAX_REGRET)


def test_urgent_calls_are_served_best_when_slots_are_held(short: None) -> None:
    # Pattern: long answers hold slots while a flood of short ones queues.
    summary = play("held-slots-flood", 20)
    note, classify = summary.mixes
    assert note.in_time >= classify.in_time
    assert note.failed == 0


def test_news_of_a_gateway_do_not_grow_with_the_gateways(short: None) -> None:
    few = play("long-prompts", 30)
    many = play("long-prompts", 90)
    assert many.sent_kb_per_s < 2 * few.sent_kb_per_s


def test_run_is_the_same_for_the_same_seed(short: None) -> None:
    assert play("long-prompts", 8) == play("long-prompts", 8)


def test_every_call_ends(short: None) -> None:
    scenario: GatewayScenario = GATEWAY_SCENARIOS["long-prompts-loss"]
    run = GatewayRun(scenario.with_gateways(10), seed=3)
    run.play()
    for outcome in run.world.outcomes.values():
        ended = outcome.in_time + outcome.late + outcome.refused + outcome.failed
        assert ended == outcome.calls
