"""Messages between the system's processes."""

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
# First version with `Counts`, `ClaimForward` and `ClaimDecision`. An older peer closes
# the connection when it receives an unknown tag.
ENTRY_MESSAGES_VERSION: Final = 2

MESSAGES: Final[dict[str, type["Message"]]] = {}

M = TypeVar("M", bound="Message")


class Message:
    """Represent a message that can be sent to another process."""

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
    """Accept a connection, select the version and prove knowledge of the secret."""

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
    """Report that the sender is alive and which records it uses."""

    sequence: int
    revision: Revision = Revision(0)
    hosts_revision: Revision = Revision(0)
    digest: int = 0
    store_age_ms: int = -1


@message("upstream_info")
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamInfo(Message):
    """Describe the upstream of an agent."""

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
    # Different for each run of an agent, so that peers can detect a restart.
    run: str = ""
    # Set by an agent that accepts `Prefill` and whose engine exports and imports KV
    # blocks. Other agents must not be sent `Prefill`, because they would close the
    # connection on an unknown tag.
    kv_address: str = ""
    kv_bytes_per_token: float = 0.0


@message("execute")
@dataclass(frozen=True, slots=True, kw_only=True)
class Execute(Message):
    """Request that an agent runs one attempt of a request."""

    attempt: AttemptId
    work: Work
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    time_left_s: float
    # The engine from which the prompt's KV blocks are to be imported, if any.
    kv_source: str = ""
    kv_blocks: tuple[PrefixBlock, ...] = ()


@message("prefill")
@dataclass(frozen=True, slots=True, kw_only=True)
class Prefill(Message):
    """Request that an agent prefills a prompt that another engine will decode."""

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
    """Report that an attempt was not run and will never be run."""

    attempt: AttemptId
    reason: str
    retry_after_s: float = 0.0


@message("frame")
@dataclass(frozen=True, slots=True, kw_only=True)
class Frame(Message):
    """Carry one numbered chunk of an answer."""

    attempt: AttemptId
    number: int
    payload: bytes


@message("end")
@dataclass(frozen=True, slots=True, kw_only=True)
class End(Message):
    """Complete an answer with its frame count and digest."""

    attempt: AttemptId
    total: int
    digest: bytes
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    output_tokens: int = 0
    # Times measured by the agent; 0 if unknown.
    wait_s: float = 0.0
    prefill_s: float = 0.0
    decode_s: float = 0.0


@message("failed")
@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Message):
    """Report that an attempt ended without a complete answer."""

    attempt: AttemptId
    execution: Execution
    reason: str


@message("ack")
@dataclass(frozen=True, slots=True, kw_only=True)
class Ack(Message):
    """Acknowledge all frames of an attempt before `next_frame`."""

    attempt: AttemptId
    next_frame: int


@message("cancel")
@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel(Message):
    """Stop an attempt whose caller has disconnected."""

    attempt: AttemptId


@message("resume")
@dataclass(frozen=True, slots=True, kw_only=True)
class Resume(Message):
    """Resume the frames of an attempt on this connection from a frame number."""

    attempt: AttemptId
    next_frame: int
    # The run of the agent to which the attempt was sent.
    run: str = ""


@message("load_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport(Message):
    """Report the load of an upstream, with values in the order of `pack_load`."""

    values: tuple[int, ...]


@message("cache_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class CacheReport(Message):
    """Report prefix blocks that an engine cached or evicted.

    A full report lists all cached blocks; any other lists changes since `previous`.
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
    """Request a report of all cached blocks from an agent."""

    upstream: UpstreamId


@message("leaving")
@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """Announce that a process accepts no new work.

    The receiver returns the message to the process that announced itself. Its return
    proves that nothing sent earlier on the connection is still in transit.
    """

    process: ProcessId
    incarnation: int = 0


@message("order_notice")
@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotice(Message):
    """Notify an agent that its order object has changed."""

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
    """Request the records that changed after a revision from a peer."""

    after: Revision
    hosts_after: Revision | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaEntry:
    """Describe one record or host at a revision; without a document it was removed."""

    name: str
    revision: Revision
    document: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaPart:
    """Describe the changes after a revision, or all entries if `after` is absent."""

    revision: Revision
    after: Revision | None = None
    entries: tuple[ReplicaEntry, ...] = ()
    invalid: tuple[str, ...] = ()


@message("records_snapshot")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsSnapshot(Message):
    """Carry records in force and hosts that a peer lacks."""

    revision: Revision = Revision(0)
    documents: tuple[bytes, ...] = ()
    records: ReplicaPart | None = None
    hosts: ReplicaPart | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCounts:
    """Describe the counts of one service, by rank and then by outcome."""

    name: ServiceName
    numbers: tuple[int, ...]


@message("counts")
@dataclass(frozen=True, slots=True, kw_only=True)
class Counts(Message):
    """Forward the counts since the previous message of this type.

    The receiver adds them to its own counts, and the sender clears them.
    """

    services: tuple[ServiceCounts, ...] = ()
    cases: tuple[RequestCase, ...] = ()
    lagging: tuple[LaggingProcess, ...] = ()
