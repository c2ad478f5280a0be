"""Estimate the prefill speeds of engines from observed times."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import Stage

# Seconds per token that are assumed until engines have been observed.
INITIAL_TOKEN_S: Final = {Stage.PREFILL: 1 / 45_000, Stage.DECODE: 1 / 22_000}
# Each token attends to those before it. At this many tokens of context, attention takes
# as long as the rest of the work on a token.
ATTENTION_TOKENS: Final = 60_000
# Time to the first token in addition to prefill that is assumed until it is observed.
INITIAL_OVERHEAD_S: Final = 0.015
# Part of the overhead, at most, for which the engine prefills no other prompt: between
# two prompts it schedules, and generates tokens for calls that decode.
MAX_BUSY_OVERHEAD_S: Final = 0.015
# A prompt has begun to be answered within this time on any idle engine.
MAX_OVERHEAD_S: Final = 0.25
# Samples over which the overhead is averaged.
OVERHEAD_SAMPLES: Final = 100
# Spread of the costs of prompts, relative to their mean, from which samples show how
# much of the observed times is overhead.
MIN_RELATIVE_SPREAD: Final = 0.3
# Cheaper prompts say little of an engine's speed, or of the overhead.
MIN_SAMPLE_COST: Final = 800
MIN_OVERHEAD_COST: Final = 100
# Smallest fraction of an observed time that counts as prefill.
MIN_PREFILL_FRACTION: Final = 0.1
# Samples over which the estimate of a stage is averaged.
SETTLED_SAMPLES: Final = 30
# Weight of the newest sample in the moving mean of an engine's correction factor.
UPSTREAM_WEIGHT: Final = 0.15
# Bounds of the correction factor of an engine, so that an outlier doesn't exclude it.
MAX_TIME_FACTOR: Final = 10.0
MIN_TIME_FACTOR: Final = 0.5
# A sample slower by this factor reflects its engine, not the stage.
OUTLIER_FACTOR: Final = 2.5


def compute_prefill_cost(uncached: int, total: int) -> float:
    """Return the cost of the last tokens of a prompt, in tokens without context."""
    context = total - uncached / 2
    return uncached * (1 + context / ATTENTION_TOKENS)


class _Overhead:
    """Estimate the fixed part of prefill times by a regression on their forecasts.

    Without it, an engine that only gets short prompts would seem slow, get no others,
    and stay idle, while the engines known as fast are overrun.
    """

    def __init__(self) -> None:
        self.seconds = INITIAL_OVERHEAD_S
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._cost = 0.0
        self._cost_squared = 0.0

    def record(self, cost: float, work_s: float, elapsed_s: float) -> None:
        """Record the cost, the forecast without overhead, and the observed time."""
        keep = 1 - 1 / OVERHEAD_SAMPLES
        # Errors are about proportional to the times.
        weight = 1 / (work_s + self.seconds) ** 2
        self._weight = keep * self._weight + weight
        self._x = keep * self._x + weight * work_s
        self._y = keep * self._y + weight * elapsed_s
        self._xx = keep * self._xx + weight * work_s * work_s
        self._xy = keep * self._xy + weight * work_s * elapsed_s
        self._cost = keep * self._cost + weight * cost
        self._cost_squared = keep * self._cost_squared + weight * cost * cost
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        variance = self._xx / self._weight - mean_x**2
        if not self._is_spread() or variance <= 0:
            return
        slope = (self._xy / self._weight - mean_x * mean_y) / variance
        found_s = mean_y - slope * mean_x
        bounded_s = min(MAX_OVERHEAD_S, max(0.0, found_s))
        self.seconds += (bounded_s - self.seconds) / SETTLED_SAMPLES

    def _is_spread(self) -> bool:
        mean = self._cost / self._weight
        variance = self._cost_squared / self._weight - mean**2
        return variance > (MIN_RELATIVE_SPREAD * mean) ** 2


@dataclass(slots=True)
class _StageSpeed:
    per_token_s: float
    # Each sample counts by how much it says of the speed.
    samples: float = 0.0


class PrefillSpeeds:
    """Estimate the time that each engine needs to prefill prompts."""

    def __init__(self) -> None:
        self._stages = {
            stage: _StageSpeed(initial_s)
            for stage, initial_s in INITIAL_TOKEN_S.items()
        }
        # Prefill time of each engine relative to the estimate of its stage.
        self._factors: dict[UpstreamId, float] = {}
        self._overhead = _Overhead()

    @property
    def overhead_s(self) -> float:
        """Return the time to a first token in addition to waiting and prefill.

        The engine prefills other prompts meanwhile.
        """
        return max(0.0, self._overhead.seconds - MAX_BUSY_OVERHEAD_S)

    def forecast(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float
    ) -> float:
        """Return the seconds for which prefill occupies an engine."""
        busy_s = min(MAX_BUSY_OVERHEAD_S, self._overhead.seconds)
        return busy_s + self._forecast_work(upstream, stage, prefill_cost)

    def _forecast_work(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float
    ) -> float:
        factor = self._factors.get(upstream, 1.0)
        return prefill_cost * self._stages[stage].per_token_s * factor

    def record(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float, elapsed_s: float
    ) -> None:
        """Record the time in which an engine prefilled prompts of some cost."""
        if prefill_cost < MIN_OVERHEAD_COST or elapsed_s <= 0:
            return
        speed = self._stages[stage]
        expected_s = self._overhead.seconds + prefill_cost * speed.per_token_s
        is_usual = elapsed_s < OUTLIER_FACTOR * expected_s
        if is_usual or speed.samples < SETTLED_SAMPLES:
            work_s = self._forecast_work(upstream, stage, prefill_cost)
            self._overhead.record(prefill_cost, work_s, elapsed_s)
        if prefill_cost >= MIN_SAMPLE_COST:
            self._record_speed(upstream, speed, prefill_cost, elapsed_s)

    def _record_speed(
        self,
        upstream: UpstreamId,
        speed: _StageSpeed,
        prefill_cost: float,
        elapsed_s: float,
    ) -> None:
        overhead_s = self._overhead.seconds
        prefill_s = max(elapsed_s - overhead_s, MIN_PREFILL_FRACTION * elapsed_s)
        # The more of the time is overhead, the less it says of the speed.
        trust = prefill_s / (prefill_s + overhead_s)
        observed_s = prefill_s / prefill_cost
        factor = min(
            MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, observed_s / speed.per_token_s)
        )
        mean_factor = self._factors.get(upstream, 1.0)
        change = trust * UPSTREAM_WEIGHT * (factor - mean_factor)
        self._factors[upstream] = mean_factor + change
        if factor < OUTLIER_FACTOR or speed.samples < SETTLED_SAMPLES:
            speed.samples += trust
            weight = trust / min(speed.samples + trust, SETTLED_SAMPLES)
            bounded_s = factor * speed.per_token_s
            speed.per_token_s += weight * (bounded_s - speed.per_token_s)

    def discard(self, upstream: UpstreamId) -> None:
        """Drop the correction of an engine that is gone or has restarted."""
        self._factors.pop(upstream, None)
