"""Learn how fast engines read prompts."""

from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import Stage

# Assumed until engines have been observed, in seconds per token.
FIRST_GUESS_S: Final = {Stage.PREFILL: 1 / 50_000, Stage.DECODE: 1 / 25_000}
# Time to the first token beside reading, in seconds.
OVERHEAD_S: Final = 0.02
# Shorter readings say more of the overhead than of the speed.
MIN_TOKENS: Final = 1500
STAGE_WEIGHT: Final = 0.1
UPSTREAM_WEIGHT: Final = 0.25
# Bounds of the correction for one engine, so that one outlier doesn't exclude it.
SLOWEST: Final = 20.0
FASTEST: Final = 0.5


class ReadSpeeds:
    """Estimate the time that each engine needs to read tokens."""

    def __init__(self) -> None:
        self._per_token_s = dict(FIRST_GUESS_S)
        self._factors: dict[UpstreamId, float] = {}

    def forecast(self, upstream: UpstreamId, stage: Stage, tokens: int) -> float:
        """Return the seconds that reading takes on an engine that does nothing else."""
        per_token_s = self._per_token_s[stage] * self._factors.get(upstream, 1.0)
        return OVERHEAD_S + tokens * per_token_s

    def record(
        self, upstream: UpstreamId, stage: Stage, tokens: int, took_s: float
    ) -> None:
        """Take the time of a reading that waited for no other."""
        if tokens < MIN_TOKENS or took_s <= 0:
            return
        observed_s = max(took_s - OVERHEAD_S, took_s / 2) / tokens
        typical_s = self._per_token_s[stage]
        factor = min(SLOWEST, max(FASTEST, observed_s / typical_s))
        known = self._factors.get(upstream, 1.0)
        self._factors[upstream] = known + UPSTREAM_WEIGHT * (factor - known)
        if factor < 2.0:
            self._per_token_s[stage] += STAGE_WEIGHT * (observed_s - typical_s)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the correction of an engine that is gone or has started again."""
        self._factors.pop(upstream, None)
