"""Read the settings file that the platform provides to each process."""

import os
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any, Final

import yaml

from bramleyport.core import (
    Place,
    ProcessId,
    RegionName,
    SettingsError,
    ZoneName,
)
from bramleyport.fleet import Address
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    read_address,
    read_amount,
    read_count,
    read_flag,
    read_mapping,
    read_number,
    read_positive,
    read_string,
)

# Used if the settings have no stable_window_ms.
DEFAULT_STABLE_MS: Final = 3_000
DEFAULT_MEMORY_MB: Final = 200
# Used where the bounds don't state the times of usage windows.
DEFAULT_WINDOW_S: Final = 5.0
DEFAULT_USAGE_LATE_S: Final = 10.0
DEFAULT_THAW_MS: Final = 300
DEFAULT_CALLS_PER_S: Final = 1.0
DEFAULT_MAX_FDS: Final = 1_024
BYTES_PER_MB: Final = 1_048_576
FILE_VARIABLE: Final = "BRAMLEYPORT_NODE_FILE"
_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Describe the store's address and its rate limits for all processes together."""

    address: Address
    writes_per_s: float
    reads_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBounds:
    """Describe the retry budget of all processes together in a sliding window."""

    ratio: float
    extra: float
    window_s: float


class Duty(str, Enum):
    """Represent the calls to the platform API that gateways have to make."""

    USAGE = "usage"
    SCALE = "scale"


@dataclass(frozen=True, slots=True, kw_only=True)
class DutySettings:
    """Describe the duties of all gateways together, and the platform API."""

    address: Address
    duties: frozenset[Duty]
    # Calls to the platform API a second that all gateways together may make.
    calls_per_s: float
    # Duration of a usage window, and time after its end at which its report is due.
    window_s: float
    usage_late_s: float
    # The platform API refuses fencing numbers below the highest that it has seen.
    checks_fencing: bool
    # Time within which calls arrive that were sent as their process was paused.
    thaw_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Describe the settings of one process on the platform."""

    process: ProcessId
    host: str
    place: Place
    caller_address: Address
    readiness_address: Address
    peer_port: int
    store: StoreSettings
    retries: RetryBounds
    # Time limit for stopping after SIGTERM.
    grace_s: float
    # Time limit after which a draining upstream must get no new calls.
    drain_limit_s: float
    # Time limit after which a new configuration must be in effect.
    configuration_limit_s: float
    # The two limits above apply again this long after an outage of the store has ended.
    stable_s: float
    registration_interval_s: float
    lease_s: float
    # Memory that a process may use on its host.
    memory_bytes: int
    # File descriptors that a process may open.
    max_descriptors: int
    # The whole system starts for the first time, so engines have nothing cached yet.
    first_start: bool
    # None if the gateways have no duties.
    duties: DutySettings | None = None


def locate_settings() -> Path:
    """Return the path of the settings file."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise SettingsError(
            "locate settings", FILE_VARIABLE, "environment variable is not set"
        )
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file; unknown fields are ignored."""
    try:
        document = yaml.load(path.read_bytes(), Loader=_LOADER)
        if not isinstance(document, dict):
            raise MalformedDocumentError("the file is not a mapping")
        return _decode(document)
    except OSError as error:
        reason = error.strerror or repr(error)
        raise SettingsError("read settings", str(path), reason) from error
    except (ArithmeticError, AttributeError, LookupError, RecursionError) as error:
        # The parser lets errors of its conversions out.
        raise SettingsError("check settings", str(path), repr(error)) from error
    except (yaml.YAMLError, ValueError) as error:
        raise SettingsError("check settings", str(path), str(error)) from error


def _decode(document: Document) -> NodeSettings:
    listen = read_mapping(document, "listen")
    bounds = read_mapping(document, "bounds")
    store = read_mapping(document, "platform_store")
    limits = document.get("limits")
    if not isinstance(limits, dict):
        limits = {}
    ports = document.get("internal_ports")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise MalformedDocumentError(f"internal_ports has no port: {ports!r:.60}")
    return NodeSettings(
        process=ProcessId(read_string(document, "node")),
        host=read_string(document, "ip"),
        place=Place(
            zone=ZoneName(read_string(document, "zone")),
            region=RegionName(read_string(document, "region")),
        ),
        caller_address=read_address(listen, "front"),
        readiness_address=read_address(listen, "ready"),
        peer_port=ports[0],
        store=StoreSettings(
            address=read_address(store, "addr"),
            writes_per_s=read_number(store, "writes_per_s"),
            reads_per_s=read_number(store, "reads_per_s"),
        ),
        retries=RetryBounds(
            ratio=read_number(bounds, "budget_ratio"),
            extra=read_number(bounds, "budget_extra_tries"),
            window_s=read_number(bounds, "budget_window_s"),
        ),
        grace_s=read_number(bounds, "grace_s"),
        drain_limit_s=read_count(bounds, "drain_ms") / 1000,
        configuration_limit_s=read_count(bounds, "config_ms") / 1000,
        stable_s=read_count(bounds, "stable_window_ms", DEFAULT_STABLE_MS) / 1000,
        registration_interval_s=read_count(document, "heartbeat_ms") / 1000,
        lease_s=read_count(bounds, "lease_ms") / 1000,
        memory_bytes=read_count(limits, "memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB,
        max_descriptors=read_count(limits, "max_fds", DEFAULT_MAX_FDS),
        first_start=read_flag(document, "first_start", False),
        duties=_decode_duties(document, bounds),
    )


def _decode_duties(document: Document, bounds: Document) -> DutySettings | None:
    """Return the duties; ones of later versions are left to gateways of these."""
    if document.get("cloud") is None:
        return None
    cloud = read_mapping(document, "cloud")
    names = cloud.get("duties") or []
    if not isinstance(names, list):
        raise MalformedDocumentError(f"duties is not a list: {names!r:.60}")
    duties = frozenset(duty for duty in Duty if duty.value in names)
    if not duties:
        return None
    window_s = DEFAULT_WINDOW_S
    if "window_s" in bounds:
        window_s = read_positive(bounds, "window_s")
    return DutySettings(
        address=read_address(cloud, "addr"),
        duties=duties,
        calls_per_s=_read_calls_per_s(cloud),
        window_s=window_s,
        usage_late_s=read_amount(bounds, "usage_late_s", DEFAULT_USAGE_LATE_S),
        checks_fencing=read_flag(bounds, "fence_checked", False),
        thaw_s=read_count(bounds, "thaw_ms", DEFAULT_THAW_MS) / 1000,
    )


def _read_calls_per_s(cloud: Document) -> float:
    if "duties_per_s" not in cloud:
        return DEFAULT_CALLS_PER_S
    return read_positive(cloud, "duties_per_s")
