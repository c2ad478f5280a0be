"""Level, noise and persistence of the prefill share of the demand."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from statistics import fmean, median, pstdev
from typing import Final

from bramleyport.planning._base import DemandSample, EngineCosts
from bramleyport.planning._capacity import Demand, compute_decode_token_s

LEVEL_SAMPLES: Final = 4
MIN_SAMPLES: Final = 4
# Scales the median absolute difference of successive samples to a standard
# deviation: 1.4826 for the median, and the square root of 2 for the difference.
MEDIAN_TO_DEVIATION: Final = 1.4826 / 2**0.5
DEFAULT_PERSISTENCE_S: Final = 120.0
MAX_PERSISTENCE_S: Final = 300.0
MIN_BAND: Final = 0.02
# Under constant demand the largest difference between the levels of two windows is
# about five standard deviations of a window's level.
SHIFT_DEVIATIONS: Final = 6.0
# While a cache fills, the share changes by about a tenth.
MIN_SHIFT: Final = 0.15


@dataclass(frozen=True, slots=True, kw_only=True)
class Trend:
    """Describe the current demand, the noise of its share and its persistence."""

    engine_seconds: float
    short_s: float
    share: float
    noise: float
    persistence_s: float
    # Whether the share changed by more than its noise within the samples.
    shifted: bool

    def compute_demand(self, share: float, costs: EngineCosts) -> Demand:
        """Return the demand of the same volume with the given prefill share."""
        share = min(1.0, max(0.0, share))
        return Demand(
            prefill=self.engine_seconds * share,
            decode_tokens=self.engine_seconds
            * (1 - share)
            / compute_decode_token_s(costs),
        )


def measure_trend(
    samples: Sequence[DemandSample], costs: EngineCosts, now_s: float
) -> Trend | None:
    """Return the trend, or None with too few samples."""
    samples = [s for s in samples if _to_demand(s, costs).engine_seconds(costs) > 0]
    if len(samples) < MIN_SAMPLES:
        return None
    demands = [_to_demand(s, costs) for s in samples]
    recent = demands[-LEVEL_SAMPLES:]
    total = fmean(d.engine_seconds(costs) for d in recent)
    share = fmean(d.prefill for d in recent) / total
    shares = [d.prefill / d.engine_seconds(costs) for d in demands]
    differences = [abs(b - a) for a, b in pairwise(shares)]
    noise = median(differences) * MEDIAN_TO_DEVIATION / LEVEL_SAMPLES**0.5
    times = [s.at_s for s in samples]
    return Trend(
        engine_seconds=total,
        short_s=fmean(s.short_s_per_s for s in samples[-LEVEL_SAMPLES:]),
        share=share,
        noise=noise,
        persistence_s=_estimate_persistence(times, shares, noise, now_s),
        shifted=_has_shifted(shares, noise),
    )


def _to_demand(sample: DemandSample, costs: EngineCosts) -> Demand:
    return Demand(
        prefill=sample.prefill_s_per_s,
        decode_tokens=sample.decode_s_per_s * costs.decode_tokens_per_s,
    )


def _has_shifted(shares: Sequence[float], noise: float) -> bool:
    size = LEVEL_SAMPLES
    levels = [fmean(shares[i : i + size]) for i in range(len(shares) - size + 1)]
    band = max(MIN_SHIFT, SHIFT_DEVIATIONS * noise)
    return any(abs(level - levels[-1]) > band for level in levels)


def _estimate_persistence(
    times: Sequence[float], shares: Sequence[float], noise: float, now_s: float
) -> float:
    """Return how long the share is expected to stay above or below its midpoint.

    This is the time left of the mean interval between past crossings. After that
    interval, it is the time by which the interval has been exceeded. It is at least the
    standard deviation of the intervals: uneven ones do not end at their mean.
    """
    midpoint = (max(shares) + min(shares)) / 2
    band = max(MIN_BAND, 2 * noise * LEVEL_SAMPLES**0.5)
    crossings: list[float] = []
    side = 0
    for at_s, share in zip(times, shares, strict=True):
        current_side = (share > midpoint + band) - (share < midpoint - band)
        if current_side and current_side != side:
            if side:
                crossings.append(at_s)
            side = current_side
    if len(crossings) < 3:
        return DEFAULT_PERSISTENCE_S
    intervals_s = [end_s - begin_s for begin_s, end_s in pairwise(crossings)]
    mean_s = fmean(intervals_s)
    difference_s = abs(now_s - crossings[-1] - mean_s)
    return min(MAX_PERSISTENCE_S, max(difference_s, pstdev(intervals_s)))
