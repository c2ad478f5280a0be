"""Simulate gateways, each with its own state of the fleet, on modelled engines."""

import math
from itertools import count
from random import Random
from typing import Final

from bramleyport.bench._gateways_call import ServedCall
from bramleyport.bench._gateways_engine import ModelledEngine
from bramleyport.bench._gateways_scenario import CallMix, GatewayScenario
from bramleyport.bench._gateways_stages import ModelledStages
from bramleyport.bench._gateways_state import SERVICE, Outcome, SimulationState
from bramleyport.bench._gateways_view import ModelledGateway, UpdateNetwork
from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import ModelName, UpstreamId, ZoneName
from bramleyport.fleet import (
    Address,
    EngineTraits,
    PrefixId,
    Prompt,
    PromptPart,
    Registration,
    Repeatability,
    Route,
    RouteName,
    Stage,
)

MODEL: Final = ModelName("m")
# Prompt sizes are log-normal with this standard deviation of the logarithm.
SIZE_SIGMA: Final = 0.6
# Time for the engines to finish their work after the last call has ended.
DRAIN_S: Final = 1.0


class GatewayRun:
    """Simulate one scenario."""

    def __init__(self, scenario: GatewayScenario, seed: int) -> None:
        self.scenario = scenario
        self._random = Random(seed)
        clock = VirtualClock()
        model = scenario.engine
        self._registrations = self._make_registrations()
        self.state = SimulationState(
            clock=clock,
            random=self._random,
            numbers=count(),
            network=UpdateNetwork(clock),
            traits=EngineTraits(
                slots=model.slots,
                kv_capacity_tokens=model.kv_capacity_tokens,
                kv_token_bytes=model.kv_token_bytes,
                link_bytes_per_s=model.link_bytes_per_s,
                handle_lifetime_s=5.0,
                switch_s=3.0,
            ),
            engines={
                item.upstream: ModelledEngine(
                    model=model,
                    stage=item.stage or Stage.DECODE,
                    schedule=clock.call_later,
                )
                for item in self._registrations
            },
            routes={mix.name: _make_route(mix) for mix in scenario.mixes},
            outcomes={mix.name: Outcome() for mix in scenario.mixes},
        )
        self._prompts = {mix.name: self._make_shared(mix) for mix in scenario.mixes}
        for index in range(scenario.gateways):
            zone = self._name_zone(index)
            capacity = model.kv_capacity_tokens
            ModelledGateway(self.state.network, zone, self._registrations, capacity)
        names = {gateway.process for gateway in self.state.network.gateways}
        for gateway in self.state.network.gateways:
            gateway.roster.record_listed(names - {gateway.process}, 0.0)

    def simulate(self) -> None:
        """Generate the calls and run until each has ended."""
        for mix in self.scenario.mixes:
            self._schedule_next(mix)
        if self.scenario.lost_engines:
            self.state.clock.call_later(
                self.scenario.duration_s / 3, self._fail_engines
            )
        if self.scenario.limits is not None:
            self.state.clock.call_later(self.scenario.limits.from_s, self._limit)
        if self.scenario.plans_stages:
            ModelledStages(self.state).start()
        longest_s = max(mix.timeout_s for mix in self.scenario.mixes)
        self.state.clock.run(self.scenario.duration_s + longest_s + DRAIN_S)

    def _schedule_next(self, mix: CallMix) -> None:
        factor = max(
            (
                surge.factor
                for surge in self.scenario.surges
                if surge.mix == mix.name
                and surge.start_s <= self.state.clock.now_s < surge.end_s
            ),
            default=1.0,
        )
        delay_s = self._random.expovariate(mix.per_s * factor)
        if self.state.clock.now_s + delay_s < self.scenario.duration_s:
            self.state.clock.call_later(delay_s, lambda: self._arrive(mix))

    def _arrive(self, mix: CallMix) -> None:
        self._schedule_next(mix)
        self.state.outcomes[mix.name].calls += 1
        shared = self._random.choice(self._prompts[mix.name])
        own = self._draw_size(mix.own_tokens)
        last = PromptPart(PrefixId(f"o{next(self.state.numbers)}"), own)
        prompt = Prompt(
            model=MODEL,
            tokens_in=shared.tokens + own,
            tokens_out=mix.tokens_out,
            parts=(shared, last),
        )
        ServedCall(self.state, mix, prompt).arrive()

    def _fail_engines(self) -> None:
        """Stop some engines of each stage and notify the gateways a second later."""
        step = max(1, len(self._registrations) // self.scenario.lost_engines)
        failed = self._registrations[::step][: self.scenario.lost_engines]
        for item in failed:
            self.state.engines[item.upstream].fail()

        def notify_gateways() -> None:
            for gateway in self.state.network.gateways:
                gateway.avoided.update(item.upstream for item in failed)

        self.state.clock.call_later(1.0, notify_gateways)

    def _limit(self) -> None:
        """Make some engines of each stage name a rate limit."""
        limits = self.scenario.limits
        assert limits is not None
        engines = list(self.state.engines.values())
        decoders = [item for item in engines if item.stage is Stage.DECODE]
        prefill_engines = [item for item in engines if item.stage is Stage.PREFILL]
        chosen = decoders[: limits.decoders]
        chosen += prefill_engines[: limits.prefill_engines]
        for engine in chosen:
            engine.limit = limits.rate

    def _make_registrations(self) -> list[Registration]:
        scenario = self.scenario
        decode_count = max(1, int(scenario.decode_fraction * scenario.engines))
        return [
            Registration(
                upstream=UpstreamId(f"e{index:03}"),
                service=SERVICE,
                address=Address("10.0.0.1", 8000 + index),
                zone=self._name_zone(index),
                slots=scenario.engine.slots,
                draining=False,
                started_ms=0,
                stage=Stage.DECODE if index < decode_count else Stage.PREFILL,
            )
            for index in range(scenario.engines)
        ]

    def _name_zone(self, index: int) -> ZoneName:
        return ZoneName(f"z{index % self.scenario.zones}")

    def _make_shared(self, mix: CallMix) -> list[PromptPart]:
        return [
            PromptPart(
                PrefixId(f"{mix.name}{index}"), self._draw_size(mix.shared_tokens)
            )
            for index in range(mix.sessions)
        ]

    def _draw_size(self, mean: int) -> int:
        """Return a random size with the given mean, limited to three times the mean."""
        size = self._random.lognormvariate(
            math.log(mean) - SIZE_SIGMA**2 / 2, SIZE_SIGMA
        )
        return max(16, min(3 * mean, int(size)))


def _make_route(mix: CallMix) -> Route:
    return Route(
        name=RouteName(mix.name),
        host="calls.example",
        path_prefix=f"/{mix.name}/",
        repeatability=Repeatability.STREAM_RESUMABLE,
        timeout_s=mix.timeout_s,
        objective_s=mix.objective_s,
        priority=mix.priority,
        services=(),
        max_attempts=2,
    )
