"""Choose the engine that receives a KV cache and decodes the call."""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Place, ZoneName
from bramleyport.fleet._decode_times import DecodeTimes
from bramleyport.fleet._even_load import EvenLoad, compute_amount
from bramleyport.fleet._load import LoadTracker
from bramleyport.fleet._prefill import forecast_transfer
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._types import Call, EngineTraits, Prompt, Registration
from bramleyport.fleet._unseen_load import find_group

# Traffic between zones costs money, so the gateway's own zone is preferred among
# similar choices.
OTHER_ZONE_COST_S: Final = 0.01
# Time in which the target computes the last token of a prompt, and the first answer.
LAST_TOKEN_S: Final = 0.015
# Largest bias from a hash of call and engine. Gateways that have not yet received each
# other's updates would otherwise transfer to the same engine.
MAX_HASH_BIAS_S: Final = 0.01
LOWEST_PRIORITY: Final = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """Describe the transfer of a KV cache to the engine that decodes the call."""

    target: Registration
    # Seconds until earlier transfers over the target's link have ended.
    link_wait_s: float
    # Seconds for which that link carries the KV cache.
    transfer_s: float
    # Seconds until the prompts ahead of the call are prefilled and a slot is free.
    queue_s: float
    # Seconds for the last prompt token, which the target computes itself.
    last_token_s: float

    def forecast_first_token(self, prefill_s: float) -> float:
        """Return the seconds to the first token, given those until prefill ends.

        Transfers over one link run one after another.
        """
        arrived_s = max(prefill_s, self.link_wait_s) + self.transfer_s
        return max(arrived_s, self.queue_s) + self.last_token_s


class TransferForecaster:
    """Forecast transfers by the links, queues and slots of their targets."""

    def __init__(
        self,
        place: Place,
        loads: LoadTracker,
        speeds: PrefillSpeeds,
        decode_times: DecodeTimes,
    ) -> None:
        self._place = place
        self._loads = loads
        self._speeds = speeds
        self._decode_times = decode_times

    def list_options(
        self,
        call: Call,
        prompt: Prompt,
        engine: EngineTraits,
        decoders: Sequence[Registration],
        now_s: float,
    ) -> "TransferOptions":
        """Return the options for the transfer of a prompt."""
        targets = [self._forecast(call, candidate, now_s) for candidate in decoders]
        return TransferOptions(prompt, engine, targets)

    def compute_zone_cost(self, candidate: Registration) -> float:
        """Return the cost of traffic to and from an upstream's zone."""
        return 0.0 if candidate.zone == self._place.zone else OTHER_ZONE_COST_S

    def _forecast(self, call: Call, candidate: Registration, now_s: float) -> "_Target":
        load = self._loads.of(candidate.upstream)
        overhead_s = self._speeds.overhead_s
        wait_s = load.forecast_wait(call.priority, now_s, overhead_s)
        # Prefill on the same engine lengthens the gaps between the call's tokens.
        prefill_delay_s = load.forecast_wait(LOWEST_PRIORITY, now_s, overhead_s)
        prefill_delay_s = min(prefill_delay_s, self._decode_times.forecast(call))
        return _Target(
            registration=candidate,
            link_wait_s=load.forecast_link(now_s),
            queue_s=max(
                wait_s, self._decode_times.forecast_slot(call, load, candidate.slots)
            ),
            # The engine that decodes computes the last prompt token itself.
            last_token_s=LAST_TOKEN_S,
            extra_cost_s=prefill_delay_s
            + self.compute_zone_cost(candidate)
            + _compute_hash_bias(call, candidate),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Target:
    """Describe the state of a target, independent of the source of the transfer."""

    registration: Registration
    link_wait_s: float
    queue_s: float
    last_token_s: float
    # Cost in a choice in addition to the time to the first token.
    extra_cost_s: float


class TransferOptions:
    """Represent the engines that a prompt may be transferred to."""

    def __init__(
        self, prompt: Prompt, engine: EngineTraits, targets: Sequence[_Target]
    ) -> None:
        self._prompt = prompt
        self._engine = engine
        self._targets = targets
        # The best target depends only on the zone of the prefill engine.
        self._best: dict[ZoneName, Transfer] = {}

    def choose(self, prefill_engine: Registration) -> Transfer:
        """Return the best transfer from a prefill engine."""
        best = self._best.get(prefill_engine.zone)
        if best is None:
            best = self._best[prefill_engine.zone] = self._find_best(prefill_engine)
        return best

    def choose_evenly(
        self, prefill_engine: Registration, even_load: EvenLoad | None, now_s: float
    ) -> Transfer:
        """Return one of the transfers that are as good as the best one."""
        scored = self._score(prefill_engine)
        best = min(scored)[2]
        if even_load is None:
            return best
        unseen = even_load.estimate(best.target, now_s)
        if unseen is None:
            return best
        delay_s = unseen.transfer_s + unseen.limit_prefill(best.queue_s)
        group = find_group(best.target)
        similar = [item for item in scored if find_group(item[2].target) == group]
        pick = even_load.choose(
            [transfer.target for _, _, transfer in similar],
            [score_s for score_s, _, _ in similar],
            compute_amount(delay_s, delay_s / unseen.calls),
            now_s,
        )
        return similar[pick.index][2]

    def _find_best(self, prefill_engine: Registration) -> Transfer:
        return min(self._score(prefill_engine))[2]

    def _score(self, prefill_engine: Registration) -> list[tuple[float, int, Transfer]]:
        scored = []
        for number, target in enumerate(self._targets):
            transfer = self._make_transfer(prefill_engine, target)
            score_s = transfer.forecast_first_token(0.0) + target.extra_cost_s
            scored.append((score_s, number, transfer))
        return scored

    def _make_transfer(self, prefill_engine: Registration, target: _Target) -> Transfer:
        candidate = target.registration
        return Transfer(
            target=candidate,
            link_wait_s=target.link_wait_s,
            transfer_s=forecast_transfer(
                self._engine, self._prompt.tokens_in, prefill_engine, candidate
            ),
            queue_s=target.queue_s,
            last_token_s=target.last_token_s,
        )


def _compute_hash_bias(call: Call, target: Registration) -> float:
    key = f"{call.request}/{target.upstream}".encode()
    return MAX_HASH_BIAS_S * (zlib.crc32(key) / 2**32)
