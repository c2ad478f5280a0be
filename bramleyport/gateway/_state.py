"""Define the state that the parts of a gateway share."""

import math
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import AccountId, Explanation, ServiceName, UpstreamId
from bramleyport.fleet import (
    BegunStream,
    Call,
    CallerLimits,
    Chooser,
    Configuration,
    ConfigVersion,
    CrashEvidence,
    DecodeTimes,
    EndedProcess,
    EvenLoad,
    GatewayRoster,
    LeavingUpstream,
    LoadTracker,
    Membership,
    PrefillSpeeds,
    PrefixIndex,
    Reachability,
    Registration,
    RouteTable,
    ServingGroup,
    SharesKnowledge,
    ShutdownSchedule,
    StreamVersions,
    UnseenLoad,
    UpstreamPauses,
    VersionGap,
    WorkRecorder,
)
from bramleyport.gateway._rate_limits import RateLimiter
from bramleyport.platform import Document, NodeSettings
from bramleyport.retries import (
    OutlierEjector,
    RepeatBudget,
    UsableShare,
    find_usable_share,
)
from bramleyport.telemetry import gateway_events, log_event, routing_events

# An upstream that fails this often in a row is ejected for the duration below.
EJECT_AFTER_FAILURES: Final = 3
EJECT_DURATION_S: Final = 2.0
# How long an upstream that declined a call is avoided. One that is full or changes its
# stage declines calls for longer than this.
AVOID_DECLINED_S: Final = 0.5
# Fraction of the time limit for a new configuration for which a gateway that has
# started may serve with an older one than its peers have.
VERSION_GAP_FRACTION: Final = 0.5
# Time for which a refused connection shows that a process has ended: the next one has
# registered by then, or the same one only did not listen yet.
ENDED_KEEP_S: Final = 5.0
# Time after which the peers are told of the same process again.
ENDED_REPEAT_S: Final = 1.0
# Processes that are known to have ended; the oldest ones are forgotten first.
MAX_ENDED: Final = 8_192
# Time after the registration of a process is known within which what its predecessor
# wrote arrives.
SUCCESSION_S: Final = 0.2
# Why a call is refused while all upstreams that could answer it want no requests.
PAUSED: Final = "upstreams_paused"


@dataclass(slots=True, kw_only=True)
class GatewayState:
    """Describe what a gateway knows of upstreams, peers and its configuration."""

    settings: NodeSettings
    members: Membership = field(default_factory=Membership)
    loads: LoadTracker = field(default_factory=LoadTracker)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    speeds: PrefillSpeeds = field(default_factory=PrefillSpeeds)
    decode_times: DecodeTimes = field(default_factory=DecodeTimes)
    random: Random = field(default_factory=Random)
    ejector: OutlierEjector = field(
        default_factory=lambda: OutlierEjector(
            consecutive_failures=EJECT_AFTER_FAILURES, ejection_s=EJECT_DURATION_S
        )
    )
    reachability: Reachability = field(default_factory=Reachability)
    routes: RouteTable | None = None
    budgets: dict[ServiceName, RepeatBudget] = field(default_factory=dict)
    # When this process took the place of one that may have repeated calls.
    replaced_s: float = -math.inf
    # When each upstream last sent data.
    last_received_s: dict[UpstreamId, float] = field(default_factory=dict)
    # Engines that change their stage, and until when they get no work.
    changing_until_s: dict[UpstreamId, float] = field(default_factory=dict)
    # Upstreams that declined a call, and until when they are avoided.
    declined_until_s: dict[UpstreamId, float] = field(default_factory=dict)
    # Calls that wait for upstreams that are away.
    held_calls: int = 0
    # Calls that wait for their accounts' share of a service.
    waiting_calls: Counter[ServiceName] = field(default_factory=Counter)
    # Upstreams that want no requests from this gateway for a while.
    pauses: UpstreamPauses = field(default_factory=UpstreamPauses)
    # Upstreams that said in an answer that they leave, which the peers don't know yet.
    pending_leaving: list[LeavingUpstream] = field(default_factory=list)
    # Called when the peers should learn of them.
    on_leaving: Callable[[], None] | None = None
    # The configuration in force as it was read, and since when.
    configuration_document: Document | None = None
    configuration_applied_s: float = -math.inf
    # When the shares of software versions were first listed.
    versions_listed_s: float | None = None
    stream_versions: StreamVersions = field(default_factory=StreamVersions)
    shares_knowledge: SharesKnowledge = field(default_factory=SharesKnowledge)
    # Called when the peers should learn that newer shares are known here.
    on_shares: Callable[[], None] | None = None
    # Streams whose versions the peers have to be told, and have not been yet.
    pending_streams: list[BegunStream] = field(default_factory=list)
    # Called when there are any.
    on_streams: Callable[[], None] | None = None
    # Registered processes that seem to have ended: another one, of another version,
    # may answer in the place of each.
    ended_processes: dict[UpstreamId, EndedProcess] = field(default_factory=dict)
    # Those that the peers don't know yet.
    pending_ended: list[EndedProcess] = field(default_factory=list)
    # Called when the peers should learn of them.
    on_ended: Callable[[], None] | None = None
    # Upstreams to which connections were lost, and when the last one was: another
    # process may answer in the place of each.
    connections_lost_s: dict[UpstreamId, float] = field(default_factory=dict)
    # Since when the registered process of each upstream is known.
    processes_known_s: dict[UpstreamId, float] = field(default_factory=dict)
    # Called when an upstream began to run a call of an account, and when it did; None
    # if this gateway reports no usage.
    on_run: Callable[[AccountId, float], None] | None = None
    # Set from the beginning of a planned stop.
    shutdown: ShutdownSchedule | None = None
    # Set when calls that are still running are ended, before the process exits.
    ending: bool = False
    crash_evidence: CrashEvidence = field(init=False)
    roster: GatewayRoster = field(init=False)
    rate_limiter: RateLimiter = field(init=False)
    version_gap: VersionGap = field(init=False)
    unseen_load: UnseenLoad = field(init=False)
    chooser: Chooser = field(init=False)
    recorder: WorkRecorder = field(init=False)

    def __post_init__(self) -> None:
        self.crash_evidence = CrashEvidence(self.settings.process)
        self.roster = GatewayRoster(self.settings.process)
        self.rate_limiter = RateLimiter(self.settings.process, self.roster)
        tolerated_s = VERSION_GAP_FRACTION * self.settings.configuration_limit_s
        self.version_gap = VersionGap(tolerated_s)
        self.unseen_load = UnseenLoad(self.settings.process)
        self.chooser = Chooser(
            self.settings.place,
            self.members,
            self.loads,
            self.prefixes,
            self.speeds,
            self.decode_times,
            EvenLoad(
                self.settings.process,
                self.members,
                self.unseen_load,
                self.random,
                lambda: self.gateway_count,
            ),
        )
        self.recorder = WorkRecorder(
            self.members,
            self.loads,
            self.prefixes,
            self.speeds,
            self.find_cache_capacity,
            self.unseen_load,
        )

    @property
    def draining(self) -> bool:
        """Return whether the gateway is stopping."""
        return self.shutdown is not None

    @property
    def gateway_count(self) -> int | None:
        """Return how many gateways share the bounds; None until that is known."""
        return self.roster.count

    @property
    def configuration(self) -> Configuration | None:
        """Return the current configuration."""
        return self.routes.configuration if self.routes else None

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the current configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else ConfigVersion(0)

    def is_configured(self, now_s: float) -> bool:
        """Return whether calls can be routed by the current configuration."""
        return self.routes is not None and not self.version_gap.is_open(now_s)

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers of the current configuration."""
        return self.configuration.limits if self.configuration else CallerLimits()

    def find_budget(self, service: ServiceName) -> RepeatBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.retries
            budget = RepeatBudget(bounds.ratio, bounds.extra, bounds.window_s)
            self.budgets[service] = budget
        return budget

    def find_usable_repeats(self, now_s: float) -> UsableShare:
        """Return which part of its share of repeats this gateway may use now."""
        window_s = self.settings.retries.window_s
        others = self.roster.count_new(now_s - window_s)
        return find_usable_share(
            now_s - self.replaced_s, window_s, 1 + others, len(self.roster.gateways)
        )

    def apply_retry_bounds(self) -> None:
        """Apply the retry bounds of changed settings to the budgets in use."""
        bounds = self.settings.retries
        for budget in self.budgets.values():
            budget.change_bounds(bounds.ratio, bounds.extra, bounds.window_s)

    def find_cache_capacity(self, registration: Registration) -> int:
        """Return how many tokens an upstream can cache; 0 if it has no cache."""
        if self.configuration is None:
            return 0
        service = self.configuration.services.get(registration.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.kv_capacity_tokens

    def is_changing(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether an engine is changing its stage."""
        return self.changing_until_s.get(upstream, 0.0) > now_s

    def list_avoided(self, service: ServiceName, now_s: float) -> set[UpstreamId]:
        """Return the upstreams of a service that currently get no new work."""
        avoided = {
            upstream
            for known in (self.changing_until_s, self.declined_until_s)
            for upstream, until_s in known.items()
            if until_s > now_s
        }
        names = [item.upstream for item in self.members.list_ready(service)]
        avoided |= self.reachability.find_unreachable(names, now_s)
        return avoided | self.ejector.find_ejected(names, now_s)

    def drop_old_limits(self, now_s: float) -> None:
        """Drop rate limits that are no longer needed."""
        registered = {item.upstream for item in self.members.list_all()}
        self.rate_limiter.drop_old(registered, now_s)

    def list_limited(self, service: ServiceName) -> set[UpstreamId]:
        """Return the upstreams of a service whose rate is limited."""
        if not self.rate_limiter.knows_limits:
            return set()
        return self.rate_limiter.list_limited(self.members.list_ready(service))

    def list_exhausted(self, service: ServiceName, now_s: float) -> set[UpstreamId]:
        """Return the upstreams of a service that permit no request now."""
        paused = self.list_paused(service, now_s)
        if not self.rate_limiter.knows_limits:
            return paused
        ready = self.members.list_ready(service)
        return paused | self.rate_limiter.list_exhausted(ready, now_s)

    def list_paused(self, service: ServiceName, now_s: float) -> set[UpstreamId]:
        """Return the upstreams of a service that want no request now."""
        if not self.pauses:
            return set()
        ready = self.members.list_ready(service)
        names = (item.upstream for item in ready)
        return {name for name in names if self.pauses.is_paused(name, now_s)}

    def refuse_blocked(self, group: ServingGroup, now_s: float) -> Rejected:
        """Return the refusal of a call that none of its upstreams permits now."""
        paused = {name for name in group.names if self.pauses.is_paused(name, now_s)}
        open_ones = [item for item in group.ready if item.upstream not in paused]
        if not paused or self.rate_limiter.list_limited(open_ones):
            return self.rate_limiter.refuse(open_ones, now_s)
        wait_s = min(self.pauses.find_wait(name, now_s) for name in paused)
        numbers = {"paused_upstreams": float(len(paused))}
        return Rejected(Explanation(reason=PAUSED, numbers=numbers), wait_s)

    def record_leaving(
        self, upstream: UpstreamId, started_ms: int, origin: str = ""
    ) -> None:
        """Record that a process said in an answer that it leaves, here or to a peer."""
        if not self.members.record_leaving(upstream, started_ms):
            return
        log_event(gateway_events.UPSTREAM_LEAVING, upstream=upstream, origin=origin)
        if not origin:
            self.pending_leaving.append(LeavingUpstream(upstream, started_ms))
            if self.on_leaving is not None:
                self.on_leaving()

    def tell_streams(self, streams: list[BegunStream]) -> None:
        """Tell the peers at which versions streams began that they can't deduce."""
        self.pending_streams += streams
        if streams and self.on_streams is not None:
            self.on_streams()

    def record_connection_lost(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an upstream ended a connection without a whole answer."""
        self.connections_lost_s[upstream] = now_s

    def record_ended(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that the registered process of an upstream seems to have ended."""
        registration = self.members.find(upstream)
        if registration is None:
            return
        is_known = self.has_ended(registration, now_s + ENDED_KEEP_S - ENDED_REPEAT_S)
        ended = EndedProcess(
            upstream, registration.started_ms, until_s=now_s + ENDED_KEEP_S
        )
        self.ended_processes[upstream] = ended
        if not is_known:
            self.pending_ended.append(ended)
            if self.on_ended is not None:
                self.on_ended()

    def apply_ended(self, ended: EndedProcess) -> None:
        """Record that a peer found a process to have ended."""
        known = self.ended_processes.get(ended.upstream)
        if known is not None and known.started_ms > ended.started_ms:
            return
        registration = self.members.find(ended.upstream)
        if registration is not None and registration.started_ms > ended.started_ms:
            return
        self.ended_processes[ended.upstream] = ended
        if len(self.ended_processes) > MAX_ENDED:
            del self.ended_processes[next(iter(self.ended_processes))]

    def list_ended(self, now_s: float) -> list[EndedProcess]:
        """Return the processes that seem to have ended."""
        return [item for item in self.ended_processes.values() if item.until_s > now_s]

    def has_ended(self, registration: Registration, now_s: float) -> bool:
        """Return whether the process of a registration seems to have ended."""
        ended = self.ended_processes.get(registration.upstream)
        return (
            ended is not None
            and ended.started_ms == registration.started_ms
            and ended.until_s > now_s
        )

    def find_successor(
        self, registration: Registration, now_s: float
    ) -> Registration | None:
        """Return the process that has taken the place of another one for a while.

        It is returned only if the other one must have ended: a process that leaves may
        serve for a while beside its successor, and a process at another address too. A
        restored store may name an earlier process.
        """
        found = self.members.find(registration.upstream)
        if (
            found is None
            or found.started_ms <= registration.started_ms
            or found.address != registration.address
            or self.members.is_leaving(registration)
        ):
            return None
        known_s = self.processes_known_s.get(registration.upstream, now_s)
        return found if now_s - known_s > SUCCESSION_S else None

    def record_pause(self, upstream: UpstreamId, pause_s: float, now_s: float) -> None:
        """Record that an upstream wants no requests for a while."""
        if pause_s > 0 and self.pauses.record(upstream, pause_s, now_s):
            log_event(
                gateway_events.UPSTREAM_PAUSED, upstream=upstream, pause_s=pause_s
            )

    def list_blocked(
        self, call: Call, group: ServingGroup, now_s: float
    ) -> set[UpstreamId]:
        """Return the upstreams that do not permit a call now."""
        paused = self.list_paused(call.service, now_s)
        if not self.rate_limiter.knows_limits:
            return paused
        ready = self.members.list_ready(call.service)
        blocked = self.rate_limiter.find_blocked(call, ready, group.ready, now_s)
        return paused | blocked

    def list_busier(self, group: ServingGroup) -> set[UpstreamId]:
        """Return all upstreams of a group but those with the least work."""
        running = {
            item.upstream: len(self.loads.of(item.upstream)) for item in group.ready
        }
        least = min(running.values(), default=0)
        return {upstream for upstream, count in running.items() if count > least}

    def record_declined(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an upstream declined a call, to avoid it for a while."""
        self.declined_until_s[upstream] = now_s + AVOID_DECLINED_S

    def list_ejected(
        self,
        service: ServiceName,
        now_s: float,
        serving: Collection[UpstreamId] = (),
    ) -> set[UpstreamId]:
        """Return the upstreams of a service that recently failed too often.

        Some of those that can serve a call (`serving`) always stay in use, however many
        others there are.
        """
        names = [item.upstream for item in self.members.list_ready(service)]
        others = [name for name in names if name not in serving]
        ejected = self.ejector.find_ejected(others, now_s)
        return ejected | self.ejector.find_ejected(sorted(serving), now_s)

    def record_received(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an upstream has sent data."""
        self.last_received_s[upstream] = now_s
        self.reachability.record_answer(upstream)

    def record_result(
        self, upstream: UpstreamId, *, failed: bool, now_s: float
    ) -> None:
        """Record the result of one exchange with an upstream."""
        if self.ejector.record(upstream, failed=failed, now_s=now_s):
            log_event(routing_events.UPSTREAM_EJECTED, upstream=upstream)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove all state of an upstream that is gone or has restarted."""
        self.loads.discard(upstream)
        self.last_received_s.pop(upstream, None)
        self.reachability.record_answer(upstream)
        self.declined_until_s.pop(upstream, None)
        self.changing_until_s.pop(upstream, None)
        self.prefixes.discard(upstream)
        self.speeds.discard(upstream)
        self.pauses.discard(upstream)
        self.ended_processes.pop(upstream, None)
        self.connections_lost_s.pop(upstream, None)
        self.processes_known_s.pop(upstream, None)
