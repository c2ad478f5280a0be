"""Typed settings of each role."""

from dataclasses import dataclass, field
from math import isfinite

from bramleyport.core import ServiceKind


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Describe the format and the level of log lines."""

    json_lines: bool = True
    level: str = "INFO"


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatSettings:
    """Describe the heartbeat interval and the effects of missed heartbeats.

    After `missed_suspect` intervals without a message a replacement connection is
    opened; after `missed_silent` intervals the connection is closed.
    """

    interval_s: float = 1.0
    missed_suspect: float = 2.5
    missed_silent: float = 6.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Describe the files for mutual TLS between processes."""

    certificate_file: str = ""
    key_file: str = ""
    ca_file: str = ""

    @property
    def enabled(self) -> bool:
        """Return whether connections use TLS."""
        return bool(self.certificate_file or self.key_file or self.ca_file)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Describe a process, its location and its addresses."""

    process: str
    zone: str
    region: str
    address: str
    peer_port: int
    object_api: str
    secret_file: str = ""
    tls: TlsSettings = field(default_factory=TlsSettings)
    heartbeats: HeartbeatSettings = field(default_factory=HeartbeatSettings)
    # Peers ("address:port") to get records and hosts from if the store is unavailable
    # at startup.
    seeds: tuple[str, ...] = ()
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Describe which policy makes each decision, by name."""

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
    """Describe when prefill and decode run on different engines.

    This applies only to engines that report the address to fetch their KV blocks from.
    """

    enabled: bool = True
    # Bandwidth of one transfer: its share of a host's link.
    bytes_per_s: float = 2e9
    overhead_s: float = 0.02
    # A prefill may take this many times its forecast.
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
    """Describe the settings of an entry."""

    process: ProcessSettings
    http_port: int
    max_body_bytes: int = 2_000_000
    drain_timeout_s: float = 60.0
    # The pools whose lease this entry may hold; empty for all known pools.
    pools: tuple[str, ...] = ()
    subset_size: int = 48
    kv_transfer: TransferSettings = field(default_factory=TransferSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Describe the settings of an agent."""

    process: ProcessSettings
    upstream: str
    upstream_url: str
    kind: ServiceKind = ServiceKind.LANGUAGE
    services: tuple[str, ...] = ()
    # The pool whose lease holder sends orders to this engine; empty for no orders.
    pool: str = ""
    max_streams: int = 32
    load_interval_s: float = 1.0
    # Port on which /metrics and /healthz are served, if any.
    metrics_port: int | None = None
    drain_timeout_s: float = 60.0
    policies: PolicySettings = field(default_factory=PolicySettings)
