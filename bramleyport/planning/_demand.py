"""Demand of a pool, computed from the counters of its agents."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from bramleyport.core import EngineLoad, UpstreamId, Work
from bramleyport.planning._base import DemandSample, EngineCosts

MAX_SHORT_TOKENS: Final = 128
HISTORY_SAMPLES: Final = 120
MIN_INTERVAL_S: Final = 1.0
MS_PER_S: Final = 1000.0


def is_short_answer(work: Work, costs: EngineCosts) -> bool:
    """Return whether a single step with a prefill chunk makes an answer late."""
    chunk_s = costs.prefill_chunk_tokens / costs.prefill_tokens_per_s
    return (
        work.max_output_tokens <= MAX_SHORT_TOKENS
        and work.targets.between_tokens_s < costs.step_base_s + chunk_s
    )


def compute_token_cost(costs: EngineCosts) -> float:
    """Return the engine seconds of one decode token in a full batch."""
    return costs.stream_step_s + costs.step_base_s / costs.max_streams


@dataclass(frozen=True, slots=True)
class _Total:
    prefill_ms: int
    decode_ms: int
    short_ms: int


class DemandMeter:
    """Track the cumulative counters of agents and sample demand from them."""

    def __init__(self, history: int = HISTORY_SAMPLES) -> None:
        self._history = history
        self._totals: dict[UpstreamId, _Total] = {}
        self._samples: list[DemandSample] = []
        self._read_s: float | None = None

    def read(
        self, loads: Mapping[UpstreamId, EngineLoad], now_s: float
    ) -> tuple[DemandSample, ...]:
        """Return the samples, with a new one once the minimum interval has passed."""
        if self._read_s is None:
            self._read_s = now_s
            self._totals = {name: _make_total(load) for name, load in loads.items()}
        interval_s = now_s - self._read_s
        if interval_s >= MIN_INTERVAL_S:
            self._samples.append(self._sample(loads, now_s, interval_s))
            del self._samples[: -self._history]
            self._read_s = now_s
        return tuple(self._samples)

    def _sample(
        self, loads: Mapping[UpstreamId, EngineLoad], now_s: float, interval_s: float
    ) -> DemandSample:
        prefill_ms = decode_ms = short_ms = 0
        totals: dict[UpstreamId, _Total] = {}
        for upstream, load in loads.items():
            total = totals[upstream] = _make_total(load)
            # The totals of an upstream seen for the first time include earlier
            # intervals, and a restarted agent counts from 0 again. Neither counts as
            # demand of this interval.
            before = self._totals.get(upstream, total)
            prefill_ms += max(0, total.prefill_ms - before.prefill_ms)
            decode_ms += max(0, total.decode_ms - before.decode_ms)
            short_ms += max(0, total.short_ms - before.short_ms)
        self._totals = totals
        return DemandSample(
            at_s=now_s,
            prefill_s_per_s=prefill_ms / MS_PER_S / interval_s,
            decode_s_per_s=decode_ms / MS_PER_S / interval_s,
            short_s_per_s=short_ms / MS_PER_S / interval_s,
        )


def _make_total(load: EngineLoad) -> _Total:
    return _Total(
        load.offered_prefill_ms, load.offered_decode_ms, load.offered_short_ms
    )
