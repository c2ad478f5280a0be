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
# Time to the first token in addition to prefill.
OVERHEAD_S: Final = 0.015
# The time of cheaper prompts depends more on the overhead than on the speed.
MIN_SAMPLE_COST: Final = 800
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


@dataclass(slots=True)
class _StageSpeed:
    per_token_s: float
    samples: int = 0


class PrefillSpeeds:
    """Estimate the time that each engine needs to prefill prompts."""

    def __init__(self) -> None:
        self._stages = {
            stage: _StageSpeed(initial_s)
            for stage, initial_s in INITIAL_TOKEN_S.items()
        }
        # Prefill time of each engine relative to the estimate of its stage.
        self._factors: dict[UpstreamId, float] = {}

    def forecast(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float
    ) -> float:
        """Return the seconds that prefill takes on an otherwise idle engine."""
        per_token_s = self._stages[stage].per_token_s
        return OVERHEAD_S + prefill_cost * per_token_s * self._factors.get(
            upstream, 1.0
        )

    def record(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float, elapsed_s: float
    ) -> None:
        """Record the time in which an engine prefilled prompts of some cost."""
        if prefill_cost < MIN_SAMPLE_COST or elapsed_s <= 0:
            return
        speed = self._stages[stage]
        observed_s = max(elapsed_s - OVERHEAD_S, elapsed_s / 4) / prefill_cost
        factor = min(
            MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, observed_s / speed.per_token_s)
        )
        mean_factor = self._factors.get(upstream, 1.0)
        self._factors[upstream] = mean_factor + UPSTREAM_WEIGHT * (factor - mean_factor)
        if factor < OUTLIER_FACTOR or speed.samples < SETTLED_SAMPLES:
            speed.samples += 1
            weight = 1 / min(speed.samples + 1, SETTLED_SAMPLES)
            bounded_s = factor * speed.per_token_s
            speed.per_token_s += weight * (bounded_s - speed.per_token_s)

    def discard(self, upstream: UpstreamId) -> None:
        """Drop the correction of an engine that is gone or has restarted."""
        self._factors.pop(upstream, None)
