"""Read the settings file that the platform gives each process."""

import os
from dataclasses import dataclass
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
from bramleyport.platform._wire import (
    Document,
    MalformedDocumentError,
    read_address,
    read_count,
    read_flag,
    read_number,
    read_table,
    read_text,
)

# Used where the settings name no time after which an outage is over.
DEFAULT_STABLE_MS: Final = 3_000
FILE_VARIABLE: Final = "BRAMLEYPORT_NODE_FILE"
_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Hold where the store is and what it admits from all processes together."""

    address: Address
    writes_per_s: float
    reads_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBounds:
    """Bound the repeats of all processes together within a sliding window."""

    ratio: float
    extra: float
    window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Hold the settings of one process on the platform."""

    process: ProcessId
    host: str
    place: Place
    caller_address: Address
    readiness_address: Address
    peer_port: int
    store: StoreSettings
    retries: RetryBounds
    # How long a process may take to stop after SIGTERM.
    grace_s: float
    # Within these times a leaving upstream gets no more calls, and a configuration is
    # in force.
    drain_s: float
    configure_s: float
    # These times count again this long after the end of an outage of the store.
    stable_s: float
    registration_interval_s: float
    lease_s: float
    # The whole system starts for the first time, so that engines hold nothing yet.
    first_start: bool


def locate_settings() -> Path:
    """Return the path of the settings file."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise SettingsError("locate settings", FILE_VARIABLE, "variable is not set")
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file; fields that are not known are ignored."""
    try:
        document = yaml.load(path.read_bytes(), Loader=_LOADER)
        if not isinstance(document, dict):
            raise MalformedDocumentError("the file holds no table")
        return _decode(document)
    except OSError as error:
        reason = error.strerror or repr(error)
        raise SettingsError("read settings", str(path), reason) from error
    except (yaml.YAMLError, MalformedDocumentError) as error:
        raise SettingsError("check settings", str(path), str(error)) from error


def _decode(document: Document) -> NodeSettings:
    listen = read_table(document, "listen")
    bounds = read_table(document, "bounds")
    store = read_table(document, "platform_store")
    ports = document.get("internal_ports")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise MalformedDocumentError(f"internal_ports has no port: {ports!r:.60}")
    return NodeSettings(
        process=ProcessId(read_text(document, "node")),
        host=read_text(document, "ip"),
        place=Place(
            zone=ZoneName(read_text(document, "zone")),
            region=RegionName(read_text(document, "region")),
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
        drain_s=read_count(bounds, "drain_ms") / 1000,
        configure_s=read_count(bounds, "config_ms") / 1000,
        stable_s=read_count(bounds, "stable_window_ms", DEFAULT_STABLE_MS) / 1000,
        registration_interval_s=read_count(document, "heartbeat_ms") / 1000,
        lease_s=read_count(bounds, "lease_ms") / 1000,
        first_start=read_flag(document, "first_start", False),
    )
