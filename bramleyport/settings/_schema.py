"""Typed settings of each role."""

from dataclasses import dataclass, field

from bramleyport.core import ServiceKind


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Choose the form and the level of log lines."""

    json_lines: bool = True
    level: str = "INFO"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Name a process, its place and its addresses."""

    process: str
    zone: str
    region: str
    address: str
    peer_port: int
    object_api: str
    secret_file: str = ""
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Choose a policy by name for each decision."""

    estimator: str = "learned"
    admission: str = "in_time"
    routing: str = "least_loaded"
    retries: str = "counted"
    queue: str = "ranked"


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Hold the settings of an entry."""

    process: ProcessSettings
    http_port: int
    max_body_bytes: int = 2_000_000
    drain_timeout_s: float = 60.0
    policies: PolicySettings = field(default_factory=PolicySettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Hold the settings of an agent."""

    process: ProcessSettings
    upstream: str
    upstream_url: str
    kind: ServiceKind = ServiceKind.LANGUAGE
    services: tuple[str, ...] = ()
    max_streams: int = 32
    load_interval_s: float = 0.5
    drain_timeout_s: float = 60.0
    policies: PolicySettings = field(default_factory=PolicySettings)
