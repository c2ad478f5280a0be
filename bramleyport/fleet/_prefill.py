"""Forecast the prefill of prompts by engines."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Place
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._prefill_speeds import PrefillSpeeds, compute_prefill_cost
from bramleyport.fleet._prefixes import PrefixIndex
from bramleyport.fleet._types import Call, EngineTraits, Prompt, Registration, Stage

# Fixed time of a transfer between engines, in addition to the time for its bytes.
TRANSFER_SETUP_S: Final = 0.005
# Factor for the time of a transfer between zones.
OTHER_ZONE_FACTOR: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefillForecast:
    """Describe the forecast for the prefill of a prompt by one engine."""

    wait_s: float
    # How many less urgent prompts would wait longer.
    behind: int
    # Time for which the prompt occupies the engine.
    prefill_s: float
    # Time to the first token in addition to that.
    overhead_s: float
    fetch_s: float
    # Tokens that are neither cached nor fetched.
    uncached: int
    prefill_cost: float
    source: Registration | None

    @property
    def ready_s(self) -> float:
        """Return the seconds until the prompt is prefilled."""
        return self.wait_s + self.fetch_s + self.prefill_s + self.overhead_s


class PrefillForecaster:
    """Forecast prefill times by queue, cached prefixes and speed."""

    def __init__(
        self,
        place: Place,
        loads: LoadTracker,
        prefixes: PrefixIndex,
        speeds: PrefillSpeeds,
    ) -> None:
        self._place = place
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds

    def find_holder(
        self, prompt: Prompt, engines: Sequence[Registration]
    ) -> Registration | None:
        """Return the engine that has cached the most tokens of a prompt."""
        best, most = None, 0
        for candidate in engines:
            tokens = self._prefixes.count_confirmed(candidate.upstream, prompt)
            same_zone = candidate.zone == self._place.zone
            if tokens > most or (tokens == most > 0 and same_zone):
                best, most = candidate, tokens
        return best

    def forecast(
        self,
        call: Call,
        prompt: Prompt,
        engine: EngineTraits,
        candidate: Registration,
        holder: Registration | None,
        now_s: float,
    ) -> PrefillForecast:
        """Return the forecast for an engine that fetches what a holder has cached."""
        stage = candidate.stage or Stage.DECODE
        cached = self._prefixes.count_cached(candidate.upstream, prompt)
        fetched = self._count_fetched(prompt, candidate, holder, cached)
        source = holder if fetched else None
        fetch_s = 0.0
        if source is not None:
            fetch_s = forecast_transfer(engine, fetched, source, candidate)
        uncached = max(0, prompt.tokens_in - cached - fetched)
        prefill_cost = compute_prefill_cost(uncached, prompt.tokens_in)
        load = self._loads.of(candidate.upstream)
        overhead_s = self._speeds.overhead_s
        queue = load.forecast_queue(call.priority, now_s, overhead_s)
        return PrefillForecast(
            wait_s=queue.wait_s,
            behind=queue.behind,
            overhead_s=overhead_s,
            prefill_s=self._speeds.forecast(candidate.upstream, stage, prefill_cost),
            prefill_cost=prefill_cost,
            fetch_s=fetch_s,
            uncached=uncached,
            source=source,
        )

    def _count_fetched(
        self,
        prompt: Prompt,
        candidate: Registration,
        holder: Registration | None,
        cached: int,
    ) -> int:
        if holder is None or holder.upstream == candidate.upstream:
            return 0
        held = self._prefixes.count_confirmed(holder.upstream, prompt)
        return max(0, min(held, prompt.tokens_in) - cached)


def forecast_transfer(
    engine: EngineTraits, tokens: int, source: Registration, target: Registration
) -> float:
    """Return the seconds for the transfer of the KV cache of some tokens."""
    seconds = tokens * engine.kv_token_bytes / engine.link_bytes_per_s
    if source.zone != target.zone:
        seconds *= OTHER_ZONE_FACTOR
    return TRANSFER_SETUP_S + seconds
