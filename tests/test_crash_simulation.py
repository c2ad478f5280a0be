"""Guard what any number of gateways learn of prompts on which engines crash."""

from random import Random

import pytest

from tests.crash_bound import MAX_LATE_ARRIVALS
from tests.crash_simulation import STABLE_S, CrashSimulation

# Crashes that a request which was answered all the time may break before a verdict.
REPEATED_CRASHES = 3


def make_simulation(seed: int, gateways: int, loss: float) -> CrashSimulation:
    simulation = CrashSimulation(Random(seed), loss, engine_count=20)
    for number in range(gateways):
        simulation.start_gateway(f"g{number}")
    return simulation


# Guards against bounds that hold for a few gateways, or while no message is lost.
@pytest.mark.parametrize("loss", [0.0, 0.1, 0.5])
@pytest.mark.parametrize("gateways", [5, 24, 68, 300])
def test_any_number_of_gateways_withholds_deadly_prompts(
    gateways: int, loss: float
) -> None:
    simulation = make_simulation(1, gateways, loss)
    simulation.run(10.0)
    simulation.begin_deadly()
    simulation.run(40.0)
    print(f"{len(simulation.crashes)} crashes, {simulation.count_late_sends()} late")
    assert simulation.count_late_sends() <= MAX_LATE_ARRIVALS
    assert simulation.compute_sound_sent() >= 0.5


# Guards against refusing sound requests that callers repeat, since they were running at
# engines that crashed for other causes, which the gateways learn at once or later.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("confirm_s", [0.01, 1.0])
@pytest.mark.parametrize("gateways", [5, 24])
def test_repeated_sound_requests_are_served_while_engines_crash(
    gateways: int, confirm_s: float, seed: int
) -> None:
    simulation = make_simulation(seed, gateways, 0.1)
    simulation.sound_requests = 8
    simulation.confirm_s = confirm_s
    # Each gateway has each request answered several times.
    simulation.run(60.0)
    simulation.repeat_crashes(2.0)
    simulation.run(90.0)
    sent = simulation.compute_sound_sent()
    print(f"{len(simulation.verdicts)} verdicts; {sent:.3f} of sound prompts sent")
    early = [item for item in simulation.verdicts if item.crashes < REPEATED_CRASHES]
    assert early == []
    assert sent >= 0.5


# Guards against gateways that start, or start again, and try each deadly prompt anew.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gateways", [5, 24, 68])
def test_gateways_that_start_withhold_deadly_prompts(gateways: int, seed: int) -> None:
    simulation = make_simulation(seed, gateways, 0.1)
    simulation.run(10.0)
    simulation.begin_deadly()
    for number in range(20):
        simulation.run(15.0 + number)
        name = f"g{simulation.random.randrange(gateways)}"
        if name in simulation.gateways and simulation.random.random() < 0.7:
            simulation.kill_gateway(name)
        else:
            name = f"n{number}"
        simulation.start_gateway(name)
    simulation.run(50.0)
    print(f"{len(simulation.crashes)} crashes, {simulation.count_late_sends()} late")
    assert simulation.count_late_sends() <= MAX_LATE_ARRIVALS
    assert simulation.compute_sound_sent() >= 0.5
    assert simulation.list_blamed() == set()


# Guards against groups of gateways of which each learns from crashes of its own only;
# what they send while they are cut off from each other is beyond their reach.
@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_were_cut_off_learn_from_the_others(seed: int) -> None:
    simulation = make_simulation(seed, 24, 0.1)
    for gateway in list(simulation.gateways.values())[:8]:
        gateway.group = 1
    simulation.run(10.0)
    simulation.begin_deadly()
    simulation.run(20.0)
    for gateway in simulation.gateways.values():
        gateway.group = 0
    simulation.run(20.0 + STABLE_S)
    sends = len(simulation.deadly_sends)
    simulation.run(50.0)
    print(f"{len(simulation.crashes)} crashes, {simulation.count_late_sends()} late")
    assert len(simulation.deadly_sends) - sends <= MAX_LATE_ARRIVALS


# Guards against a gateway that starts, gets reports of crashes, and blames the parts
# that all others answer prompts with: sound prompts would find it refusing for good.
@pytest.mark.parametrize("seed", range(5))
def test_gateway_that_starts_blames_no_part_that_others_answer(seed: int) -> None:
    simulation = make_simulation(seed, 4, 0.0)
    simulation.run(10.0)
    simulation.begin_deadly()
    simulation.run(20.0)
    for engine in simulation.engines[:4]:
        simulation.crash_engine(engine)
    simulation.run(21.0)
    simulation.kill_gateway("g0")
    simulation.start_gateway("g0")
    simulation.run(22.0)
    assert simulation.list_blamed() == set()
