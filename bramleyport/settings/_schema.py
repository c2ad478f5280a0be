"""Typed settings of each role."""

from dataclasses import dataclass, field
from math import isfinite

from bramleyport.core import ServiceKind


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Choose the form and the level of log lines."""

    json_lines: bool = True
    level: str = "INFO"


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatSettings:
    """Set the heartbeat interval and the silences that follow from missed ones."""

    interval_s: float = 1.0
    missed_suspect: float = 2.5
    missed_silent: float = 6.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Name the files for mutual TLS between processes."""

    certificate_file: str = ""
    key_file: str = ""
    ca_file: str = ""

    @property
    def enabled(self) -> bool:
        """Return whether connections use TLS."""
        return bool(self.certificate_file or self.key_file or self.ca_file)


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
    tls: TlsSettings = field(default_factory=TlsSettings)
    heartbeats: HeartbeatSettings = field(default_factory=HeartbeatSettings)
    # Peers ("address:port") that are asked for records and hosts when the store is
    # down at the start.
    seeds: tuple[str, ...] = ()
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Choose a policy by name for each decision."""

    estimator: str = "learned"
    admission: str = "in_time"
    routing: str = "affinity"
    retries: str = "budget"
    guard: str = "adaptive"
    hedging: str = "spread"
    queue: str = "ranked"
    planner: str = "ratio"


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferSettings:
    """Set when prefill and decode run on different engines.

    Only engines that report how their KV blocks are fetched take part.
    """

    enabled: bool = True
    # The share of a host's link that one transfer gets.
    bytes_per_s: float = 2e9
    overhead_s: float = 0.02
    # The prefill may take this many times its forecast.
    prefill_limit_ratio: float = 2.0

    def __post_init__(self) -> None:
        if not (isfinite(self.bytes_per_s) and self.bytes_per_s > 0):
            raise ValueError("bytes_per_s must be above 0")
        if not (isfinite(self.overhead_s) and self.overhead_s >= 0):
            raise ValueError("overhead_s must not be below 0")
        if not (isfinite(self.prefill_limit_ratio) and self.prefill_limit_ratio > 0):
            raise ValueError("prefill_limit_ratio must be above 0")


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Hold the settings of an entry."""

    process: ProcessSettings
    http_port: int
    max_body_bytes: int = 2_000_000
    drain_timeout_s: float = 60.0
    # The pools whose lease this entry may hold; all known pools when empty.
    pools: tuple[str, ...] = ()
    subset_size: int = 48
    kv_transfer: TransferSettings = field(default_factory=TransferSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Hold the settings of an agent."""

    process: ProcessSettings
    upstream: str
    upstream_url: str
    kind: ServiceKind = ServiceKind.LANGUAGE
    services: tuple[str, ...] = ()
    # The pool whose lease holder orders this engine; without one it takes no orders.
    pool: str = ""
    max_streams: int = 32
    load_interval_s: float = 1.0
    # Serves /metrics and /healthz to read; without it there is no such port.
    metrics_port: int | None = None
    drain_timeout_s: float = 60.0
    policies: PolicySettings = field(default_factory=PolicySettings)
