"""How much work a mix of roles serves within the time between tokens."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import EngineRole
from bramleyport.planning._base import EngineCosts

BISECTIONS: Final = 24
MAX_FACTOR: Final = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """Count the engines of a pool by role."""

    prefill: int = 0
    decode: int = 0
    mixed: int = 0

    @property
    def total(self) -> int:
        """Return the number of engines."""
        return self.prefill + self.decode + self.mixed

    def move(self, source: EngineRole, target: EngineRole, count: int) -> "Mix | None":
        """Return the mix after a move, or None if the source has too few."""
        counts = {role: getattr(self, role.value) for role in EngineRole}
        counts[source] -= count
        counts[target] += count
        if counts[source] < 0:
            return None
        return Mix(**{role.value: number for role, number in counts.items()})


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Hold demand as prefill engine seconds and decode tokens per second."""

    prefill: float
    decode_tokens: float

    def engine_seconds(self, costs: EngineCosts) -> float:
        """Return the engine seconds per second that the demand takes."""
        return self.prefill + self.decode_tokens * decode_token_s(costs)


def decode_token_s(costs: EngineCosts) -> float:
    """Return the engine seconds of one decode token in a full batch."""
    return costs.stream_step_s + costs.step_base_s / costs.max_streams


def serve_factor(mix: Mix, demand: Demand, costs: EngineCosts) -> float:
    """Return the multiple of the demand that the mix serves in time."""
    if demand.prefill <= 0 and demand.decode_tokens <= 0:
        return MAX_FACTOR
    low, high = 0.0, MAX_FACTOR
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _serves(mix, demand, middle, costs):
            low = middle
        else:
            high = middle
    return low


def _serves(mix: Mix, demand: Demand, factor: float, costs: EngineCosts) -> bool:
    prefill = factor * demand.prefill - mix.prefill * _prefill_capacity(costs)
    tokens = factor * demand.decode_tokens - mix.decode * _decode_capacity(costs)
    if prefill <= 0 and tokens <= 0:
        return True
    if mix.mixed == 0:
        return False
    return _fits_mixed(
        max(0.0, prefill) / mix.mixed, max(0.0, tokens) / mix.mixed, costs
    )


def _prefill_capacity(costs: EngineCosts) -> float:
    chunk_s = costs.prefill_role_chunk_tokens / costs.prefill_tokens_per_s
    return chunk_s / (chunk_s + costs.step_base_s)


def _decode_capacity(costs: EngineCosts) -> float:
    streams = costs.decode_role_streams
    return streams / (costs.step_base_s + costs.stream_step_s * streams)


def _fits_mixed(prefill: float, tokens: float, costs: EngineCosts) -> bool:
    """Return whether one mixed engine keeps the time between tokens.

    Each step costs its base, so the steps per second must suffice for the time
    between tokens, for the batch limit and for one prefill chunk per step.
    """
    chunk_s = costs.prefill_chunk_tokens / costs.prefill_tokens_per_s
    steps = max(tokens / costs.max_streams, prefill / chunk_s)
    if tokens > 0:
        steps = max(steps, 1 / costs.between_tokens_s)
    return prefill + costs.stream_step_s * tokens + costs.step_base_s * steps <= 1
