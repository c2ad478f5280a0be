"""Run many gateways, each with its own view, on modelled engines."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.bench._gateways_engine import EngineCall, ModelledEngine
from bramleyport.bench._gateways_scenario import CallMix, GatewayScenario
from bramleyport.core import (
    ModelName,
    Place,
    RegionName,
    RequestId,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bramleyport.fleet import (
    Address,
    Call,
    Choice,
    Chooser,
    EngineTraits,
    LoadBook,
    Membership,
    NewsPacing,
    PrefixId,
    PrefixIndex,
    Prompt,
    PromptPart,
    ReadSpeeds,
    Registration,
    Repeatability,
    Route,
    RouteName,
    RunTimes,
    Stage,
    Work,
    WorkLedger,
    admit,
)

SERVICE: Final = ServiceName("language")
MODEL: Final = ModelName("m")
# One way between processes, and between a gateway and an engine.
DELAY_S: Final = 0.001
# Sizes of prompts are spread by this sigma of their logarithm.
SPREAD: Final = 0.6
# A datagram's own bytes, and those of one news in it.
DATAGRAM_BYTES: Final = 70
NEWS_BYTES: Final = 45
# Callers come back once after a refusal.
MAX_RETURNS: Final = 1

Action = Callable[[], None]
News = Callable[["ModelledGateway"], None]


@dataclass(slots=True)
class Outcome:
    """Count what the callers of one kind got."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0
    first_s: list[float] = field(default_factory=list)


class VirtualClock:
    """Run actions in the order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._queue: list[tuple[float, int, Action]] = []
        self._count = count()

    def schedule(self, delay_s: float, action: Action) -> None:
        """Run an action after some seconds."""
        entry = (self.now_s + delay_s, next(self._count), action)
        heapq.heappush(self._queue, entry)

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._queue:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()


class ModelledGateway:
    """Hold what one gateway believes, and tell the others what it sends."""

    def __init__(self, run: "GatewayRun", zone: ZoneName) -> None:
        self.place = Place(zone=zone, region=RegionName("r"))
        self._run = run
        self.members = Membership()
        for item in run.registrations:
            self.members.put(item)
        self.loads = LoadBook()
        prefixes = PrefixIndex()
        speeds = ReadSpeeds()
        self.runs = RunTimes()
        self.chooser = Chooser(
            self.place, self.members, self.loads, prefixes, speeds, self.runs
        )
        self.ledger = WorkLedger(
            self.members,
            self.loads,
            prefixes,
            speeds,
            lambda _: run.scenario.engine.kv_capacity_tokens,
        )
        self.avoided: set[UpstreamId] = set()
        self._pacing = NewsPacing()
        self._pending: list[News] = []
        self._flushing = False

    def tell(self, news: News, busy_s: float = 0.0) -> None:
        """Apply news here, and to the other gateways once they are sent."""
        news(self)
        peers = len(self._run.gateways) - 1
        if not peers:
            return
        self._pending.append(news)
        if self._pacing.allow_now(peers, busy_s, self._run.clock.now_s):
            self._flush()
        elif not self._flushing:
            self._flushing = True
            delay_s = self._pacing.choose_delay(peers)
            self._run.clock.schedule(delay_s, self._flush_late)

    def _flush_late(self) -> None:
        self._flushing = False
        self._flush()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        if not pending:
            return
        peers = len(self._run.gateways) - 1
        self._run.sent_bytes += peers * (DATAGRAM_BYTES + NEWS_BYTES * len(pending))
        self._run.clock.schedule(DELAY_S, lambda: self._deliver(pending))

    def _deliver(self, pending: list[News]) -> None:
        for gateway in self._run.gateways:
            if gateway is not self:
                for news in pending:
                    news(gateway)


class ServedCall:
    """Take one call from its arrival to its end."""

    def __init__(self, run: "GatewayRun", mix: CallMix, prompt: Prompt) -> None:
        self._run = run
        self._mix = mix
        self._prompt = prompt
        self._arrived_s = run.clock.now_s
        self._returns = 0
        self._done = False
        self._engine_call: tuple[ModelledEngine, EngineCall] | None = None
        self._open: tuple[ModelledGateway, UpstreamId] | None = None
        self._call = self._make_call()
        run.clock.schedule(mix.timeout_s, self._time_out)

    def arrive(self) -> None:
        """Come to one of the gateways."""
        if self._done:
            return
        run = self._run
        gateway = run.random.choice(run.gateways)
        self._call = self._make_call()
        choice = gateway.chooser.choose(
            self._call, run.traits, gateway.avoided, run.clock.now_s
        )
        decision = admit(self._call, choice, run.clock.now_s)
        if choice is None or isinstance(decision, Rejected):
            retry_s = decision.retry_after_s if isinstance(decision, Rejected) else 0.5
            self._refuse(retry_s)
            return
        self._send(gateway, choice)

    def _make_call(self) -> Call:
        run, mix = self._run, self._mix
        return Call(
            request=RequestId(f"{next(run.numbers)}"),
            route=run.routes[mix.name],
            service=SERVICE,
            arrived_s=run.clock.now_s,
            deadline_s=self._arrived_s + mix.timeout_s,
            prompt=self._prompt,
        )

    def _refuse(self, retry_s: float) -> None:
        outcome = self._run.outcomes[self._mix.name]
        outcome.refusals += 1
        left_s = self._arrived_s + self._mix.timeout_s - self._run.clock.now_s
        if self._returns >= MAX_RETURNS or retry_s > left_s / 3:
            self._done = True
            outcome.refused += 1
            return
        self._returns += 1
        self._run.clock.schedule(retry_s, self.arrive)

    def _send(self, gateway: ModelledGateway, choice: Choice) -> None:
        reader = choice.prefill or choice.upstream
        apart = choice.prefill is not None
        self._start_work(
            gateway,
            reader.upstream,
            read_s=choice.read_s,
            effort=choice.effort,
            moved_s=choice.fetch_s,
        )
        engine = self._run.engines[reader.upstream]
        fetch_s, fetched = self._fetch(choice, reader)

        def read() -> None:
            if self._done:
                return
            if apart:
                self._note_read(gateway, reader.upstream)
                self._end_work(gateway, reader.upstream)
                self._move(gateway, reader)
            else:
                self._note_first(gateway, reader.upstream)

        def end() -> None:
            if apart:
                read()
            else:
                self._finish(gateway, reader.upstream)

        job = self._make_job(0 if apart else self._mix.tokens_out, read, end)
        self._submit(engine, job, fetch_s + DELAY_S, fetched)

    def _move(self, gateway: ModelledGateway, reader: Registration) -> None:
        """Go on at an engine that runs calls, with the prompt read elsewhere."""
        run = self._run
        move = gateway.chooser.choose_target(
            self._call, run.traits, reader, gateway.avoided, run.clock.now_s
        )
        assert move is not None
        target = move.target
        self._start_work(gateway, target.upstream, moved_s=move.moved_s)
        engine = run.engines[target.upstream]
        moved_s = self._measure_transfer(self._prompt.tokens_in, reader, target)
        ready_s = engine.link.reserve(run.clock.now_s, moved_s) - run.clock.now_s
        job = self._make_job(
            self._mix.tokens_out,
            lambda: self._note_first(gateway, target.upstream),
            lambda: self._finish(gateway, target.upstream),
        )
        self._submit(engine, job, ready_s + DELAY_S, self._prompt.tokens_in - 1)

    def _fetch(self, choice: Choice, reader: Registration) -> tuple[float, int]:
        source = choice.prefix_source
        if source is None:
            return 0.0, 0
        run = self._run
        held = run.engines[source.upstream].cache.count_read(self._prompt.parts)
        own = run.engines[reader.upstream].cache.count_read(self._prompt.parts)
        if held <= own:
            return 0.0, 0
        took_s = self._measure_transfer(held - own, source, reader)
        link = run.engines[reader.upstream].link
        return link.reserve(run.clock.now_s, took_s) - run.clock.now_s, held

    def _measure_transfer(
        self, tokens: int, source: Registration, target: Registration
    ) -> float:
        run = self._run
        run.moved_tokens += tokens
        seconds = tokens * run.traits.kv_token_bytes / run.traits.link_bytes_per_s
        return seconds * (1 if source.zone == target.zone else 2)

    def _make_job(self, tokens_out: int, on_read: Action, on_end: Action) -> EngineCall:
        return EngineCall(
            request=self._call.request,
            priority=self._mix.priority,
            parts=self._prompt.parts,
            tokens_in=self._prompt.tokens_in,
            tokens_out=tokens_out,
            on_read=on_read,
            on_end=on_end,
        )

    def _submit(
        self, engine: ModelledEngine, job: EngineCall, delay_s: float, fetched: int
    ) -> None:
        self._engine_call = (engine, job)

        def deliver() -> None:
            if not job.cancelled:
                engine.submit(job, fetched)

        self._run.clock.schedule(delay_s, deliver)

    def _start_work(
        self,
        gateway: ModelledGateway,
        upstream: UpstreamId,
        *,
        read_s: float = 0.0,
        effort: float = 0.0,
        moved_s: float = 0.0,
    ) -> None:
        request, parts = self._call.request, self._prompt.parts
        priority = self._mix.priority
        clock = self._run.clock

        def apply(to: ModelledGateway) -> None:
            to.ledger.start(
                Work(
                    request=request,
                    upstream=upstream,
                    priority=priority,
                    read_s=read_s,
                    effort=effort,
                    started_s=clock.now_s,
                    parts=parts,
                    moved_s=moved_s,
                )
            )

        self._open = (gateway, upstream)
        gateway.tell(apply, read_s)

    def _note_read(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._run.clock
        gateway.tell(
            lambda to: to.ledger.finish_reading(upstream, request, clock.now_s)
        )

    def _end_work(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._run.clock
        self._open = None
        gateway.tell(lambda to: to.ledger.end(upstream, request, clock.now_s))

    def _note_first(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        if self._done:
            return
        self._note_read(gateway, upstream)
        first_s = self._run.clock.now_s + DELAY_S - self._arrived_s
        self._run.outcomes[self._mix.name].first_s.append(first_s)
        self._first_s = first_s

    def _finish(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        if self._done:
            return
        self._done = True
        self._end_work(gateway, upstream)
        outcome = self._run.outcomes[self._mix.name]
        ran_s = self._run.clock.now_s - self._arrived_s - self._first_s
        gateway.runs.record(self._call, max(0.0, ran_s))
        if self._first_s <= self._mix.objective_s:
            outcome.in_time += 1
        else:
            outcome.late += 1

    def _time_out(self) -> None:
        if self._done:
            return
        self._done = True
        self._run.outcomes[self._mix.name].failed += 1
        if self._engine_call is not None:
            engine, job = self._engine_call
            engine.cancel(job)
        if self._open is not None:
            self._end_work(*self._open)


class GatewayRun:
    """Play one scenario."""

    def __init__(self, scenario: GatewayScenario, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.numbers = count()
        self.sent_bytes = 0
        self.moved_tokens = 0
        model = scenario.engine
        self.traits = EngineTraits(
            slots=model.slots,
            kv_capacity_tokens=model.kv_capacity_tokens,
            kv_token_bytes=model.kv_token_bytes,
            link_bytes_per_s=model.link_bytes_per_s,
            handle_lifetime_s=5.0,
            switch_s=3.0,
        )
        self.registrations = self._register()
        self.engines = {
            item.upstream: ModelledEngine(
                model=model,
                stage=item.stage or Stage.DECODE,
                schedule=self.clock.schedule,
            )
            for item in self.registrations
        }
        self.outcomes = {mix.name: Outcome() for mix in scenario.mixes}
        self.routes = {mix.name: _make_route(mix) for mix in scenario.mixes}
        self._prompts = {mix.name: self._make_shared(mix) for mix in scenario.mixes}
        self.gateways = [
            ModelledGateway(self, self._name_zone(index))
            for index in range(scenario.gateways)
        ]

    def play(self) -> None:
        """Send all calls and run until each has ended."""
        for mix in self.scenario.mixes:
            self._schedule_next(mix)
        if self.scenario.lost_engines:
            self.clock.schedule(self.scenario.duration_s / 3, self._lose_engines)
        self.clock.run()

    def _schedule_next(self, mix: CallMix) -> None:
        factor = max(
            (
                surge.factor
                for surge in self.scenario.surges
                if surge.mix == mix.name
                and surge.start_s <= self.clock.now_s < surge.end_s
            ),
            default=1.0,
        )
        delay_s = self.random.expovariate(mix.per_s * factor)
        if self.clock.now_s + delay_s < self.scenario.duration_s:
            self.clock.schedule(delay_s, lambda: self._arrive(mix))

    def _arrive(self, mix: CallMix) -> None:
        self._schedule_next(mix)
        self.outcomes[mix.name].calls += 1
        shared = self.random.choice(self._prompts[mix.name])
        own = self._draw(mix.own_tokens)
        last = PromptPart(PrefixId(f"o{next(self.numbers)}"), own)
        prompt = Prompt(
            model=MODEL,
            tokens_in=shared.tokens + own,
            tokens_out=mix.tokens_out,
            parts=(shared, last),
        )
        ServedCall(self, mix, prompt).arrive()

    def _lose_engines(self) -> None:
        """End some engines of each stage; the gateways hear of it a second later."""
        step = max(1, len(self.registrations) // self.scenario.lost_engines)
        lost = self.registrations[::step][: self.scenario.lost_engines]
        for item in lost:
            self.engines[item.upstream].fail()

        def notice() -> None:
            for gateway in self.gateways:
                gateway.avoided.update(item.upstream for item in lost)

        self.clock.schedule(1.0, notice)

    def _register(self) -> list[Registration]:
        scenario = self.scenario
        decoders = max(1, int(scenario.decoder_part * scenario.engines))
        return [
            Registration(
                upstream=UpstreamId(f"e{index:03}"),
                service=SERVICE,
                address=Address("10.0.0.1", 8000 + index),
                zone=self._name_zone(index),
                slots=scenario.engine.slots,
                draining=False,
                started_ms=0,
                stage=Stage.DECODE if index < decoders else Stage.PREFILL,
            )
            for index in range(scenario.engines)
        ]

    def _name_zone(self, index: int) -> ZoneName:
        return ZoneName(f"z{index % self.scenario.zones}")

    def _make_shared(self, mix: CallMix) -> list[PromptPart]:
        return [
            PromptPart(PrefixId(f"{mix.name}{index}"), self._draw(mix.shared_tokens))
            for index in range(mix.sessions)
        ]

    def _draw(self, mean: int) -> int:
        """Return a size with the mean, spread and at most three times as large."""
        size = self.random.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD)
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
