"""Take one call of a model from its arrival to its end."""

from typing import Final

from bramleyport.admission import Rejected
from bramleyport.bench._gateways_engine import Action, EngineCall, ModelledEngine
from bramleyport.bench._gateways_scenario import CallMix
from bramleyport.bench._gateways_view import DELAY_S, ModelledGateway
from bramleyport.bench._gateways_world import SERVICE, World
from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Call, Choice, Prompt, Registration, Work, admit

# Callers come back once after a refusal.
MAX_RETURNS: Final = 1


class ServedCall:
    """Take one call from its arrival to its end."""

    def __init__(self, world: World, mix: CallMix, prompt: Prompt) -> None:
        self._world = world
        self._mix = mix
        self._prompt = prompt
        self._arrived_s = world.clock.now_s
        self._returns = 0
        self._done = False
        self._engine_call: tuple[ModelledEngine, EngineCall] | None = None
        self._open: tuple[ModelledGateway, UpstreamId] | None = None
        self._call = self._make_call()
        world.clock.call_later(mix.timeout_s, self._time_out)

    def arrive(self) -> None:
        """Come to one of the gateways."""
        if self._done:
            return
        world = self._world
        gateway = world.random.choice(world.network.gateways)
        self._call = self._make_call()
        choice = gateway.chooser.choose(
            self._call, world.traits, gateway.avoided, world.clock.now_s
        )
        decision = admit(self._call, choice, world.clock.now_s)
        if choice is None or isinstance(decision, Rejected):
            retry_s = decision.retry_after_s if isinstance(decision, Rejected) else 0.5
            self._refuse(retry_s)
            return
        self._send(gateway, choice)

    def _make_call(self) -> Call:
        world, mix = self._world, self._mix
        return Call(
            request=RequestId(f"{next(world.numbers)}"),
            route=world.routes[mix.name],
            service=SERVICE,
            arrived_s=world.clock.now_s,
            deadline_s=self._arrived_s + mix.timeout_s,
            prompt=self._prompt,
        )

    def _refuse(self, retry_s: float) -> None:
        outcome = self._world.outcomes[self._mix.name]
        outcome.refusals += 1
        left_s = self._arrived_s + self._mix.timeout_s - self._world.clock.now_s
        if self._returns >= MAX_RETURNS or retry_s > left_s / 3:
            self._done = True
            outcome.refused += 1
            return
        self._returns += 1
        self._world.clock.call_later(retry_s, self.arrive)

    def _send(self, gateway: ModelledGateway, choice: Choice) -> None:
        reader = choice.prefill or choice.upstream
        apart = choice.prefill is not None
        self._start_work(
            gateway,
            reader.upstream,
            prefill_s=choice.prefill_s,
            prefill_cost=choice.prefill_cost,
            transfer_s=choice.fetch_s,
        )
        engine = self._world.engines[reader.upstream]
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
        world = self._world
        move = gateway.chooser.choose_transfer(
            self._call, world.traits, reader, gateway.avoided, world.clock.now_s
        )
        assert move is not None
        target = move.target
        self._start_work(gateway, target.upstream, transfer_s=move.transfer_s)
        engine = world.engines[target.upstream]
        transfer_s = self._measure_transfer(self._prompt.tokens_in, reader, target)
        ready_s = engine.link.reserve(world.clock.now_s, transfer_s) - world.clock.now_s
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
        world = self._world
        held = world.engines[source.upstream].cache.count_confirmed(self._prompt.parts)
        own = world.engines[reader.upstream].cache.count_confirmed(self._prompt.parts)
        if held <= own:
            return 0.0, 0
        took_s = self._measure_transfer(held - own, source, reader)
        link = world.engines[reader.upstream].link
        return link.reserve(world.clock.now_s, took_s) - world.clock.now_s, held

    def _measure_transfer(
        self, tokens: int, source: Registration, target: Registration
    ) -> float:
        world = self._world
        world.moved_tokens += tokens
        seconds = tokens * world.traits.kv_token_bytes / world.traits.link_bytes_per_s
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

        self._world.clock.call_later(delay_s, deliver)

    def _start_work(
        self,
        gateway: ModelledGateway,
        upstream: UpstreamId,
        *,
        prefill_s: float = 0.0,
        prefill_cost: float = 0.0,
        transfer_s: float = 0.0,
    ) -> None:
        request, parts = self._call.request, self._prompt.parts
        priority = self._mix.priority
        clock = self._world.clock

        def apply(to: ModelledGateway) -> None:
            to.recorder.start(
                Work(
                    request=request,
                    upstream=upstream,
                    priority=priority,
                    prefill_s=prefill_s,
                    prefill_cost=prefill_cost,
                    started_s=clock.now_s,
                    parts=parts,
                    transfer_s=transfer_s,
                )
            )

        self._open = (gateway, upstream)
        gateway.tell(apply, prefill_s)

    def _note_read(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._world.clock
        gateway.tell(
            lambda to: to.recorder.finish_prefill(upstream, request, clock.now_s)
        )

    def _end_work(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._world.clock
        self._open = None
        gateway.tell(lambda to: to.recorder.end(upstream, request, clock.now_s))

    def _note_first(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        if self._done:
            return
        self._note_read(gateway, upstream)
        first_s = self._world.clock.now_s + DELAY_S - self._arrived_s
        self._world.outcomes[self._mix.name].first_s.append(first_s)
        self._first_s = first_s

    def _finish(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        if self._done:
            return
        self._done = True
        self._end_work(gateway, upstream)
        outcome = self._world.outcomes[self._mix.name]
        ran_s = self._world.clock.now_s - self._arrived_s - self._first_s
        gateway.decode_times.record(self._call, max(0.0, ran_s))
        if self._first_s <= self._mix.objective_s:
            outcome.in_time += 1
        else:
            outcome.late += 1

    def _time_out(self) -> None:
        if self._done:
            return
        self._done = True
        self._world.outcomes[self._mix.name].failed += 1
        if self._engine_call is not None:
            engine, job = self._engine_call
            engine.cancel(job)
        if self._open is not None:
            self._end_work(*self._open)
