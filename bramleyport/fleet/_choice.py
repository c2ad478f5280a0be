"""Choose where a call runs."""

import zlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Explanation, Place, UpstreamId
from bramleyport.fleet._decode_times import DecodeTimes
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._members import Membership
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

# Weight of the engine time that a choice uses against the time its caller waits. What
# an engine reads needlessly delays the calls after this one.
WORK_WEIGHT: Final = 0.5
# Weight of the time for which a transfer occupies links, likewise.
MOVE_WEIGHT: Final = 1.0
# Spreads first uses of a prefix alike in all gateways, without asking each other.
SPREAD_S: Final = 0.02
# Part of the slots of an engine from which on calls that would end late are refused.
CROWDED_PART: Final = 0.5
# Weight of the time by which reading a prompt delays each call that runs beside it.
RUNNING_WEIGHT: Final = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Say where a call runs and what is expected of it."""

    upstream: Registration
    # Reads the prompt first, where that is faster.
    prefill: Registration | None = None
    # Holds more of the prompt than the engine that reads it.
    prefix_source: Registration | None = None
    # Expected time to the first byte of the answer, and from there to its end on an
    # engine that is crowded.
    forecast_s: float = 0.0
    decode_s: float = 0.0
    wait_s: float = 0.0
    prefill_s: float = 0.0
    fetch_s: float = 0.0
    prefill_cost: float = 0.0
    prefill_tokens: int = 0
    explanation: Explanation


@dataclass(frozen=True, slots=True, kw_only=True)
class _Option:
    """Hold one way to serve a call, and what it weighs in the choice."""

    weight_s: float
    forecast_s: float
    target: Registration
    reader: Registration | None
    reading: PrefillForecast


class Chooser:
    """Choose upstreams by forecast, cached prefixes and load."""

    def __init__(
        self,
        place: Place,
        members: Membership,
        loads: LoadTracker,
        prefixes: PrefixIndex,
        speeds: PrefillSpeeds,
        runs: DecodeTimes,
    ) -> None:
        self._place = place
        self._members = members
        self._loads = loads
        self._readings = PrefillForecaster(place, loads, prefixes, speeds)
        self._moves = TransferForecaster(place, loads, speeds, runs)
        self._runs = runs

    def choose(
        self,
        call: Call,
        engine: EngineTraits | None,
        excluded: Collection[UpstreamId],
        now_s: float,
        *,
        may_split: bool = True,
    ) -> Choice | None:
        """Return the best choice, or None where no upstream takes work."""
        ready = [
            item
            for item in self._members.list_ready(call.service)
            if item.upstream not in excluded
        ]
        if engine is None or call.prompt is None:
            return self._choose_plain(ready)
        return self._choose_engine(
            call, call.prompt, engine, ready, now_s, may_split=may_split
        )

    def choose_transfer(
        self,
        call: Call,
        engine: EngineTraits,
        reader: Registration,
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> Transfer | None:
        """Return where a call runs whose prompt a reader has read."""
        decoders = [
            item
            for item in self._members.list_ready(call.service)
            if item.upstream not in excluded and item.stage is not Stage.PREFILL
        ]
        if not decoders or call.prompt is None:
            return None
        options = self._moves.list_options(call, call.prompt, engine, decoders, now_s)
        return options.choose(reader)

    def _choose_plain(self, ready: Sequence[Registration]) -> Choice | None:
        if not ready:
            return None
        best = min(ready, key=self._rank_plain)
        running = len(self._loads.of(best.upstream))
        numbers = {"running": float(running), "candidates": float(len(ready))}
        return Choice(
            upstream=best,
            explanation=Explanation(reason="least_loaded", numbers=numbers),
        )

    def _rank_plain(self, item: Registration) -> tuple[float, int, int]:
        running = len(self._loads.of(item.upstream))
        elsewhere = int(item.zone != self._place.zone)
        # Up to half of its slots a plain upstream isn't slowed by more work.
        steps = 0.0 if running < item.slots / 2 else running / max(1, item.slots)
        return (steps, elsewhere, running)

    def _choose_engine(
        self,
        call: Call,
        prompt: Prompt,
        engine: EngineTraits,
        ready: Sequence[Registration],
        now_s: float,
        *,
        may_split: bool,
    ) -> Choice | None:
        # Also an engine that only reads prompts can send what it has read.
        holder = self._readings.find_holder(prompt, ready)
        decoders = [item for item in ready if item.stage is not Stage.PREFILL]
        readers = [item for item in ready if item.stage is Stage.PREFILL]
        options = []
        for item in decoders:
            reading = self._readings.forecast(call, prompt, engine, item, holder, now_s)
            options.append(self._weigh_direct(call, prompt, item, reading))
        if decoders and may_split:
            moves = self._moves.list_options(call, prompt, engine, decoders, now_s)
            for item in readers:
                reading = self._readings.forecast(
                    call, prompt, engine, item, holder, now_s
                )
                move = moves.choose(item)
                options.append(self._weigh_split(prompt, item, reading, move))
        if not options:
            return None
        return self._make_choice(call, min(options, key=lambda item: item.weight_s))

    def _weigh_direct(
        self, call: Call, prompt: Prompt, item: Registration, reading: PrefillForecast
    ) -> _Option:
        load = self._loads.of(item.upstream)
        slot_s = self._runs.forecast_slot(call, load, item.slots)
        forecast_s = reading.ready_s + max(0.0, slot_s - reading.wait_s)
        # Pauses between events have some room until an engine is crowded.
        crowding = len(load) / max(1, item.slots)
        delay_s = RUNNING_WEIGHT * reading.prefill_s * len(load) * crowding
        return _Option(
            weight_s=forecast_s + self._weigh(prompt, item, reading) + delay_s,
            forecast_s=forecast_s,
            target=item,
            reader=None,
            reading=reading,
        )

    def _weigh_split(
        self,
        prompt: Prompt,
        reader: Registration,
        reading: PrefillForecast,
        move: Transfer,
    ) -> _Option:
        forecast_s = move.forecast_first(reading.ready_s)
        work_s = self._weigh(prompt, reader, reading) + MOVE_WEIGHT * move.transfer_s
        zone_s = self._moves.weigh_zone(move.target)
        return _Option(
            weight_s=forecast_s + work_s + zone_s,
            forecast_s=forecast_s,
            target=move.target,
            reader=reader,
            reading=reading,
        )

    def _make_choice(self, call: Call, option: _Option) -> Choice:
        reading = option.reading
        reason = "direct" if option.reader is None else "split"
        return Choice(
            upstream=option.target,
            prefill=option.reader,
            prefix_source=reading.source,
            forecast_s=option.forecast_s,
            decode_s=self._forecast_run(call, option.target),
            wait_s=reading.wait_s,
            prefill_s=reading.prefill_s,
            fetch_s=reading.fetch_s,
            prefill_cost=reading.prefill_cost,
            prefill_tokens=reading.unread,
            explanation=_explain(reason, option.forecast_s, reading),
        )

    def _forecast_run(self, call: Call, target: Registration) -> float:
        """Return how long a call runs, where it would take a slot from others."""
        taken = len(self._loads.of(target.upstream))
        if taken < CROWDED_PART * target.slots:
            # Its answer may well be shorter than most, and nobody waits for the slot.
            return 0.0
        return self._runs.forecast(call)

    def _weigh(
        self, prompt: Prompt, item: Registration, reading: PrefillForecast
    ) -> float:
        """Return what a choice costs beside the time its caller waits."""
        cost_s = WORK_WEIGHT * reading.prefill_s + MOVE_WEIGHT * reading.fetch_s
        return cost_s + self._spread(prompt, item) + self._moves.weigh_zone(item)

    def _spread(self, prompt: Prompt, item: Registration) -> float:
        if len(prompt.parts) < 2:
            return 0.0
        key = f"{prompt.parts[0].prefix}/{item.upstream}".encode()
        return SPREAD_S * (zlib.crc32(key) / 2**32)


def _explain(reason: str, forecast_s: float, reading: PrefillForecast) -> Explanation:
    numbers = {
        "forecast_s": round(forecast_s, 3),
        "wait_s": round(reading.wait_s, 3),
        "unread_tokens": float(reading.unread),
    }
    return Explanation(reason=reason, numbers=numbers)
