"""Composition root, which builds the objects of each role.

Functions import what they need, so that each role loads only modules that it uses.
"""

import time
from functools import partial
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from bramleyport.agent._daemon import AgentDaemon
    from bramleyport.agent._orders import OrderApplier
    from bramleyport.control._pool_controller import Planner
    from bramleyport.entry._daemon import EntryDaemon
    from bramleyport.gateway._daemon import Gateway
    from bramleyport.gateway._duties import DutyRunner
    from bramleyport.gateway._peers import PeerLink
    from bramleyport.gateway._state import GatewayState
    from bramleyport.http1 import HttpClient
    from bramleyport.platform import NodeSettings, StoreClient
    from bramleyport.settings import (
        AgentSettings,
        EntrySettings,
        ProcessSettings,
        TlsSettings,
    )
    from bramleyport.telemetry import Metrics
    from bramleyport.transport import Identity, TlsContexts
    from bramleyport.upstreams import EngineClient, PlainClient


# Fraction of its host's memory that a gateway uses for answers that it is reading. Each
# byte may be there more than once, and the process needs some for all else.
RECEIVE_FRACTION: Final = 0.2
# Fraction of its host's memory that a gateway uses for requests and unread answers of
# its callers.
CALLER_MEMORY_FRACTION: Final = 0.15
# Fraction of its file descriptors that a gateway uses for callers. Upstreams, the store
# and the gateway itself need the others.
CALLER_DESCRIPTOR_FRACTION: Final = 0.5


def build_identity(settings: "ProcessSettings") -> "Identity":
    """Build the identity that a process presents to its peers."""
    from bramleyport.core import ProcessId, RegionName, SettingsError, ZoneName
    from bramleyport.transport import Identity, is_loopback
    from bramleyport.wire import HeartbeatPolicy

    secret = b""
    if settings.secret_file:
        secret = _read_secret(settings.secret_file)
    tls = _load_tls(settings.tls) if settings.tls.enabled else None
    if not secret and tls is None and not is_loopback(settings.address):
        raise SettingsError(
            "check settings",
            settings.process,
            f"{settings.address} is not loopback: set secret_file or tls for peers",
        )
    heartbeat_settings = settings.heartbeats
    if not (
        heartbeat_settings.interval_s > 0
        and 1 < heartbeat_settings.missed_suspect < heartbeat_settings.missed_silent
    ):
        raise SettingsError(
            "check settings",
            settings.process,
            "heartbeats need interval_s > 0 and 1 < missed_suspect < missed_silent",
        )
    return Identity(
        process=ProcessId(settings.process),
        zone=ZoneName(settings.zone),
        region=RegionName(settings.region),
        secret=secret,
        heartbeats=HeartbeatPolicy(
            interval_s=heartbeat_settings.interval_s,
            suspect_s=heartbeat_settings.interval_s * heartbeat_settings.missed_suspect,
            timeout_s=heartbeat_settings.interval_s * heartbeat_settings.missed_silent,
        ),
        incarnation=time.time_ns() // 1_000_000,
        tls=tls,
    )


def _read_secret(path: str) -> bytes:
    from bramleyport.core import StepError

    try:
        return Path(path).read_bytes().strip()
    except OSError as error:
        reason = error.strerror or repr(error)
        raise StepError("read secret_file", path, reason) from error


def _load_tls(files: "TlsSettings") -> "TlsContexts":
    from bramleyport.core import StepError
    from bramleyport.transport import build_tls

    try:
        return build_tls(files.certificate_file, files.key_file, files.ca_file)
    except OSError as error:  # includes ssl.SSLError, for an invalid certificate or key
        paths = f"{files.certificate_file}, {files.key_file}, {files.ca_file}"
        reason = error.strerror or repr(error)
        raise StepError("read tls files", paths, reason) from error


def build_agent(settings: "AgentSettings") -> "AgentDaemon":
    """Build an agent from its settings."""
    from bramleyport.agent._daemon import AgentDaemon
    from bramleyport.core import ServiceKind
    from bramleyport.estimate import ESTIMATORS
    from bramleyport.links._hub import PeerHub
    from bramleyport.queueing import QUEUE_POLICIES
    from bramleyport.replication import HostStore, RecordStore, Replica
    from bramleyport.telemetry import Metrics
    from bramleyport.upstreams import EngineClient, PlainClient

    upstream: EngineClient | PlainClient
    if settings.kind is ServiceKind.LANGUAGE:
        upstream = EngineClient(settings.upstream_url)
    else:
        upstream = PlainClient(settings.upstream_url)
    identity = build_identity(settings.process)
    metrics = Metrics()
    return AgentDaemon(
        settings,
        identity,
        upstream,
        QUEUE_POLICIES.create(settings.policies.queue, settings.max_streams),
        ESTIMATORS.create(settings.policies.estimator),
        PeerHub(identity, Replica(RecordStore(), HostStore())),
        _build_order_applier(settings, upstream, metrics) if settings.pool else None,
        metrics,
    )


def _build_order_applier(
    settings: "AgentSettings",
    upstream: "EngineClient | PlainClient",
    metrics: "Metrics",
) -> "OrderApplier | None":
    from uuid import uuid4

    from bramleyport.agent._orders import OrderApplier
    from bramleyport.authority import OrderExecutor
    from bramleyport.core import PoolName, RegionName, UpstreamId
    from bramleyport.objectapi import ObjectClient
    from bramleyport.upstreams import EngineClient

    if not isinstance(upstream, EngineClient):
        return None
    run = f"{settings.process.process}-{uuid4().hex[:12]}"
    return OrderApplier(
        ObjectClient(settings.process.object_api),
        upstream,
        OrderExecutor(UpstreamId(settings.upstream), run, PoolName(settings.pool)),
        RegionName(settings.process.region),
        metrics,
    )


def build_entry(
    settings: "EntrySettings",
    seed: int | None = None,
    planner: "Planner | None" = None,
) -> "EntryDaemon":
    """Build an entry from its settings."""
    from bramleyport.admission import ADMISSION_POLICIES
    from bramleyport.control._pool_controllers import PoolControllers
    from bramleyport.control._pool_planner import PoolPlanner
    from bramleyport.core import ProcessId
    from bramleyport.dispatch._dispatcher import Dispatcher
    from bramleyport.entry._case_reporter import CaseReporter
    from bramleyport.entry._count_relay import CountRelay
    from bramleyport.entry._daemon import EntryDaemon
    from bramleyport.entry._outcome_counter import OutcomeCounter
    from bramleyport.entry._status_reporter import FleetState, StatusReporter
    from bramleyport.estimate import ESTIMATORS
    from bramleyport.keyed._calls import KeyedCalls
    from bramleyport.keyed._claim_peers import ClaimPeers
    from bramleyport.keyed._claim_writer import ClaimWriter
    from bramleyport.links._agent_links import AgentLinks
    from bramleyport.links._hub import PeerHub
    from bramleyport.objectapi import ObjectClient
    from bramleyport.planning import ROLE_PLANNERS
    from bramleyport.replication import HostStore, RecordStore, Replica, Topology
    from bramleyport.retries import (
        HEDGE_POLICIES,
        RETRY_POLICIES,
        UPSTREAM_GUARDS,
        RetryBudget,
    )
    from bramleyport.routing import (
        ROUTING_POLICIES,
        Place,
        SubsetSelector,
        TransferCost,
    )
    from bramleyport.telemetry import Journal, Metrics
    from bramleyport.wire import OrderReport

    policies = settings.policies
    metrics = Metrics()
    records = RecordStore()
    estimator = ESTIMATORS.create(policies.estimator)
    identity = build_identity(settings.process)
    place = Place(zone=identity.zone, region=identity.region)
    budget = RetryBudget()
    transfer_settings = settings.kv_transfer
    transfer = None
    if transfer_settings.enabled:
        transfer = TransferCost(
            bytes_per_s=transfer_settings.bytes_per_s,
            overhead_s=transfer_settings.overhead_s,
        )
    dispatcher = Dispatcher(
        ADMISSION_POLICIES.create(policies.admission, estimator),
        ROUTING_POLICIES.create(policies.routing, estimator, place, transfer),
        RETRY_POLICIES.create(policies.retries, budget),
        metrics,
        Random(seed),
        UPSTREAM_GUARDS.create(policies.guard),
        HEDGE_POLICIES.create(policies.hedging, budget),
        estimator,
        settings.kv_transfer.prefill_limit_ratio,
    )
    hub = PeerHub(
        identity,
        Replica(records, HostStore()),
        Topology(identity.process, identity.zone),
    )
    links = AgentLinks(
        identity,
        hub.read_revision,
        lambda link, connection, message: (
            controllers.report(message)
            if isinstance(message, OrderReport)
            else dispatcher.deliver(link, connection, message)
        ),
        hub,
        SubsetSelector(settings.subset_size),
    )
    dispatcher.links = links
    client = ObjectClient(
        settings.process.object_api,
        lambda step, result: metrics.store_calls.inc({"kind": step, "result": result}),
    )
    peers = ClaimPeers(identity.process, hub)
    claims = ClaimWriter(client, peers)
    peers.write = claims.write
    keyed = KeyedCalls(claims, dispatcher)
    make_planner = partial(ROLE_PLANNERS.create, policies.planner)
    controllers = PoolControllers(
        settings,
        client,
        links,
        planner or PoolPlanner(make_planner, metrics),
        hub,
        metrics,
    )
    outcomes = OutcomeCounter(identity.process)
    relay = CountRelay(identity.process, hub, outcomes)
    journal = Journal()
    journal.attach()
    status = StatusReporter(
        ProcessId(settings.process.process),
        client,
        outcomes,
        journal,
        lambda: FleetState(
            views=links.list_views(),
            revisions=hub.replica.list_revisions(),
            peers=hub.replica.get_peer_revisions(),
            reported_lagging=relay.list_lagging(time.monotonic()),
        ),
        hub.is_reporter,
    )
    return EntryDaemon(
        settings,
        identity,
        hub,
        client,
        records,
        links,
        dispatcher,
        keyed,
        metrics,
        outcomes,
        journal,
        status,
        relay,
        CaseReporter(client, outcomes, hub.is_reporter),
        controllers,
    )


def build_gateway(settings_path: Path, metrics_port: int | None = None) -> "Gateway":
    """Build a gateway from the settings file of the platform."""
    from twisted.internet import reactor

    from bramleyport.gateway._attempt import AttemptSupport
    from bramleyport.gateway._begun_stream_store import BegunStreamStore
    from bramleyport.gateway._crash_guard import CrashGuard
    from bramleyport.gateway._daemon import Gateway
    from bramleyport.gateway._exchange import Exchanger
    from bramleyport.gateway._forward import Forwarder
    from bramleyport.gateway._metrics import CallMetrics
    from bramleyport.gateway._peers import PeerLink
    from bramleyport.gateway._plain import PlainServer
    from bramleyport.gateway._prefill import Prefiller
    from bramleyport.gateway._process_check import ProcessChecker
    from bramleyport.gateway._sharing_queue import SharingQueue
    from bramleyport.gateway._state import GatewayState
    from bramleyport.gateway._stream import StreamServer
    from bramleyport.gateway._verdict_store import VerdictStore
    from bramleyport.gateway._version_choice import VersionChooser
    from bramleyport.gateway._version_store import VersionStore
    from bramleyport.gateway._work_tracker import WorkTracker
    from bramleyport.http1 import CallerBudget, HttpClient
    from bramleyport.platform import StoreClient, load_node_settings
    from bramleyport.telemetry import Metrics

    state = GatewayState(settings=load_node_settings(settings_path))
    max_bytes = int(RECEIVE_FRACTION * state.settings.memory_bytes)
    client = HttpClient(reactor, max_bytes)
    metrics = CallMetrics(Metrics())
    caller_budget = CallerBudget(
        int(CALLER_MEMORY_FRACTION * state.settings.memory_bytes),
        int(CALLER_DESCRIPTOR_FRACTION * _limit_descriptors(state.settings)),
        metrics.record_release,
    )
    store = StoreClient(client, state.settings.store, metrics.count_store_call)
    exchanger = Exchanger(state, client)
    tracker = WorkTracker(state)
    verdicts = VerdictStore(state, store)
    guard = CrashGuard(state, exchanger, verdicts)
    version_store = VersionStore(state, store)
    begun_streams = BegunStreamStore(state, store)
    versions = VersionChooser(state, version_store, begun_streams)
    processes = ProcessChecker(state, store, exchanger)
    sharing = SharingQueue(state, tracker)
    support = AttemptSupport(
        state, exchanger, tracker, metrics, guard, versions, processes, sharing
    )
    prefiller = Prefiller(state, exchanger, tracker, support.retries)
    forwarder = Forwarder(
        state, PlainServer(support), StreamServer(support, prefiller), Random()
    )
    peers = PeerLink(state, tracker, guard)
    return Gateway(
        state,
        settings_path,
        reactor,
        store,
        exchanger,
        forwarder,
        tracker,
        peers,
        guard,
        verdicts,
        version_store,
        begun_streams,
        caller_budget,
        sharing,
        metrics.metrics,
        metrics_port,
        _build_duties(state, store, peers, client, metrics.metrics),
    )


def _build_duties(
    state: "GatewayState",
    store: "StoreClient",
    peers: "PeerLink",
    client: "HttpClient",
    metrics: "Metrics",
) -> "DutyRunner | None":
    """Build the duties of a gateway; none if its settings name none."""
    settings = state.settings.duties
    if settings is None:
        return None
    from bramleyport.gateway._duties import DutyRunner

    return DutyRunner(state, store, peers, client, metrics, settings)


def _limit_descriptors(settings: "NodeSettings") -> int:
    """Return how many file descriptors this process may open."""
    import resource

    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return settings.max_descriptors
    return min(settings.max_descriptors, soft_limit)
