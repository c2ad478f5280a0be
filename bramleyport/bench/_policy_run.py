"""Simulate one scenario with one set of policies."""

from collections.abc import Iterator, Set
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from time import perf_counter
from typing import Final

from bramleyport.admission import ADMISSION_POLICIES
from bramleyport.bench._policy_agent import (
    EXPIRE_INTERVAL_S,
    KV_BYTES_PER_TOKEN,
    TRANSFER,
    SimAgent,
    read_rates,
)
from bramleyport.bench._policy_entry import NETWORK_S, SimEntry
from bramleyport.bench._policy_record import Recorder
from bramleyport.bench._policy_scenario import (
    LANGUAGE_WORKERS,
    PLAIN_WORKERS,
    ZONES,
    Fault,
    Scenario,
)
from bramleyport.bench._policy_traffic import MODEL, ORDERS, Request, make_requests
from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import (
    EngineRole,
    PrefixBlock,
    ProcessId,
    RegionName,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    ZoneName,
)
from bramleyport.estimate import ESTIMATORS
from bramleyport.planning import (
    ROLE_PLANNERS,
    DemandSample,
    EngineCosts,
    PoolEngine,
    PoolState,
    RoleChange,
    RolePlanner,
)
from bramleyport.queueing import QUEUE_POLICIES
from bramleyport.retries import RETRY_POLICIES, UPSTREAM_GUARDS
from bramleyport.routing import (
    ROUTING_POLICIES,
    Place,
    SubsetHost,
    SubsetSelector,
)
from bramleyport.standins import EngineModel, EngineProfile

REPORT_INTERVAL_S: Final = 1.0
PLAN_INTERVAL_S: Final = 5.0
PLAN_HISTORY_SAMPLES: Final = 120
ORDER_DELAY_S: Final = 0.5
CACHE_REBUILD_S: Final = 5.0
DRAIN_S: Final = 60.0
SUBSET_SIZE: Final = LANGUAGE_WORKERS + PLAIN_WORKERS
ENTRIES_PER_FLEET: Final = 2
PLAIN_PROFILE: Final = EngineProfile(step_base_s=0.05, max_streams=8)
REGION: Final = RegionName("lk-west")


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySet:
    """Describe which policy makes each decision, by its registered name."""

    estimator: str = "declared"
    admission: str = "open"
    routing: str = "least_loaded"
    retries: str = "counted"
    guard: str = "none"
    queue: str = "fifo"
    planner: str = "static"
    splits: bool = False


BASELINE: Final = PolicySet()
BETTER: Final = PolicySet(
    estimator="learned",
    admission="in_time",
    routing="affinity",
    retries="budget",
    guard="adaptive",
    queue="ranked",
    planner="ratio",
    splits=True,
)
# Isolates the effect of the planner.
BETTER_STATIC: Final = replace(BETTER, planner="static")
# Isolates the effect of running prefill and decode on different engines.
BETTER_WHOLE: Final = replace(BETTER, splits=False)
POLICY_SETS: Final = {
    "baseline": BASELINE,
    "better": BETTER,
    "better_static": BETTER_STATIC,
    "better_whole": BETTER_WHOLE,
}


class PolicyRun:
    """Simulate a fleet of decision modules and modelled engines on a virtual clock."""

    def __init__(
        self, scenario: Scenario, policies: PolicySet, seed: int, scale: int
    ) -> None:
        self.scenario = scenario
        self.recorder = Recorder()
        self.end_s = scenario.shorten(scale)
        self.requests: list[Request] = []
        self._rng = Random(f"run/{seed}")
        self._clock = VirtualClock()
        self._policies = policies
        self._planner: RolePlanner = ROLE_PLANNERS.create(policies.planner)
        self._demand: list[DemandSample] = []
        self._agents = self._make_agents(scale)
        self._entries = self._make_entries(ENTRIES_PER_FLEET * scale)
        self._arrivals: Iterator[Request] = make_requests(scenario, seed, scale)
        self._next_entry = 0

    def run(self) -> Recorder:
        """Run the scenario to its end and return the measurements."""
        clock = self._clock
        self._schedule_arrival()
        clock.call_at(0.0, self._report_loads)
        clock.call_at(0.0, self._expire)
        clock.call_at(PLAN_INTERVAL_S, self._plan)
        stretch = self.end_s / self.scenario.duration_s
        for fault in self.scenario.faults:
            clock.call_at(fault.at_s * stretch, partial(self._inject, fault))
        clock.run(self.end_s + DRAIN_S)
        return self.recorder

    def _make_agents(self, scale: int) -> dict[UpstreamId, SimAgent]:
        agents = {}
        for index in range((LANGUAGE_WORKERS + PLAIN_WORKERS) * scale):
            plain = index >= LANGUAGE_WORKERS * scale
            profile = PLAIN_PROFILE if plain else EngineProfile()
            name = UpstreamId(f"{'app' if plain else 'engine'}-{index}")
            view = UpstreamView(
                upstream=name,
                kind=ServiceKind.PLAIN if plain else ServiceKind.LANGUAGE,
                zone=ZoneName(ZONES[index % len(ZONES)]),
                region=REGION,
                services=frozenset((ORDERS,)) if plain else frozenset(),
                models=frozenset() if plain else frozenset((MODEL,)),
                kv_address="" if plain else name,
                kv_bytes_per_token=0.0 if plain else KV_BYTES_PER_TOKEN,
                rates=read_rates(EngineModel(profile)),
            )
            agent = SimAgent(
                self._clock,
                view,
                profile,
                QUEUE_POLICIES.create(self._policies.queue, profile.max_streams),
                ESTIMATORS.create(self._policies.estimator),
                self.recorder,
            )
            agent.publish = self._publish
            agents[name] = agent
        return agents

    def _make_entries(self, count: int) -> list[SimEntry]:
        """Create entries, each connected to a subset of the agents of fixed size."""
        hosts = [
            SubsetHost(
                ProcessId(f"entry-{index}"), ZoneName(ZONES[index % len(ZONES)]), REGION
            )
            for index in range(count)
        ]
        upstreams = [
            SubsetHost(ProcessId(name), agent.view.zone, REGION, agent.view.kind.value)
            for name, agent in self._agents.items()
        ]
        subsets = SubsetSelector(SUBSET_SIZE).choose_all(hosts, upstreams)
        return [self._make_entry(host, subsets[host.process]) for host in hosts]

    def _make_entry(self, host: SubsetHost, subset: Set[ProcessId]) -> SimEntry:
        policies = self._policies
        estimator = ESTIMATORS.create(policies.estimator)
        names = [UpstreamId(name) for name in sorted(subset)]
        place = Place(zone=host.zone, region=host.region)
        routing: tuple[object, ...] = (estimator, place)
        if policies.splits:
            routing = (estimator, place, TRANSFER)
        return SimEntry(
            self._clock,
            {name: self._agents[name] for name in names},
            estimator,
            ADMISSION_POLICIES.create(policies.admission, estimator),
            ROUTING_POLICIES.create(policies.routing, *routing),
            RETRY_POLICIES.create(policies.retries),
            UPSTREAM_GUARDS.create(policies.guard),
            self.recorder,
            Random(self._rng.random()),
        )

    def _schedule_arrival(self) -> None:
        request = next(self._arrivals, None)
        if request is not None and request.work.arrived_s < self.end_s:
            self.requests.append(request)
            self._clock.call_at(
                request.work.arrived_s, partial(self._deliver_arrival, request)
            )

    def _deliver_arrival(self, request: Request) -> None:
        self._entries[self._next_entry].handle(request)
        self._next_entry = (self._next_entry + 1) % len(self._entries)
        self._schedule_arrival()

    def _publish(self, agent: SimAgent) -> None:
        name = agent.view.upstream
        for entry in self._entries:
            if name in entry.views:
                self._clock.call_later(
                    NETWORK_S, partial(entry.apply_state, agent.view)
                )

    def _report_loads(self) -> None:
        lag_s = self.scenario.report_lag_s
        for name, agent in self._agents.items():
            if agent.view.state is UpstreamState.GONE:
                continue
            load = agent.read_load()
            cache = agent.model.cache
            stored, evicted = set(cache.stored), set(cache.evicted)
            stored &= set(cache.list_blocks())
            cache.stored.clear()
            cache.evicted.clear()
            agent.view.load = load
            agent.view.cached.blocks.update(stored)
            agent.view.cached.blocks.difference_update(evicted)
            dropped = bool(stored or evicted) and (
                self._rng.random() < self.scenario.cache_event_loss
            )
            for entry in self._entries:
                if name not in entry.views:
                    continue
                self._clock.call_later(lag_s, partial(entry.apply_load, name, load))
                if dropped:
                    self._drop_cache_event(entry, agent)
                elif stored or evicted:
                    apply = partial(entry.apply_cache, name, stored, evicted)
                    self._clock.call_later(lag_s, apply)
        if self._clock.now_s < self.end_s + DRAIN_S:
            self._clock.call_later(REPORT_INTERVAL_S, self._report_loads)

    def _drop_cache_event(self, entry: SimEntry, agent: SimAgent) -> None:
        """Mark the cached blocks as uncertain until they are reported again."""
        cached = entry.views[agent.view.upstream].cached
        lag_s = self.scenario.report_lag_s

        def mark_uncertain() -> None:
            cached.uncertain = True

        def rebuild(blocks: set[PrefixBlock]) -> None:
            cached.blocks = blocks
            cached.uncertain = False

        def request_blocks() -> None:
            blocks = set(agent.model.cache.list_blocks())
            self._clock.call_later(lag_s, partial(rebuild, blocks))

        self._clock.call_later(lag_s, mark_uncertain)
        self._clock.call_later(lag_s + CACHE_REBUILD_S, request_blocks)

    def _expire(self) -> None:
        for agent in self._agents.values():
            if agent.view.state is not UpstreamState.GONE:
                agent.expire()
        self._clock.call_later(EXPIRE_INTERVAL_S, self._expire)

    def _plan(self) -> None:
        now_s = self._clock.now_s
        self._sample_demand(now_s)
        engines = tuple(
            _make_pool_engine(agent)
            for agent in self._agents.values()
            if agent.view.kind is ServiceKind.LANGUAGE
        )
        pool = PoolState(
            engines=engines, demand=tuple(self._demand), costs=EngineCosts()
        )
        started = perf_counter()
        plan = self._planner.plan(pool, now_s)
        self.recorder.plan_s.append(perf_counter() - started)
        for change in plan.changes:
            if isinstance(change, RoleChange):
                agent = self._agents[change.engine]
                self._clock.call_later(
                    ORDER_DELAY_S, partial(_order_role_change, agent, change.role)
                )
        live = [e for e in engines if e.state is not UpstreamState.GONE]
        roles = {role: sum(e.role is role for e in live) for role in EngineRole}
        self.recorder.roles.append((now_s, roles))
        if now_s < self.end_s:
            self._clock.call_later(PLAN_INTERVAL_S, self._plan)

    def _sample_demand(self, now_s: float) -> None:
        prefill_s = sum(entry.prefill_s for entry in self._entries)
        decode_s = sum(entry.decode_s for entry in self._entries)
        short_s = sum(entry.short_s for entry in self._entries)
        for entry in self._entries:
            entry.prefill_s = entry.decode_s = entry.short_s = 0.0
        self._demand.append(
            DemandSample(
                at_s=now_s,
                prefill_s_per_s=prefill_s / PLAN_INTERVAL_S,
                decode_s_per_s=decode_s / PLAN_INTERVAL_S,
                short_s_per_s=short_s / PLAN_INTERVAL_S,
            )
        )
        del self._demand[:-PLAN_HISTORY_SAMPLES]

    def _inject(self, fault: Fault) -> None:
        language = [
            agent
            for agent in self._agents.values()
            if agent.view.kind is ServiceKind.LANGUAGE
        ]
        if fault.kind == "withdraw_engine":
            removed = language[::LANGUAGE_WORKERS]
            for agent in removed:
                agent.drain()
        else:
            removed = [agent for agent in language if agent.view.zone == ZONES[0]]
            for agent in self._agents.values():
                if agent.view.zone == ZONES[0]:
                    agent.crash()
        remaining_engines = len(language) - len(removed)
        self.recorder.engines.append((self._clock.now_s, remaining_engines))


def _order_role_change(agent: SimAgent, role: EngineRole) -> None:
    if agent.view.state is UpstreamState.LIVE:
        agent.change_role(role)


def _make_pool_engine(agent: SimAgent) -> PoolEngine:
    view, model = agent.view, agent.model
    remaining = max((j.output_tokens - j.produced for j in model.running), default=0)
    step_s = model.profile.step_base_s + model.profile.stream_step_s * len(
        model.running
    )
    remaining_prefill_tokens = sum(
        job.remaining_prefill_tokens for job in (*model.waiting, *model.running)
    )
    return PoolEngine(
        engine=view.upstream,
        zone=view.zone,
        role=view.role,
        state=view.state,
        target_role=agent.target_role,
        queued_prefill_s=remaining_prefill_tokens / model.profile.prefill_tokens_per_s,
        running_streams=len(agent.running),
        remaining_decode_s=remaining * step_s,
        cached_blocks=len(model.cache),
        models=view.models,
    )
