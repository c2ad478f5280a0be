"""Model of the work that a mix of engine roles serves within its targets."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import EngineRole
from bramleyport.planning._base import EngineCosts

BISECTION_STEPS: Final = 16
SPLIT_STEPS: Final = 8
MAX_FACTOR: Final = 4.0
# Weight of a slot of a decode engine in the routing of short urgent answers. Routing
# prefers decode engines, but not always; with 1 to 3 decode engines of 9, twice the
# weight agrees best with the benchmark.
DECODE_PREFERENCE: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleCounts:
    """Count the engines of a pool by role."""

    prefill: int = 0
    decode: int = 0
    mixed: int = 0

    @property
    def total(self) -> int:
        """Return the number of engines."""
        return self.prefill + self.decode + self.mixed

    def reassign(
        self, source: EngineRole, target: EngineRole, count: int
    ) -> "RoleCounts | None":
        """Return the counts after a role change, or None with too few engines."""
        counts = {role: getattr(self, role.value) for role in EngineRole}
        counts[source] -= count
        counts[target] += count
        if counts[source] < 0:
            return None
        return RoleCounts(**{role.value: number for role, number in counts.items()})


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Describe demand as prefill engine seconds and decode tokens per second."""

    prefill: float
    decode_tokens: float

    def engine_seconds(self, costs: EngineCosts) -> float:
        """Return the engine seconds per second that the demand takes."""
        return self.prefill + self.decode_tokens * compute_decode_token_s(costs)


def compute_decode_token_s(costs: EngineCosts) -> float:
    """Return the engine seconds of one decode token in a full batch."""
    return costs.stream_step_s + costs.step_base_s / costs.max_streams


def compute_capacity_factor(
    mix: RoleCounts, demand: Demand, costs: EngineCosts
) -> float:
    """Return the multiple of the demand that the mix serves in time."""
    if demand.prefill <= 0 and demand.decode_tokens <= 0:
        return MAX_FACTOR
    low, high = 0.0, MAX_FACTOR
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        if _can_serve(mix, demand, midpoint, costs):
            low = midpoint
        else:
            high = midpoint
    return low


def estimate_late_short_work(
    mix: RoleCounts, demand: Demand, short_work: float, costs: EngineCosts
) -> float:
    """Return the part of the short work that misses its target between tokens.

    A step with a prefill chunk on a mixed engine takes longer than the tightest target
    between tokens, and a short answer has too few other steps to compensate for it.
    """
    chunk_s = costs.prefill_chunk_tokens / costs.prefill_tokens_per_s
    if mix.mixed == 0 or chunk_s + costs.step_base_s <= costs.between_tokens_s:
        return 0.0
    remaining = max(
        0.0, demand.prefill - mix.prefill * _compute_prefill_capacity(costs)
    )
    busy = min(1.0, remaining / (mix.mixed + mix.decode))
    decode = DECODE_PREFERENCE * mix.decode * costs.decode_role_streams
    mixed_slots = mix.mixed * costs.max_streams
    return short_work * busy * mixed_slots / (mixed_slots + decode)


def _can_serve(
    mix: RoleCounts, demand: Demand, factor: float, costs: EngineCosts
) -> bool:
    prefill = factor * demand.prefill - mix.prefill * _compute_prefill_capacity(costs)
    prefill = max(0.0, prefill)
    tokens = factor * demand.decode_tokens
    for step in range(SPLIT_STEPS + 1):
        fraction = step / SPLIT_STEPS
        decode = _limit_decode(fraction * prefill, mix.decode, costs, decode_role=True)
        mixed = _limit_decode(
            (1 - fraction) * prefill, mix.mixed, costs, decode_role=False
        )
        if decode is not None and mixed is not None and decode + mixed >= tokens:
            return True
    return False


def _compute_prefill_capacity(costs: EngineCosts) -> float:
    chunk_s = costs.prefill_role_chunk_tokens / costs.prefill_tokens_per_s
    return chunk_s / (chunk_s + costs.step_base_s)


def _limit_decode(
    prefill: float, engines: int, costs: EngineCosts, *, decode_role: bool
) -> float | None:
    """Return the decode tokens per second possible with a prefill load, or None.

    None means that the engines can't serve the prefill load. Each step has a fixed
    cost, and there must be enough steps per second for the target between tokens, for
    the batch limit and for one prefill chunk per step.
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
