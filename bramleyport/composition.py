"""The composition root: wires the parts of each role.

Imports stand inside the functions so that each role loads only what it uses.
"""

from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyport.daemons._agent import AgentDaemon
    from bramleyport.daemons._entry import EntryDaemon
    from bramleyport.settings import AgentSettings, EntrySettings, ProcessSettings
    from bramleyport.transport import Identity


def build_identity(settings: "ProcessSettings") -> "Identity":
    """Build the identity that peers see."""
    from bramleyport.core import ProcessId, RegionName, ZoneName
    from bramleyport.transport import Identity

    secret = b""
    if settings.secret_file:
        secret = Path(settings.secret_file).read_bytes().strip()
    return Identity(
        process=ProcessId(settings.process),
        zone=ZoneName(settings.zone),
        region=RegionName(settings.region),
        secret=secret,
    )


def build_agent(settings: "AgentSettings") -> "AgentDaemon":
    """Build an agent from its settings."""
    from bramleyport.core import ServiceKind
    from bramleyport.daemons._agent import AgentDaemon
    from bramleyport.estimate import ESTIMATORS
    from bramleyport.queueing import QUEUE_POLICIES
    from bramleyport.telemetry import Metrics
    from bramleyport.upstreams import EngineClient, PlainClient

    upstream: EngineClient | PlainClient
    if settings.kind is ServiceKind.LANGUAGE:
        upstream = EngineClient(settings.upstream_url)
    else:
        upstream = PlainClient(settings.upstream_url)
    return AgentDaemon(
        settings,
        build_identity(settings.process),
        upstream,
        QUEUE_POLICIES.create(settings.policies.queue, settings.max_streams),
        ESTIMATORS.create(settings.policies.estimator),
        Metrics(),
    )


def build_entry(settings: "EntrySettings", seed: int | None = None) -> "EntryDaemon":
    """Build an entry from its settings."""
    from bramleyport.admission import ADMISSION_POLICIES
    from bramleyport.daemons._claims import ClaimWriter
    from bramleyport.daemons._dispatch import Dispatcher
    from bramleyport.daemons._entry import EntryDaemon
    from bramleyport.daemons._keyed import KeyedCalls
    from bramleyport.daemons._peers import AgentLinks
    from bramleyport.estimate import ESTIMATORS
    from bramleyport.objectapi import ObjectClient
    from bramleyport.replication import RecordStore
    from bramleyport.retries import RETRY_POLICIES
    from bramleyport.routing import ROUTING_POLICIES
    from bramleyport.telemetry import Metrics

    policies = settings.policies
    metrics = Metrics()
    records = RecordStore()
    estimator = ESTIMATORS.create(policies.estimator)
    dispatcher = Dispatcher(
        ADMISSION_POLICIES.create(policies.admission, estimator),
        ROUTING_POLICIES.create(policies.routing, estimator),
        RETRY_POLICIES.create(policies.retries),
        metrics,
        Random(seed),
        estimator,
    )
    links = AgentLinks(
        build_identity(settings.process),
        lambda: records.revision,
        dispatcher.deliver,
    )
    dispatcher.links = links
    client = ObjectClient(
        settings.process.object_api,
        lambda step, result: metrics.store_calls.inc({"kind": step, "result": result}),
    )
    keyed = KeyedCalls(ClaimWriter(client), dispatcher)
    return EntryDaemon(settings, client, records, links, dispatcher, keyed, metrics)
