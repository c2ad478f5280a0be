"""Learn how fast engines read prompts."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import Stage

# Assumed until engines have been observed, in seconds per token.
FIRST_GUESS_S: Final = {Stage.PREFILL: 1 / 45_000, Stage.DECODE: 1 / 22_000}
# Each token attends to those before it: at this many tokens of context, attention takes
# as long as the rest of the work on a token.
ATTENTION_TOKENS: Final = 60_000
# Time to the first token beside reading, in seconds.
OVERHEAD_S: Final = 0.015
# Shorter readings say more of the overhead than of the speed.
MIN_SAMPLE_COST: Final = 800
# Samples after which the estimate of a stage moves slowly.
SETTLED_SAMPLES: Final = 30
UPSTREAM_WEIGHT: Final = 0.15
# Bounds of the correction for one engine, so that one outlier doesn't exclude it.
SLOWEST: Final = 10.0
FASTEST: Final = 0.5
# A sample this far off says something of its engine, nothing of the stage.
OUTLIER: Final = 2.5


def compute_prefill_cost(unread: int, total: int) -> float:
    """Return the work of reading the last tokens of a prompt, in plain tokens."""
    context = total - unread / 2
    return unread * (1 + context / ATTENTION_TOKENS)


@dataclass(slots=True)
class _StageSpeed:
    per_token_s: float
    samples: int = 0


class PrefillSpeeds:
    """Estimate the time that each engine needs to read prompts."""

    def __init__(self) -> None:
        self._stages = {
            stage: _StageSpeed(guess_s) for stage, guess_s in FIRST_GUESS_S.items()
        }
        self._factors: dict[UpstreamId, float] = {}

    def forecast(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float
    ) -> float:
        """Return the seconds that reading takes on an engine that does nothing else."""
        per_token_s = self._stages[stage].per_token_s
        return OVERHEAD_S + prefill_cost * per_token_s * self._factors.get(
            upstream, 1.0
        )

    def record(
        self, upstream: UpstreamId, stage: Stage, prefill_cost: float, elapsed_s: float
    ) -> None:
        """Take the time for which an engine read one prompt."""
        if prefill_cost < MIN_SAMPLE_COST or elapsed_s <= 0:
            return
        speed = self._stages[stage]
        observed_s = max(elapsed_s - OVERHEAD_S, elapsed_s / 4) / prefill_cost
        factor = min(SLOWEST, max(FASTEST, observed_s / speed.per_token_s))
        known = self._factors.get(upstream, 1.0)
        self._factors[upstream] = known + UPSTREAM_WEIGHT * (factor - known)
        if factor < OUTLIER or speed.samples < SETTLED_SAMPLES:
            speed.samples += 1
            weight = 1 / min(speed.samples + 1, SETTLED_SAMPLES)
            bounded_s = factor * speed.per_token_s
            speed.per_token_s += weight * (bounded_s - speed.per_token_s)

    def remove(self, upstream: UpstreamId) -> None:
        """Drop the correction of an engine that is gone or has started again."""
        self._factors.pop(upstream, None)
