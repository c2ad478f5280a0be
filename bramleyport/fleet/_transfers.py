"""Choose which engine takes a KV cache and runs the call."""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Place, ZoneName
from bramleyport.fleet._decode_times import DecodeTimes
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._prefill import forecast_transfer
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._types import Call, EngineTraits, Prompt, Registration, Stage

# Bytes between zones are paid for; among about equal choices the own zone wins.
OTHER_ZONE_S: Final = 0.01
# Spreads the moves of gateways that have yet to hear of each other's.
SPREAD_S: Final = 0.01
LEAST_URGENT: Final = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """Forecast how a KV cache reaches an engine that runs the call."""

    target: Registration
    # Seconds until earlier transfers over its link have ended.
    link_s: float
    # Seconds for which its link carries the cache.
    transfer_s: float
    # Seconds until it has read what goes before the call, and has a slot.
    queue_s: float
    # Seconds by which prompts that are read beside the call delay its first token.
    step_s: float

    def forecast_first(self, prefill_s: float) -> float:
        """Return the seconds to the first token, given those until the prompt is read.

        Transfers over one link run one after another.
        """
        arrived_s = max(prefill_s, self.link_s) + self.transfer_s
        return max(arrived_s, self.queue_s) + self.step_s


class TransferForecaster:
    """Forecast moves by the links, queues and slots of their targets."""

    def __init__(
        self, place: Place, loads: LoadTracker, speeds: PrefillSpeeds, runs: DecodeTimes
    ) -> None:
        self._place = place
        self._loads = loads
        self._speeds = speeds
        self._runs = runs

    def list_options(
        self,
        call: Call,
        prompt: Prompt,
        engine: EngineTraits,
        decoders: Sequence[Registration],
        now_s: float,
    ) -> "TransferOptions":
        """Return the engines that a prompt may be moved to."""
        targets = [self._forecast(call, item, now_s) for item in decoders]
        return TransferOptions(prompt, engine, targets)

    def weigh_zone(self, item: Registration) -> float:
        """Return what the bytes to and from an upstream's zone cost."""
        return 0.0 if item.zone == self._place.zone else OTHER_ZONE_S

    def _forecast(self, call: Call, item: Registration, now_s: float) -> "_Target":
        load = self._loads.of(item.upstream)
        wait_s = load.forecast_wait(call.route.priority, now_s)
        # Whatever the engine reads meanwhile lengthens the pauses of the call.
        beside_s = load.forecast_wait(LEAST_URGENT, now_s)
        beside_s = min(beside_s, self._runs.forecast(call))
        return _Target(
            registration=item,
            link_s=load.forecast_link(now_s),
            queue_s=max(wait_s, self._runs.forecast_slot(call, load, item.slots)),
            # The engine that decodes reads the last token itself.
            step_s=self._speeds.forecast(item.upstream, Stage.DECODE, 1),
            weight_s=beside_s + self.weigh_zone(item) + _spread(call, item),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Target:
    """Hold what a move to an engine meets there, wherever it comes from."""

    registration: Registration
    link_s: float
    queue_s: float
    step_s: float
    # What counts in a choice beside the time to the first token.
    weight_s: float


class TransferOptions:
    """Choose among the engines that a prompt may be moved to."""

    def __init__(
        self, prompt: Prompt, engine: EngineTraits, targets: Sequence[_Target]
    ) -> None:
        self._prompt = prompt
        self._engine = engine
        self._targets = targets
        # Of a reader, only its zone matters to where its calls run.
        self._best: dict[ZoneName, Transfer] = {}

    def choose(self, reader: Registration) -> Transfer:
        """Return the best move of a prompt that a reader has."""
        best = self._best.get(reader.zone)
        if best is None:
            best = self._best[reader.zone] = self._find_best(reader)
        return best

    def _find_best(self, reader: Registration) -> Transfer:
        weighed = []
        for number, target in enumerate(self._targets):
            move = self._make_move(reader, target)
            weight_s = move.forecast_first(0.0) + target.weight_s
            weighed.append((weight_s, number, move))
        return min(weighed)[2]

    def _make_move(self, reader: Registration, target: _Target) -> Transfer:
        item = target.registration
        return Transfer(
            target=item,
            link_s=target.link_s,
            transfer_s=forecast_transfer(
                self._engine, self._prompt.tokens_in, reader, item
            ),
            queue_s=target.queue_s,
            step_s=target.step_s,
        )


def _spread(call: Call, target: Registration) -> float:
    key = f"{call.request}/{target.upstream}".encode()
    return SPREAD_S * (zlib.crc32(key) / 2**32)
