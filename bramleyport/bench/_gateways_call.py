"""Simulate one call of the gateway benchmark."""

from typing import TYPE_CHECKING, Final

from bramleyport.admission import Rejected
from bramleyport.bench._gateways_engine import Action, EngineCall, ModelledEngine
from bramleyport.bench._gateways_scenario import CallMix
from bramleyport.bench._gateways_state import SERVICE, SimulationState
from bramleyport.bench._gateways_view import DELAY_S, ModelledGateway
from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import (
    Call,
    Choice,
    Prompt,
    RateLimitNotice,
    Registration,
    Work,
    admit,
    writes_answers,
)
from bramleyport.platform import AnswerHead

if TYPE_CHECKING:
    from bramleyport.gateway._rate_limits import Reservation

# Callers retry once after a refusal.
MAX_RETRIES: Final = 1
# Retry-After of a call whose prompt was prefilled, but that no engine can decode.
UNPLACED_RETRY_S: Final = 0.3
# Updates on limits are sent as urgently as work of this duration.
URGENT_BUSY_S: Final = 1.0


class ServedCall:
    """Track one call from its arrival to its end."""

    def __init__(self, state: SimulationState, mix: CallMix, prompt: Prompt) -> None:
        self._state = state
        self._mix = mix
        self._prompt = prompt
        self._arrived_s = state.clock.now_s
        self._retries = 0
        self._done = False
        self._reservation: Reservation | None = None
        self._engine_call: tuple[ModelledEngine, EngineCall] | None = None
        self._running_work: tuple[ModelledGateway, UpstreamId] | None = None
        self._call = self._make_call()
        state.clock.call_later(mix.timeout_s, self._time_out)

    def arrive(self) -> None:
        """Send the call to a random gateway."""
        if self._done:
            return
        state = self._state
        gateway = state.random.choice(state.network.gateways)
        self._call = self._make_call()
        now_s = state.clock.now_s
        gateway.limiter.record_call(self._call, now_s)
        ready = gateway.members.list_ready(SERVICE)
        final = [item for item in ready if writes_answers(item)]
        blocked = gateway.limiter.find_blocked(self._call, ready, final, now_s)
        choice = gateway.chooser.choose(
            self._call,
            state.traits,
            gateway.avoided | blocked,
            now_s,
            limited=gateway.limiter.list_limited(ready),
        )
        decision = admit(self._call, choice, now_s)
        if choice is None and blocked:
            decision = gateway.limiter.refuse(ready, now_s)
        if choice is None or isinstance(decision, Rejected):
            retry_s = decision.retry_after_s if isinstance(decision, Rejected) else 0.5
            self._refuse(retry_s)
            return
        self._reservation = gateway.limiter.take_choice(self._call, choice, now_s)
        self._send(gateway, choice)

    def _make_call(self) -> Call:
        state, mix = self._state, self._mix
        return Call(
            request=RequestId(f"{next(state.numbers)}"),
            route=state.routes[mix.name],
            service=SERVICE,
            arrived_s=state.clock.now_s,
            deadline_s=self._arrived_s + mix.timeout_s,
            prompt=self._prompt,
        )

    def _refuse(self, retry_s: float) -> None:
        outcome = self._state.outcomes[self._mix.name]
        outcome.refusals += 1
        remaining_s = self._arrived_s + self._mix.timeout_s - self._state.clock.now_s
        if self._retries >= MAX_RETRIES or retry_s > remaining_s / 3:
            self._done = True
            outcome.refused += 1
            return
        self._retries += 1
        self._state.clock.call_later(retry_s, self.arrive)

    def _send(self, gateway: ModelledGateway, choice: Choice) -> None:
        prefill_engine = choice.prefill or choice.upstream
        is_split = choice.prefill is not None
        self._start_work(
            gateway,
            prefill_engine.upstream,
            prefill_s=choice.prefill_s,
            prefill_cost=choice.prefill_cost,
            transfer_s=choice.fetch_s,
        )
        engine = self._state.engines[prefill_engine.upstream]
        fetch_s, fetched = self._fetch(choice, prefill_engine)

        def complete_prefill() -> None:
            if self._done:
                return
            if is_split:
                self._record_prefill(gateway, prefill_engine.upstream)
                self._record_answer(gateway, prefill_engine, stamped=False)
                self._end_work(gateway, prefill_engine.upstream)
                self._start_decode(gateway, prefill_engine)
            else:
                self._record_first_token(gateway, prefill_engine)

        def end() -> None:
            if is_split:
                complete_prefill()
            else:
                self._finish(gateway, prefill_engine.upstream)

        job = self._make_job(
            0 if is_split else self._mix.tokens_out, complete_prefill, end
        )
        self._submit(engine, job, fetch_s + DELAY_S, fetched)

    def _start_decode(
        self, gateway: ModelledGateway, prefill_engine: Registration
    ) -> None:
        """Transfer the KV cache of the prompt to a decode engine and decode there."""
        state = self._state
        now_s = state.clock.now_s
        reserved = self._reservation
        if reserved is not None and now_s > reserved.until_s:
            gateway.limiter.give_back(reserved, now_s)
            reserved = None
        ready = gateway.members.list_ready(SERVICE)
        exhausted = gateway.limiter.list_exhausted(ready, now_s)
        if reserved is not None:
            exhausted.discard(reserved.target.upstream)
        transfer = gateway.chooser.choose_transfer(
            self._call, state.traits, prefill_engine, gateway.avoided | exhausted, now_s
        )
        if transfer is None:
            self._refuse(UNPLACED_RETRY_S)
            return
        target = transfer.target
        if reserved is None or reserved.target.upstream != target.upstream:
            if reserved is not None:
                gateway.limiter.give_back(reserved, now_s)
            gateway.limiter.take(target, now_s)
        self._start_work(gateway, target.upstream, transfer_s=transfer.transfer_s)
        engine = state.engines[target.upstream]
        transfer_s = self._record_transfer(
            self._prompt.tokens_in, prefill_engine, target
        )
        ready_s = engine.link.reserve(state.clock.now_s, transfer_s) - state.clock.now_s
        job = self._make_job(
            self._mix.tokens_out,
            lambda: self._record_first_token(gateway, target),
            lambda: self._finish(gateway, target.upstream),
        )
        self._submit(engine, job, ready_s + DELAY_S, self._prompt.tokens_in - 1)

    def _fetch(self, choice: Choice, prefill_engine: Registration) -> tuple[float, int]:
        source = choice.prefix_source
        if source is None:
            return 0.0, 0
        state = self._state
        source_tokens = state.engines[source.upstream].cache.count_confirmed(
            self._prompt.parts
        )
        own_tokens = state.engines[prefill_engine.upstream].cache.count_confirmed(
            self._prompt.parts
        )
        if source_tokens <= own_tokens:
            return 0.0, 0
        duration_s = self._record_transfer(
            source_tokens - own_tokens, source, prefill_engine
        )
        link = state.engines[prefill_engine.upstream].link
        return link.reserve(
            state.clock.now_s, duration_s
        ) - state.clock.now_s, source_tokens

    def _record_transfer(
        self, tokens: int, source: Registration, target: Registration
    ) -> float:
        state = self._state
        state.transferred_tokens += tokens
        seconds = tokens * state.traits.kv_token_bytes / state.traits.link_bytes_per_s
        return seconds * (1 if source.zone == target.zone else 2)

    def _make_job(
        self, tokens_out: int, on_prefilled: Action, on_end: Action
    ) -> EngineCall:
        return EngineCall(
            request=self._call.request,
            priority=self._mix.priority,
            parts=self._prompt.parts,
            tokens_in=self._prompt.tokens_in,
            tokens_out=tokens_out,
            on_prefilled=on_prefilled,
            on_end=on_end,
        )

    def _submit(
        self, engine: ModelledEngine, job: EngineCall, delay_s: float, fetched: int
    ) -> None:
        self._engine_call = (engine, job)
        self._sent_s = self._state.clock.now_s
        engine.arrivals_s.append(self._sent_s + delay_s)

        def deliver() -> None:
            if not job.cancelled:
                engine.submit(job, fetched)

        self._state.clock.call_later(delay_s, deliver)

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
        clock = self._state.clock

        def apply(receiver: ModelledGateway) -> None:
            receiver.recorder.start(
                Work(
                    request=request,
                    upstream=upstream,
                    priority=priority,
                    prefill_s=prefill_s,
                    prefill_cost=prefill_cost,
                    started_s=clock.now_s,
                    parts=parts,
                    transfer_s=transfer_s,
                    origin="" if receiver is gateway else gateway.process,
                )
            )

        self._running_work = (gateway, upstream)
        gateway.publish_update(apply, prefill_s)

    def _record_prefill(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._state.clock
        gateway.publish_update(
            lambda receiver: receiver.recorder.finish_prefill(
                upstream, request, clock.now_s
            )
        )

    def _end_work(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        request, clock = self._call.request, self._state.clock
        self._running_work = None
        gateway.publish_update(
            lambda receiver: receiver.recorder.end(upstream, request, clock.now_s)
        )

    def _record_answer(
        self, gateway: ModelledGateway, target: Registration, *, stamped: bool
    ) -> None:
        """Record the limit that an engine names, and tell the other gateways."""
        head = AnswerHead(
            request=None,
            not_run=False,
            stamped=stamped,
            encoded=False,
            instance=None,
            idle_timeout_s=None,
            rate_limit=self._state.engines[target.upstream].limit,
        )
        now_s = self._state.clock.now_s
        gateway.limiter.record_answer(target, head, self._sent_s, now_s)
        for notice in gateway.limiter.take_due_notices(now_s):
            self._publish_limit(gateway, notice)

    def _publish_limit(self, gateway: ModelledGateway, notice: RateLimitNotice) -> None:
        clock = self._state.clock

        def apply(receiver: ModelledGateway) -> None:
            receiver.limiter.apply_notice(notice, clock.now_s)

        gateway.publish_update(apply, URGENT_BUSY_S)

    def _record_first_token(
        self, gateway: ModelledGateway, target: Registration
    ) -> None:
        if self._done:
            return
        self._record_answer(gateway, target, stamped=True)
        self._record_prefill(gateway, target.upstream)
        first_s = self._state.clock.now_s + DELAY_S - self._arrived_s
        self._state.outcomes[self._mix.name].first_s.append(first_s)
        self._first_s = first_s

    def _finish(self, gateway: ModelledGateway, upstream: UpstreamId) -> None:
        if self._done:
            return
        self._done = True
        self._end_work(gateway, upstream)
        outcome = self._state.outcomes[self._mix.name]
        decode_s = self._state.clock.now_s - self._arrived_s - self._first_s
        gateway.decode_times.record(self._call, max(0.0, decode_s))
        if self._first_s <= self._mix.objective_s:
            outcome.in_time += 1
        else:
            outcome.late += 1

    def _time_out(self) -> None:
        if self._done:
            return
        self._done = True
        self._state.outcomes[self._mix.name].failed += 1
        if self._engine_call is not None:
            engine, job = self._engine_call
            engine.cancel(job)
        if self._running_work is not None:
            self._end_work(*self._running_work)
