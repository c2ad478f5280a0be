"""How much work a mix of roles serves within the time between tokens."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import EngineRole
from bramleyport.planning._base import EngineCosts

BISECTIONS: Final = 16
SPLITS: Final = 8
MAX_FACTOR: Final = 4.0
# Routing prefers decode engines for short urgent answers, but not always: twice the
# weight of their slots is closest to the benchmark with 1 to 3 of 9 such engines.
DECODE_PREFERENCE: Final = 2.0


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


def count_at_risk(mix: Mix, demand: Demand, short: float, costs: EngineCosts) -> float:
    """Return the part of the short work whose time between tokens is broken.

    A step with a prefill chunk of a mixed engine takes longer than the tightest
    time between tokens, and a short answer has no other steps to make up for it.
    """
    chunk_s = costs.prefill_chunk_tokens / costs.prefill_tokens_per_s
    if mix.mixed == 0 or chunk_s + costs.step_base_s <= costs.between_tokens_s:
        return 0.0
    left = max(0.0, demand.prefill - mix.prefill * _prefill_capacity(costs))
    busy = min(1.0, left / (mix.mixed + mix.decode))
    decode = DECODE_PREFERENCE * mix.decode * costs.decode_role_streams
    exposed = mix.mixed * costs.max_streams
    return short * busy * exposed / (exposed + decode)


def _serves(mix: Mix, demand: Demand, factor: float, costs: EngineCosts) -> bool:
    prefill = factor * demand.prefill - mix.prefill * _prefill_capacity(costs)
    prefill = max(0.0, prefill)
    tokens = factor * demand.decode_tokens
    for step in range(SPLITS + 1):
        part = step / SPLITS
        decode = _limit_decode(part * prefill, mix.decode, costs, decode_role=True)
        mixed = _limit_decode((1 - part) * prefill, mix.mixed, costs, decode_role=False)
        if decode is not None and mixed is not None and decode + mixed >= tokens:
            return True
    return False


def _prefill_capacity(costs: EngineCosts) -> float:
    chunk_s = costs.prefill_role_chunk_tokens / costs.prefill_tokens_per_s
    return chunk_s / (chunk_s + costs.step_base_s)


def _limit_decode(
    prefill: float, engines: int, costs: EngineCosts, *, decode_role: bool
) -> float | None:
    """Return the decode tokens per second beside a prefill load, or None.

    Each step costs its base, so the steps per second must suffice for the time
    between tokens, for the batch limit and for one prefill chunk per step.
    """
    if engines == 0:
        return None if prefill > 0 else 0.0
    share = prefill / engines
    chunk = (
        costs.decode_role_chunk_tokens if decode_role else (costs.prefill_chunk_tokens)
    )
    streams = costs.decode_role_streams if decode_role else costs.max_streams
    chunk_steps = share * costs.prefill_tokens_per_s / chunk
    if share + costs.step_base_s * chunk_steps > 1:
        return None
    steps = max(1 / costs.between_tokens_s, chunk_steps)
    by_steps = (1 - share - costs.step_base_s * steps) / costs.stream_step_s
    by_batch = (1 - share) / (costs.stream_step_s + costs.step_base_s / streams)
    return engines * max(0.0, min(by_steps, by_batch))
