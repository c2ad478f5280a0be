"""Entries of the policy benchmark: the production decision modules of an entry."""

from collections.abc import Mapping
from dataclasses import replace
from functools import partial
from random import Random
from time import perf_counter
from typing import Final

from bramleyport.admission import AdmissionPolicy, Rejected
from bramleyport.bench._policy_agent import (
    KV_BYTES_PER_TOKEN,
    TRANSFER,
    SimAgent,
    SimAttempt,
)
from bramleyport.bench._policy_record import Recorder, RequestRun
from bramleyport.bench._policy_traffic import Request
from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import (
    AttemptId,
    EngineLoad,
    PrefixBlock,
    SentWork,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    Work,
)
from bramleyport.estimate import Estimator, Observation
from bramleyport.planning import EngineCosts, compute_token_cost, is_short_answer
from bramleyport.retries import AttemptFailure, GiveUp, RetryPolicy, UpstreamGuard
from bramleyport.routing import RoutingPolicy, is_eligible
from bramleyport.standins import EngineProfile

NETWORK_S: Final = 0.0015
PROFILE: Final = EngineProfile()
COSTS: Final = EngineCosts()


class SimEntry:
    """Simulate an entry that admits, routes and retries requests."""

    def __init__(
        self,
        clock: VirtualClock,
        agents: Mapping[UpstreamId, SimAgent],
        estimator: Estimator,
        admission: AdmissionPolicy,
        routing: RoutingPolicy,
        retries: RetryPolicy,
        guard: UpstreamGuard,
        recorder: Recorder,
        rng: Random,
    ) -> None:
        self.views = {name: _copy_view(agent.view) for name, agent in agents.items()}
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.short_s = 0.0
        self._clock = clock
        self._agents = agents
        self._estimator = estimator
        self._admission = admission
        self._routing = routing
        self._retries = retries
        self._guard = guard
        self._recorder = recorder
        self._rng = rng

    def handle(self, request: Request) -> None:
        """Admit and route a new request, or reject it."""
        run = RequestRun(request)
        self._recorder.runs.append(run)
        work, now_s = request.work, self._clock.now_s
        started = perf_counter()
        decision = self._admission.admit(work, self._list_eligible(work, set()), now_s)
        if isinstance(decision, Rejected):
            self._recorder.decision_s.append(perf_counter() - started)
            self._recorder.counts["rejected"] += 1
            self._recorder.reasons[f"rejected_{decision.explanation.reason}"] += 1
            run.result = "rejected"
            self._count_demand(work, None)
            return
        self._retries.record_request(now_s)
        route = self._choose(run)
        self._recorder.decision_s.append(perf_counter() - started)
        self._count_demand(work, route[0] if route else None)
        self._send(run, route)

    def finish(self, attempt: SimAttempt) -> None:
        """Complete an answered request."""
        run, now_s = attempt.run, self._clock.now_s
        run.result = "completed"
        if run.first_s is not None and not attempt.imported:
            first_s = run.first_s - attempt.sent_s
            work = run.request.work
            self._guard.observe_first_chunk(attempt.upstream, work, first_s, now_s)
        self._guard.finish(attempt.upstream, None, now_s)

    def start_decode(self, attempt: SimAttempt) -> None:
        """Transfer a request from its prefill engine to its decode engine."""
        decode, work = attempt.decode_agent, attempt.run.request.work
        assert decode is not None
        self._guard.finish(attempt.upstream, None, self._clock.now_s)
        attempt.decode_agent = None
        attempt.imported = True
        attempt.upstream = decode.view.upstream
        self._guard.start(attempt.upstream)
        sent = replace(work, prompt_tokens=0)
        self.views[attempt.upstream].sent.add(sent, self._clock.now_s)
        transfer_s = TRANSFER.forecast(work.prompt_tokens, KV_BYTES_PER_TOKEN)
        delay_s = 2 * NETWORK_S + transfer_s
        self._clock.call_later(delay_s, partial(decode.execute, attempt))

    def observe(self, observation: Observation) -> None:
        """Update the estimator with a finished request."""
        self._estimator.observe(observation)

    def fail(self, attempt: SimAttempt, failure: AttemptFailure) -> None:
        """Retry or give up after a failed attempt."""
        run = attempt.run
        run.tried.add(failure.upstream)
        self._guard.finish(attempt.upstream, failure, self._clock.now_s)
        decision = self._retries.decide(
            run.attempts, run.request.work, failure, self._clock.now_s
        )
        if isinstance(decision, GiveUp):
            self._recorder.counts["given_up"] += 1
            self._recorder.reasons[f"gave_up_{decision.explanation.reason}"] += 1
            run.result = "failed"
            run.give_up_reason = decision.explanation.reason
            return
        self._recorder.counts["retried"] += 1
        self._send(run, self._choose(run))

    def apply_load(self, upstream: UpstreamId, load: EngineLoad) -> None:
        """Apply a load report and keep the work sent since it was measured."""
        view = self.views[upstream]
        view.load = load
        view.sent = view.sent.select_sent_after(load.taken_s - NETWORK_S)

    def apply_state(self, source: UpstreamView) -> None:
        """Apply the state, the role and the rates that an upstream reports."""
        view = self.views[source.upstream]
        view.state = source.state
        view.role = source.role
        view.rates = source.rates

    def apply_cache(
        self, upstream: UpstreamId, stored: set[PrefixBlock], evicted: set[PrefixBlock]
    ) -> None:
        """Apply the changes of a cache."""
        cached = self.views[upstream].cached
        cached.blocks.update(stored)
        cached.blocks.difference_update(evicted)

    def _count_demand(self, work: Work, agent: SimAgent | None) -> None:
        """Add a request's work to the demand, without the cached part of its prompt."""
        if work.kind is not ServiceKind.LANGUAGE or not self.views:
            return
        view = next(iter(self.views.values()))
        cached_blocks = 0
        if agent is not None:
            view = self.views[agent.view.upstream]
            cached_blocks = view.cached.count_cached(work.prefix_blocks)
        uncached = max(0, work.prompt_tokens - cached_blocks * view.block_tokens)
        estimate = self._estimator.estimate(work, view)
        output_s = estimate.output_tokens * compute_token_cost(COSTS)
        if is_short_answer(work, COSTS):
            self.short_s += uncached / view.rates.prefill_tokens_per_s + output_s
        self.prefill_s += uncached / view.rates.prefill_tokens_per_s
        self.decode_s += estimate.output_tokens / view.rates.decode_tokens_per_s

    def _list_eligible(self, work: Work, tried: set[UpstreamId]) -> list[UpstreamView]:
        return [
            view
            for view in self.views.values()
            if view.upstream not in tried and is_eligible(work, view)
        ]

    def _choose(self, run: RequestRun) -> "tuple[SimAgent, SimAgent | None] | None":
        work = run.request.work
        now_s = self._clock.now_s
        views = self._list_eligible(work, run.tried) or self._list_eligible(work, set())
        screened = self._guard.screen(views, now_s).views if views else []
        route = self._routing.choose(work, screened, now_s, self._rng)
        if route is None:
            return None
        decode = route.decode_upstream
        if run.attempts:
            decode = None
        if decode:
            self._recorder.counts["split"] += 1
        return self._agents[route.upstream], self._agents[decode] if decode else None

    def _send(
        self, run: RequestRun, route: "tuple[SimAgent, SimAgent | None] | None"
    ) -> None:
        if route is None:
            run.result = "no_upstream"
            self._recorder.counts["no_upstream"] += 1
            return
        agent, decode_agent = route
        run.attempts += 1
        work = run.request.work
        sent = replace(work, max_output_tokens=0) if decode_agent else work
        self.views[agent.view.upstream].sent.add(sent, self._clock.now_s)
        self._guard.start(agent.view.upstream)
        attempt = SimAttempt(
            attempt=AttemptId(f"{work.request}/{run.attempts}"),
            run=run,
            entry=self,
            upstream=agent.view.upstream,
            sent_s=self._clock.now_s,
            decode_agent=decode_agent,
        )
        self._clock.call_later(NETWORK_S, partial(agent.execute, attempt))


def _copy_view(view: UpstreamView) -> UpstreamView:
    cached = replace(view.cached, blocks=set(view.cached.blocks))
    return replace(view, cached=cached, sent=SentWork(), state=UpstreamState.LIVE)
