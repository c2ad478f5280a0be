"""The level, noise and persistence of the ratio of prefill to decode work."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from statistics import fmean, median
from typing import Final

from bramleyport.planning._base import DemandSample, EngineCosts
from bramleyport.planning._capacity import Demand, decode_token_s

LEVEL_SAMPLES: Final = 4
MIN_SAMPLES: Final = 4
# Scales the median absolute difference of successive samples to a standard
# deviation: 1.4826 for the median, and the square root of 2 for the difference.
MEDIAN_TO_DEVIATION: Final = 1.4826 / 2**0.5
DEFAULT_STAY_S: Final = 120.0
MAX_STAY_S: Final = 300.0
MIN_BAND: Final = 0.02
# The largest of the differences between windows of constant demand is about five
# deviations of a window.
MOVED_DEVIATIONS: Final = 6.0
# A cache that fills changes the share by about a tenth.
MIN_MOVED: Final = 0.15


@dataclass(frozen=True, slots=True, kw_only=True)
class Trend:
    """Hold the present demand, the noise of its share and its expected stay."""

    engine_seconds: float
    short_s: float
    share: float
    noise: float
    stay_s: float
    # Whether the share left the band of its noise within the samples.
    moved: bool

    def demand_at(self, share: float, costs: EngineCosts) -> Demand:
        """Return the demand of the same volume at another prefill share."""
        share = min(1.0, max(0.0, share))
        return Demand(
            prefill=self.engine_seconds * share,
            decode_tokens=self.engine_seconds * (1 - share) / decode_token_s(costs),
        )


def measure_trend(
    samples: Sequence[DemandSample], costs: EngineCosts, now_s: float
) -> Trend | None:
    """Return the trend, or None while too little is known."""
    points = [(s.at_s, _to_demand(s, costs)) for s in samples]
    points = [(at, d) for at, d in points if d.engine_seconds(costs) > 0]
    if len(points) < MIN_SAMPLES:
        return None
    recent = [d for _, d in points[-LEVEL_SAMPLES:]]
    volume = fmean(d.engine_seconds(costs) for d in recent)
    share = fmean(d.prefill for d in recent) / volume
    shares = [d.prefill / d.engine_seconds(costs) for _, d in points]
    differences = [abs(b - a) for a, b in pairwise(shares)]
    noise = median(differences) * MEDIAN_TO_DEVIATION / LEVEL_SAMPLES**0.5
    times = [at for at, _ in points]
    return Trend(
        engine_seconds=volume,
        short_s=fmean(s.short_s_per_s for s in samples[-LEVEL_SAMPLES:]),
        share=share,
        noise=noise,
        stay_s=_expect_stay(times, shares, noise, now_s),
        moved=_has_moved(shares, noise),
    )


def _to_demand(sample: DemandSample, costs: EngineCosts) -> Demand:
    return Demand(
        prefill=sample.prefill_s_per_s,
        decode_tokens=sample.decode_s_per_s * costs.decode_tokens_per_s,
    )


def _has_moved(shares: Sequence[float], noise: float) -> bool:
    size = LEVEL_SAMPLES
    levels = [fmean(shares[i : i + size]) for i in range(len(shares) - size + 1)]
    band = max(MIN_MOVED, MOVED_DEVIATIONS * noise)
    return any(abs(level - levels[-1]) > band for level in levels)


def _expect_stay(
    times: Sequence[float], shares: Sequence[float], noise: float, now_s: float
) -> float:
    """Return how long the share is expected to stay on its side of its mean.

    The mean interval between past crossings is taken. A side that has lasted
    longer than that is expected to last as long again.
    """
    middle = (max(shares) + min(shares)) / 2
    band = max(MIN_BAND, 2 * noise * LEVEL_SAMPLES**0.5)
    crossings: list[float] = []
    side = 0
    for at_s, share in zip(times, shares, strict=True):
        now_side = (share > middle + band) - (share < middle - band)
        if now_side and now_side != side:
            if side:
                crossings.append(at_s)
            side = now_side
    if len(crossings) < 3:
        return DEFAULT_STAY_S
    mean_s = (crossings[-1] - crossings[0]) / (len(crossings) - 1)
    elapsed_s = now_s - crossings[-1]
    return min(MAX_STAY_S, max(mean_s - elapsed_s, elapsed_s - mean_s))
