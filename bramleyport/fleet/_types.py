"""Types of the configuration, the upstreams and the calls of a gateway."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import Final, NewType

from bramleyport.core import (
    AccountId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bramleyport.fleet._accounts import AccountIndex, ApiKey, ClientAccount
from bramleyport.fleet._ranks import RankTable
from bramleyport.fleet._scale_plan import ScaleBounds
from bramleyport.fleet._traits import (
    CallTraits,
    RequestIdentity,
    TraitId,
    make_part_traits,
)

RouteName = NewType("RouteName", str)
PrefixId = NewType("PrefixId", str)
ConfigVersion = NewType("ConfigVersion", int)
# Of the software of an upstream, not of the weights of its models.
SoftwareVersion = NewType("SoftwareVersion", str)
# Of a stream whose writer is not registered as far as is known: it goes on nowhere.
UNKNOWN_VERSION: Final = SoftwareVersion("(unknown)")


@dataclass(frozen=True, slots=True)
class Address:
    """Represent an IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Repeatability(str, Enum):
    """Represent how far calls of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def streams(self) -> bool:
        """Return whether answers are event streams."""
        return self in (Repeatability.STREAM_ONCE, Repeatability.STREAM_RESUMABLE)

    @property
    def may_repeat(self) -> bool:
        """Return whether a call may run more than once."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.STREAM_RESUMABLE)


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Describe a service of a route and its relative weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Describe how the calls under one host and path prefix are served."""

    name: RouteName
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    objective_s: float
    # 0 is the most urgent.
    priority: int
    services: tuple[ServiceShare, ...]
    max_attempts: int
    # Longest pause between events that still counts as in time; 0 if unset.
    max_pause_s: float = 0.0
    # Calls need no key of a client account.
    anonymous: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTraits:
    """Describe the engines of a language service."""

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    handle_lifetime_s: float
    # Time for which an engine is out of service while it changes its stage.
    switch_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceConfig:
    """Describe one service of the configuration."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    # None if gateways don't order how many upstreams it has.
    scale: ScaleBounds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Describe limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Describe one version of the operator's configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceConfig]
    limits: CallerLimits = field(default_factory=CallerLimits)
    # None if the configuration knows no client accounts, so that calls need no key.
    accounts: AccountIndex | None = None
    ranks: RankTable | None = None

    def find_rank(self, route: Route, account: ClientAccount | None) -> int | None:
        """Return the rank of a call; None if the priority of its route alone counts."""
        if self.ranks is None:
            return None
        return self.ranks.find(account.priority if account else None, route.priority)


class Stage(str, Enum):
    """Represent the kind of work that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Describe an upstream by the registration that it writes to the store."""

    upstream: UpstreamId
    service: ServiceName
    address: Address
    zone: ZoneName
    slots: int
    draining: bool
    # Start of the process in Unix milliseconds. A restarted process has lost its caches
    # and its work.
    started_ms: int
    stage: Stage | None = None
    version: SoftwareVersion = SoftwareVersion("")
    # Rises with each time that the process writes its registration; 0 if unknown.
    sequence: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Describe one part of a prompt that requests may share."""

    prefix: PrefixId
    tokens: int


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """Describe the prompt and the expected output of a language request."""

    model: ModelName
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...] = ()

    @cached_property
    def part_traits(self) -> tuple[TraitId, ...]:
        """Return the traits of all parts but the last, which is the request's own."""
        return make_part_traits(part.prefix for part in self.parts[:-1])


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe one caller's request."""

    request: RequestId
    route: Route
    service: ServiceName
    arrived_s: float
    # When the timeout of the caller or of the route expires, whichever is first.
    deadline_s: float
    prompt: Prompt | None = None
    # The request that brought the first event of the stream that this one resumes; None
    # if the caller does not say. A request that resumes nothing is its own origin.
    origin: RequestId | None = None
    identity: RequestIdentity | None = field(default=None, compare=False)
    # The client account that the key named when the call arrived, and that key.
    account: ClientAccount | None = field(default=None, compare=False)
    key: ApiKey | None = field(default=None, compare=False, repr=False)
    # The configuration knew client accounts when the call arrived.
    has_accounts: bool = False

    # By the priorities of its account and route; None if the route's alone counts.
    rank: int | None = None

    @property
    def priority(self) -> int:
        """Return the rank of the call among others; 0 is the most urgent."""
        return self.route.priority if self.rank is None else self.rank

    @property
    def account_name(self) -> AccountId | None:
        """Return the name of the client account, if the call has one."""
        return self.account.name if self.account else None

    @property
    def traits(self) -> CallTraits:
        """Return what the call may have in common with others that crash upstreams."""
        parts = self.prompt.part_traits if self.prompt else ()
        return CallTraits(parts, self.identity)
