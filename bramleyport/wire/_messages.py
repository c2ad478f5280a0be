"""Typed messages between the system's processes."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from bramleyport.core import (
    AttemptId,
    EngineRates,
    EngineRole,
    Execution,
    LaggingProcess,
    PrefixBlock,
    ProcessId,
    RegionName,
    RequestCase,
    Revision,
    ServiceKind,
    ServiceName,
    UpstreamId,
    UpstreamState,
    Work,
    ZoneName,
)

PROTOCOL_MIN: Final = 1
PROTOCOL_MAX: Final = 2
# Counts and changes of claims are sent from this version on: an older peer closes the
# connection on a tag that it does not know.
ENTRY_MESSAGES_VERSION: Final = 2

MESSAGES: Final[dict[str, type["Message"]]] = {}

M = TypeVar("M", bound="Message")


class Message:
    """Mark the types that may cross a connection between processes."""

    __slots__ = ()
    tag: str = ""


def message(tag: str) -> Callable[[type[M]], type[M]]:
    """Return a decorator that registers a message type under its tag."""

    def add(cls: type[M]) -> type[M]:
        if tag in MESSAGES:
            raise ValueError(f"message tag {tag!r} is registered twice")
        cls.tag = tag
        MESSAGES[tag] = cls
        return cls

    return add


@message("hello")
@dataclass(frozen=True, slots=True, kw_only=True)
class Hello(Message):
    """Open a connection and offer a range of protocol versions."""

    process: ProcessId
    zone: ZoneName
    region: RegionName
    version_min: int
    version_max: int
    nonce: bytes
    incarnation: int = 0


@message("welcome")
@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome(Message):
    """Accept a connection, fix the version and prove knowledge of the secret."""

    process: ProcessId
    zone: ZoneName
    region: RegionName
    version: int
    nonce: bytes
    proof: bytes
    incarnation: int = 0


@message("proof")
@dataclass(frozen=True, slots=True, kw_only=True)
class Proof(Message):
    """Prove the client's knowledge of the secret."""

    proof: bytes


@message("heartbeat")
@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Show that the sender is alive and which records it has in force."""

    sequence: int
    revision: Revision = Revision(0)
    hosts_revision: Revision = Revision(0)
    digest: int = 0
    store_age_ms: int = -1


@message("upstream_info")
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamInfo(Message):
    """Describe the upstream beside an agent."""

    upstream: UpstreamId
    kind: ServiceKind
    zone: ZoneName
    region: RegionName
    state: UpstreamState
    role: EngineRole = EngineRole.MIXED
    models: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    block_tokens: int = 1000
    rates: EngineRates = field(default_factory=EngineRates)
    # Differs between runs of an agent, so that a restarted one is told apart.
    run: str = ""
    # Set by an agent that takes `Prefill` beside an engine that exports and imports
    # KV blocks. Other agents are never sent one: the unknown tag would close the
    # connection.
    kv_address: str = ""
    kv_bytes_per_token: float = 0.0


@message("execute")
@dataclass(frozen=True, slots=True, kw_only=True)
class Execute(Message):
    """Ask an agent to run one attempt of a request."""

    attempt: AttemptId
    work: Work
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    time_left_s: float
    # The engine that holds the prompt's KV blocks, if they are to be imported.
    kv_source: str = ""
    kv_blocks: tuple[PrefixBlock, ...] = ()


@message("prefill")
@dataclass(frozen=True, slots=True, kw_only=True)
class Prefill(Message):
    """Ask an agent to compute a prompt that another engine will decode."""

    attempt: AttemptId
    work: Work
    body: bytes
    time_left_s: float


@message("prefilled")
@dataclass(frozen=True, slots=True, kw_only=True)
class Prefilled(Message):
    """Report the engine from which a prompt's KV blocks can be imported."""

    attempt: AttemptId
    source: str
    blocks: tuple[PrefixBlock, ...] = ()
    wait_s: float = 0.0
    prefill_s: float = 0.0


@message("accepted")
@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted(Message):
    """Report that an attempt was queued or started."""

    attempt: AttemptId


@message("refused")
@dataclass(frozen=True, slots=True, kw_only=True)
class Refused(Message):
    """Report that an attempt was not run and never will be."""

    attempt: AttemptId
    reason: str
    retry_after_s: float = 0.0


@message("frame")
@dataclass(frozen=True, slots=True, kw_only=True)
class Frame(Message):
    """Carry one numbered piece of an answer."""

    attempt: AttemptId
    number: int
    payload: bytes


@message("end")
@dataclass(frozen=True, slots=True, kw_only=True)
class End(Message):
    """Close an answer with its frame count and digest."""

    attempt: AttemptId
    total: int
    digest: bytes
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    output_tokens: int = 0
    # Times that the agent measured; zero where it could not.
    wait_s: float = 0.0
    prefill_s: float = 0.0
    decode_s: float = 0.0


@message("failed")
@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Message):
    """Report that an attempt ended without a whole answer."""

    attempt: AttemptId
    execution: Execution
    reason: str


@message("ack")
@dataclass(frozen=True, slots=True, kw_only=True)
class Ack(Message):
    """Acknowledge all frames of an attempt below a number."""

    attempt: AttemptId
    next_frame: int


@message("cancel")
@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel(Message):
    """Stop an attempt whose caller has gone."""

    attempt: AttemptId


@message("resume")
@dataclass(frozen=True, slots=True, kw_only=True)
class Resume(Message):
    """Continue an attempt on this connection from a frame number."""

    attempt: AttemptId
    next_frame: int
    # The run of the agent to which the attempt was sent.
    run: str = ""


@message("load_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport(Message):
    """Report the load of an upstream as `pack_load` orders its values."""

    values: tuple[int, ...]


@message("cache_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class CacheReport(Message):
    """Report prefix blocks that an engine cached or evicted.

    A full report holds all cached blocks; another one continues report `previous`.
    """

    upstream: UpstreamId
    sequence: int
    stored: tuple[PrefixBlock, ...] = ()
    evicted: tuple[PrefixBlock, ...] = ()
    previous: int = 0
    full: bool = False
    uncertain: bool = False


@message("cache_request")
@dataclass(frozen=True, slots=True, kw_only=True)
class CacheRequest(Message):
    """Ask an agent for a report of all cached blocks."""

    upstream: UpstreamId


@message("leaving")
@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """Announce that a process takes no new work.

    The receiver returns the message to a process that announced itself; after that
    nothing sent earlier on the connection is still on its way.
    """

    process: ProcessId
    incarnation: int = 0


@message("order_notice")
@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotice(Message):
    """Tell an agent that its order object has changed."""

    upstream: UpstreamId
    sequence: int


@message("order_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReport(Message):
    """Report how far an agent has applied its order."""

    upstream: UpstreamId
    sequence: int
    state: str


@message("records_request")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsRequest(Message):
    """Ask a peer for the records that changed after a revision."""

    after: Revision
    hosts_after: Revision | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaEntry:
    """Carry one record or host at a revision; without a document it was removed."""

    name: str
    revision: Revision
    document: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaPart:
    """Carry what changed after a revision, or everything when `after` is absent."""

    revision: Revision
    after: Revision | None = None
    entries: tuple[ReplicaEntry, ...] = ()
    invalid: tuple[str, ...] = ()


@message("records_snapshot")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsSnapshot(Message):
    """Carry the records in force and the hosts that a peer lacks."""

    revision: Revision = Revision(0)
    documents: tuple[bytes, ...] = ()
    records: ReplicaPart | None = None
    hosts: ReplicaPart | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCounts:
    """Carry the counts of one service, by rank and then by outcome."""

    name: ServiceName
    numbers: tuple[int, ...]


@message("counts")
@dataclass(frozen=True, slots=True, kw_only=True)
class Counts(Message):
    """Hand on what has been counted since the last such message.

    The receiver adds it to its own counts, and the sender forgets it.
    """

    services: tuple[ServiceCounts, ...] = ()
    cases: tuple[RequestCase, ...] = ()
    lagging: tuple[LaggingProcess, ...] = ()
