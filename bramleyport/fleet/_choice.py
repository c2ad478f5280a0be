"""Choose the upstream of a call."""

import zlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.core import Explanation, Place, UpstreamId
from bramleyport.fleet._decode_times import DecodeTimes
from bramleyport.fleet._even_load import EvenLoad, compute_amount
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._members import Membership
from bramleyport.fleet._plain_choice import PlainChooser
from bramleyport.fleet._prefill import PrefillForecast, PrefillForecaster
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._prefixes import PrefixIndex
from bramleyport.fleet._transfers import Transfer, TransferForecaster
from bramleyport.fleet._types import (
    Call,
    EngineTraits,
    Prompt,
    Registration,
    Stage,
)

# Weight of the prefill time that a choice costs, relative to the time that its caller
# waits. Needless prefill on an engine delays the calls after this one.
ENGINE_TIME_WEIGHT: Final = 0.5
# Weight of the time by which an urgent prompt delays each less urgent one that it
# overtakes.
OVERTAKEN_WEIGHT: Final = 0.5
# Weight of the time for which a transfer occupies links, relative to the same time.
TRANSFER_WEIGHT: Final = 1.0
# Largest bias from a hash of prefix and upstream, by which all gateways send the first
# uses of a prefix to the same upstream without communicating.
MAX_HASH_BIAS_S: Final = 0.02
# Fraction of an engine's slots in use from which calls that would end late are
# rejected.
CROWDED_FRACTION: Final = 0.5
# Weight of the time by which the prefill of a prompt delays each call that decodes on
# the same engine.
DECODE_DELAY_WEIGHT: Final = 0.6
# Cost of a separate prefill on an engine with a rate limit, which another call may need
# more: short prompts hardly gain by it.
LIMITED_PREFILL_COST_S: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Describe the upstream chosen for a call, and the forecast for the call."""

    upstream: Registration
    # The engine that prefills the prompt, if it is not the upstream itself.
    prefill: Registration | None = None
    # The engine that has more of the prompt cached than the one that prefills it.
    prefix_source: Registration | None = None
    # Expected time to the first byte of the answer.
    forecast_s: float = 0.0
    # Expected time from there to the end of the answer; 0 unless calls compete for the
    # engine.
    decode_s: float = 0.0
    wait_s: float = 0.0
    prefill_s: float = 0.0
    fetch_s: float = 0.0
    prefill_cost: float = 0.0
    prefill_tokens: int = 0
    explanation: Explanation


@dataclass(frozen=True, slots=True, kw_only=True)
class _Option:
    """Describe one way to serve a call."""

    # The option with the lowest score is chosen.
    score_s: float
    forecast_s: float
    target: Registration
    prefill_engine: Registration | None
    estimate: PrefillForecast

    @property
    def prefilled_by(self) -> Registration:
        """Return the engine that prefills the prompt."""
        return self.prefill_engine or self.target

    def can_replace(self, best: "_Option", limited: Collection[UpstreamId]) -> bool:
        """Return whether only the load makes this option worse than the best one."""
        own, other = self.prefilled_by, best.prefilled_by
        return (
            own.stage is other.stage
            and own.zone == other.zone
            and self.estimate.uncached <= best.estimate.uncached
            and self.estimate.fetch_s <= best.estimate.fetch_s
            and (not limited or self.is_limited(limited) == best.is_limited(limited))
        )

    def is_limited(self, limited: Collection[UpstreamId]) -> bool:
        """Return whether a rate limit applies to an engine of this option."""
        return self.target.upstream in limited or self.prefilled_by.upstream in limited


class Chooser:
    """Choose upstreams by latency forecast, cached prefixes and load."""

    def __init__(
        self,
        place: Place,
        members: Membership,
        loads: LoadTracker,
        prefixes: PrefixIndex,
        speeds: PrefillSpeeds,
        decode_times: DecodeTimes,
        even_load: EvenLoad | None = None,
    ) -> None:
        self._place = place
        self._members = members
        self._loads = loads
        # None if no other gateways choose at the same time.
        self._even_load = even_load
        self._plain_chooser = PlainChooser(place, loads, even_load)
        self._prefill_forecaster = PrefillForecaster(place, loads, prefixes, speeds)
        self._transfer_forecaster = TransferForecaster(
            place, loads, speeds, decode_times
        )
        self._decode_times = decode_times

    def choose(
        self,
        call: Call,
        engine: EngineTraits | None,
        excluded: Collection[UpstreamId],
        now_s: float,
        *,
        may_split: bool = True,
        limited: Collection[UpstreamId] = (),
    ) -> Choice | None:
        """Return the best choice, or None if no upstream takes work.

        A separate prefill takes a further request of the rate limits of engines that
        have one (`limited`).
        """
        ready = [
            candidate
            for candidate in self._members.list_ready(call.service)
            if candidate.upstream not in excluded
        ]
        if engine is None or call.prompt is None:
            return self._choose_plain(ready, now_s)
        return self._choose_engine(
            call,
            call.prompt,
            engine,
            ready,
            now_s,
            may_split=may_split,
            limited=limited,
        )

    def choose_transfer(
        self,
        call: Call,
        engine: EngineTraits,
        prefill_engine: Registration,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Transfer | None:
        """Return the transfer of a prefilled prompt to the engine that decodes it."""
        decoders = [
            candidate
            for candidate in self._members.list_ready(call.service)
            if candidate.upstream not in excluded
            and candidate.stage is not Stage.PREFILL
        ]
        if not decoders or call.prompt is None:
            return None
        options = self._transfer_forecaster.list_options(
            call, call.prompt, engine, decoders, now_s
        )
        return options.choose_evenly(prefill_engine, self._even_load, now_s)

    def _choose_plain(
        self, ready: Sequence[Registration], now_s: float
    ) -> Choice | None:
        if not ready:
            return None
        best, spread = self._plain_chooser.choose(ready, now_s)
        running = len(self._loads.of(best.upstream))
        numbers = {"running": float(running), "candidates": float(len(ready))}
        numbers |= _describe_spread(spread)
        return Choice(
            upstream=best,
            explanation=Explanation(reason="least_loaded", numbers=numbers),
        )

    def _choose_engine(
        self,
        call: Call,
        prompt: Prompt,
        engine: EngineTraits,
        ready: Sequence[Registration],
        now_s: float,
        *,
        may_split: bool,
        limited: Collection[UpstreamId],
    ) -> Choice | None:
        # A prefill engine can send what it has cached, too.
        holder = self._prefill_forecaster.find_holder(prompt, ready)
        decoders = [
            candidate for candidate in ready if candidate.stage is not Stage.PREFILL
        ]
        prefill_engines = [
            candidate for candidate in ready if candidate.stage is Stage.PREFILL
        ]
        options = []
        for candidate in decoders:
            estimate = self._prefill_forecaster.forecast(
                call, prompt, engine, candidate, holder, now_s
            )
            options.append(self._score_direct(call, prompt, candidate, estimate))
        if decoders and may_split:
            transfer_options = self._transfer_forecaster.list_options(
                call, prompt, engine, decoders, now_s
            )
            for candidate in prefill_engines:
                estimate = self._prefill_forecaster.forecast(
                    call, prompt, engine, candidate, holder, now_s
                )
                transfer = transfer_options.choose(candidate)
                option = self._score_split(prompt, candidate, estimate, transfer)
                if candidate.upstream in limited:
                    score_s = option.score_s + LIMITED_PREFILL_COST_S
                    option = replace(option, score_s=score_s)
                options.append(option)
        if not options:
            return None
        best = min(options, key=lambda option: option.score_s)
        best, spread = self._spread_options(prompt, options, best, limited, now_s)
        is_limited = best.target.upstream in limited
        return self._make_choice(call, best, is_limited=is_limited, spread=spread)

    def _spread_options(
        self,
        prompt: Prompt,
        options: Sequence[_Option],
        best: _Option,
        limited: Collection[UpstreamId],
        now_s: float,
    ) -> tuple[_Option, int]:
        """Return an option that is as good as the best, and among how many it is."""
        if self._even_load is None:
            return best, 1
        unseen = self._even_load.estimate(best.prefilled_by, now_s)
        if unseen is None:
            return best, 1
        amount = compute_amount(
            unseen.limit_prefill(best.estimate.wait_s), unseen.mean_prefill_s
        )
        highest_s = best.score_s + amount
        similar = [
            option
            for option in options
            if option.score_s <= highest_s and option.can_replace(best, limited)
        ]
        if len(similar) == 1:
            return best, 1
        # The first uses of a prefix go to one engine, which then has it cached.
        is_first_use = (
            len(prompt.parts) > 1 and best.estimate.uncached >= prompt.tokens_in
        )
        pick = self._even_load.choose(
            [option.prefilled_by for option in similar],
            [option.score_s for option in similar],
            amount,
            now_s,
            shared_key=prompt.parts[0].prefix if is_first_use else None,
        )
        return similar[pick.index], pick.spread

    def _score_direct(
        self,
        call: Call,
        prompt: Prompt,
        candidate: Registration,
        estimate: PrefillForecast,
    ) -> _Option:
        load = self._loads.of(candidate.upstream)
        slot_s = self._decode_times.forecast_slot(call, load, candidate.slots)
        forecast_s = estimate.ready_s + max(0.0, slot_s - estimate.wait_s)
        # Delays of decoding calls count less while few slots of the engine are in use:
        # pauses between events then have some slack.
        crowding = len(load) / max(1, candidate.slots)
        delay_s = DECODE_DELAY_WEIGHT * estimate.prefill_s * len(load) * crowding
        return _Option(
            score_s=forecast_s
            + self._compute_extra_cost(prompt, candidate, estimate)
            + delay_s,
            forecast_s=forecast_s,
            target=candidate,
            prefill_engine=None,
            estimate=estimate,
        )

    def _score_split(
        self,
        prompt: Prompt,
        prefill_engine: Registration,
        estimate: PrefillForecast,
        transfer: Transfer,
    ) -> _Option:
        forecast_s = transfer.forecast_first_token(estimate.ready_s)
        extra_cost_s = (
            self._compute_extra_cost(prompt, prefill_engine, estimate)
            + TRANSFER_WEIGHT * transfer.transfer_s
        )
        zone_s = self._transfer_forecaster.compute_zone_cost(transfer.target)
        return _Option(
            score_s=forecast_s + extra_cost_s + zone_s,
            forecast_s=forecast_s,
            target=transfer.target,
            prefill_engine=prefill_engine,
            estimate=estimate,
        )

    def _make_choice(
        self, call: Call, option: _Option, *, is_limited: bool, spread: int
    ) -> Choice:
        estimate = option.estimate
        reason = "direct" if option.prefill_engine is None else "split"
        return Choice(
            upstream=option.target,
            prefill=option.prefill_engine,
            prefix_source=estimate.source,
            forecast_s=option.forecast_s,
            decode_s=self._forecast_decode(call, option.target, is_limited=is_limited),
            wait_s=estimate.wait_s,
            prefill_s=estimate.prefill_s,
            fetch_s=estimate.fetch_s,
            prefill_cost=estimate.prefill_cost,
            prefill_tokens=estimate.uncached,
            explanation=_explain(reason, option.forecast_s, estimate, spread),
        )

    def _forecast_decode(
        self, call: Call, target: Registration, *, is_limited: bool
    ) -> float:
        """Return the decode time of a call if it would take a place from other calls.

        That is a slot of a crowded engine, or a request of an engine's rate limit.
        """
        taken = len(self._loads.of(target.upstream))
        if taken < CROWDED_FRACTION * target.slots and not is_limited:
            # No call waits for the slot, and the answer may be shorter than the mean.
            return 0.0
        return self._decode_times.forecast(call)

    def _compute_extra_cost(
        self, prompt: Prompt, candidate: Registration, estimate: PrefillForecast
    ) -> float:
        """Return the cost of a choice in addition to the time that its caller waits."""
        cost_s = (
            ENGINE_TIME_WEIGHT * estimate.prefill_s
            + OVERTAKEN_WEIGHT * estimate.prefill_s * estimate.behind
            + TRANSFER_WEIGHT * estimate.fetch_s
        )
        return (
            cost_s
            + self._compute_hash_bias(prompt, candidate)
            + self._transfer_forecaster.compute_zone_cost(candidate)
        )

    def _compute_hash_bias(self, prompt: Prompt, candidate: Registration) -> float:
        if len(prompt.parts) < 2:
            return 0.0
        key = f"{prompt.parts[0].prefix}/{candidate.upstream}".encode()
        return MAX_HASH_BIAS_S * (zlib.crc32(key) / 2**32)


def _explain(
    reason: str, forecast_s: float, estimate: PrefillForecast, spread: int
) -> Explanation:
    numbers = {
        "forecast_s": round(forecast_s, 3),
        "wait_s": round(estimate.wait_s, 3),
        "unread_tokens": float(estimate.uncached),
    }
    return Explanation(reason=reason, numbers=numbers | _describe_spread(spread))


def _describe_spread(spread: int) -> dict[str, float]:
    """Return among how many upstreams a choice was spread, if it was."""
    return {"spread": float(spread)} if spread > 1 else {}
