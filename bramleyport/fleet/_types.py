"""Types of the configuration, the upstreams and the calls that a gateway serves."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from bramleyport.core import (
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
    ZoneName,
)

RouteName = NewType("RouteName", str)
PrefixId = NewType("PrefixId", str)
ConfigVersion = NewType("ConfigVersion", int)


@dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Repeatability(str, Enum):
    """Tell what may be repeated of the calls of a route."""

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
        """Return whether a call may be run more than once."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.STREAM_RESUMABLE)


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Hold a service of a route and its relative weight."""

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
    # Longest pause between events that still counts as in time; 0 where unset.
    max_pause_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTraits:
    """Describe the engines of a language service."""

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    handle_lifetime_s: float
    # How long a change of stage takes an engine out of service.
    switch_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceConfig:
    """Describe one service of the configuration."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bound what callers may send and how long they may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Hold one version of the operator's configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceConfig]
    limits: CallerLimits = field(default_factory=CallerLimits)


class Stage(str, Enum):
    """Name the part of the work that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Hold what an upstream says of itself in the store."""

    upstream: UpstreamId
    service: ServiceName
    address: Address
    zone: ZoneName
    slots: int
    draining: bool
    # Start of the process in Unix milliseconds; a later one has forgotten everything.
    started_ms: int
    stage: Stage | None = None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Hold one part of a prompt that requests may share."""

    prefix: PrefixId
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """Describe the prompt and the expected output of a language request."""

    model: ModelName
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe one caller's request as far as decisions need it."""

    request: RequestId
    route: Route
    service: ServiceName
    arrived_s: float
    # When the caller or the route stops waiting, whichever is first.
    deadline_s: float
    prompt: Prompt | None = None
