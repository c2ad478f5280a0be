"""Scenarios of the policy benchmark: load over time, faults and fleet sizes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Rank

LANGUAGE_WORKERS: Final = 9
PLAIN_WORKERS: Final = 3
ZONES: Final = ("lk-west-a", "lk-west-b", "lk-west-c")
# Fraction of the duration by number of fleets: large fleets need less time for the
# same number of requests.
SCALED_DURATION_S: Final = {1: 1.0, 10: 0.25, 100: 0.05}

TimeFunction = Callable[[float], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Describe engines that go out of service at some time."""

    at_s: float
    kind: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Describe the load and the faults of one run.

    The load is the work that arrives, in engine seconds per second and engine, computed
    for full batches and without cached prefixes. The prefill share is the fraction of
    that work that is prefill.
    """

    name: str
    duration_s: float
    prefill_share: TimeFunction
    load: Callable[[Rank, float], float]
    faults: tuple[Fault, ...] = ()
    report_lag_s: float = 0.5
    cache_event_loss: float = 0.0
    overload: tuple[float, float] | None = None

    def shorten(self, scale: int) -> float:
        """Return the shortened duration of a run with the given number of fleets."""
        return self.duration_s * SCALED_DURATION_S.get(scale, 1.0)


RANK_FRACTIONS: Final = {Rank.URGENT: 0.25, Rank.STANDARD: 0.45, Rank.BATCH: 0.30}
STEADY_LOAD: Final = 0.7
PEAK_LOAD: Final = 0.9
STEADY_SHARE: Final = 0.4
FLOOD_FACTOR: Final = 5.0
# Twice the time to detect a need for a role change, drain the engine and change its
# role: a controller that follows every turn of the load finishes as the next begins.
SAWTOOTH_PERIOD_S: Final = 60.0


def _constant_share(prefill_share: float) -> TimeFunction:
    return lambda _: prefill_share


def _swing_share(now_s: float) -> float:
    """Return a share that rises from 20 % to 80 % in 180 s and falls back later."""
    if now_s < 60:
        return 0.2
    if now_s < 240:
        return 0.2 + 0.6 * (now_s - 60) / 180
    if now_s < 330:
        return 0.8
    if now_s < 510:
        return 0.8 - 0.6 * (now_s - 330) / 180
    return 0.2


def _sawtooth_share(now_s: float) -> float:
    return 0.2 + 0.6 * (now_s % SAWTOOTH_PERIOD_S) / SAWTOOTH_PERIOD_S


def _constant_load(level: float) -> Callable[[Rank, float], float]:
    return lambda rank, _: level * RANK_FRACTIONS[rank]


def _flood_load(
    *windows: tuple[Rank, float, float],
) -> Callable[[Rank, float], float]:
    def load(rank: Rank, now_s: float) -> float:
        flooded = any(r is rank and a <= now_s < b for r, a, b in windows)
        return STEADY_LOAD * RANK_FRACTIONS[rank] * (FLOOD_FACTOR if flooded else 1.0)

    return load


_ALL: Final = (
    Scenario(
        name="steady",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_constant_load(STEADY_LOAD),
    ),
    Scenario(
        name="swing",
        duration_s=570,
        prefill_share=_swing_share,
        load=_constant_load(PEAK_LOAD),
    ),
    Scenario(
        name="sawtooth",
        duration_s=360,
        prefill_share=_sawtooth_share,
        load=_constant_load(PEAK_LOAD),
    ),
    Scenario(
        name="flood_batch",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_flood_load((Rank.BATCH, 60, 180)),
        overload=(60, 180),
    ),
    Scenario(
        name="flood_urgent",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_flood_load((Rank.URGENT, 60, 180)),
        overload=(60, 180),
    ),
    Scenario(
        name="flood_both",
        duration_s=360,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_flood_load((Rank.BATCH, 60, 160), (Rank.URGENT, 160, 260)),
        overload=(60, 260),
    ),
    Scenario(
        name="engine_withdrawn",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_constant_load(PEAK_LOAD),
        faults=(Fault(at_s=120, kind="withdraw_engine"),),
    ),
    Scenario(
        name="zone_lost",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_constant_load(STEADY_LOAD),
        faults=(Fault(at_s=120, kind="lose_zone"),),
    ),
    Scenario(
        name="stale_reports",
        duration_s=240,
        prefill_share=_constant_share(STEADY_SHARE),
        load=_constant_load(STEADY_LOAD),
        report_lag_s=10.0,
        cache_event_loss=0.2,
    ),
)
SCENARIOS: Final = {scenario.name: scenario for scenario in _ALL}
