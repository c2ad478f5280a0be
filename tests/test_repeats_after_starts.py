"""Guard the bound on repeats against processes that start without what they made."""

from random import Random

import pytest

from bramleyport.core import ProcessId
from bramleyport.fleet import GatewayRoster
from bramleyport.retries import (
    USABLE_FRACTION,
    RepeatBudget,
    find_usable_fraction,
    find_usable_share,
)

WINDOW_S = 10.0
RATIO, EXTRA = 0.2, 52.0
GATEWAYS = 4
STEP_S = 0.05
DOWN_S = 0.65
CALM_S, PLAYED_S = 25.0, 60.0


class Gateway:
    """Represent a gateway that repeats each call for which it may."""

    def __init__(self, name: str, replaced_s: float) -> None:
        self.name = ProcessId(name)
        self.replaced_s = replaced_s
        self.budget = RepeatBudget(RATIO, EXTRA, WINDOW_S)
        self.roster = GatewayRoster(self.name)
        self.up_from_s = replaced_s

    def hear(self, others: list["Gateway"], now_s: float) -> None:
        self.roster.record_listed([item.name for item in others], now_s)
        for other in others:
            if other is not self and other.up_from_s <= now_s:
                self.roster.record_heard(other.name, now_s)
                self.roster.record_started(other.name, other.replaced_s)

    def take(self, now_s: float) -> bool:
        others = self.roster.count_new(now_s - WINDOW_S)
        usable = find_usable_share(
            now_s - self.replaced_s, WINDOW_S, 1 + others, len(self.roster.gateways)
        )
        return self.budget.take(now_s, self.roster.count, usable)


def play(
    seed: int, killed: int, kills_s: list[float], *, same: bool = False
) -> tuple[float, int]:
    """Return the largest excess over the bound, and the repeats in all.

    Each time the same gateways are killed, or others.
    """
    random = Random(seed)
    gateways = [Gateway(f"g{number}", -100.0) for number in range(GATEWAYS)]
    requests: list[float] = []
    repeats: list[float] = []
    now_s = 0.0
    kills = list(kills_s)
    while now_s < PLAYED_S:
        if kills and now_s >= kills[0]:
            kills.pop(0)
            found = range(killed) if same else random.sample(range(GATEWAYS), killed)
            for index in found:
                gateways[index] = Gateway(f"g{index}", now_s + DOWN_S)
        up = [item for item in gateways if item.up_from_s <= now_s]
        for gateway in up:
            gateway.hear(gateways, now_s)
        requests.append(now_s)
        if up:
            gateway = random.choice(up)
            gateway.budget.record_request(now_s)
            if gateway.take(now_s):
                repeats.append(now_s)
        now_s += STEP_S
    return max(find_excess(at_s, requests, repeats) for at_s in repeats), len(repeats)


def find_excess(begin_s: float, requests: list[float], repeats: list[float]) -> float:
    """Return by how much the window from a moment on exceeds the bound."""
    counted = max(
        count(requests, begin_s - back_s) for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
    )
    return count(repeats, begin_s) - (RATIO * counted + EXTRA)


def count(times_s: list[float], begin_s: float) -> int:
    return sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s)


# Guards against processes that have their whole shares of repeats again, just as those
# have used them that they take the place of.
@pytest.mark.parametrize("killed", [1, 2, 4])
@pytest.mark.parametrize("kill_s", [0.5, 2.0, 5.0, 9.0])
def test_gateways_that_start_keep_to_the_bound_with_those_they_replace(
    killed: int, kill_s: float
) -> None:
    excess, repeats = play(1, killed, [CALM_S + kill_s])
    assert excess <= 0
    # A bound that nobody may use would be kept, too.
    usual = play(1, killed, [])[1]
    assert repeats >= usual / 2


# Guards against processes of the same gateways that each have a share for their short
# lives: what the others leave unused pays for one of them.
@pytest.mark.parametrize("same", [False, True])
@pytest.mark.parametrize("killed", [1, 2, 4])
@pytest.mark.parametrize("interval_s", [0.7, 2.0, 4.5])
def test_gateways_that_start_again_and_again_keep_to_the_bound(
    interval_s: float, killed: int, same: bool
) -> None:
    kills = int((PLAYED_S - CALM_S) / interval_s)
    kills_s = [CALM_S + number * interval_s for number in range(kills)]
    excess, repeats = play(2, killed, kills_s, same=same)
    assert excess <= 0
    # The gateways that live on repeat calls as usual.
    steady = (GATEWAYS - killed) / GATEWAYS if same else 0.0
    assert repeats >= steady * play(2, killed, [])[1] / 2


# Guards against a fleet that has few repeats whenever single gateways start.
def test_gateway_that_starts_beside_others_has_its_whole_share() -> None:
    assert find_usable_fraction(1, GATEWAYS) == pytest.approx(USABLE_FRACTION)
    assert find_usable_fraction(GATEWAYS, GATEWAYS) <= 1 - USABLE_FRACTION + 1e-9
