"""Hosts as described by the platform's host list, which is delayed."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import ProcessId, RegionName, ZoneName

MAX_PORT: Final = 65_535
MAX_ADDRESS_CHARS: Final = 253
# A huge incarnation would hide all later restarts of its process.
MAX_INCARNATION: Final = 2**53


class HostState(str, Enum):
    """Represent the states that the platform gives a host."""

    LIVE = "live"
    LEAVING = "leaving"


class ProcessRole(str, Enum):
    """Represent the roles of the system's processes."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """Describe one row of the host list."""

    process: ProcessId
    role: ProcessRole
    address: str
    port: int
    zone: ZoneName
    region: RegionName
    state: HostState = HostState.LIVE
    incarnation: int = 0
    # The pool that the host serves; empty if the list does not state it.
    pool: str = ""

    @property
    def uri(self) -> str:
        """Return the address of the process as a websocket URI."""
        return f"ws://{self.address}:{self.port}"

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the address and port on which the process listens."""
        return self.address, self.port


def list_host_problems(host: Host) -> list[str]:
    """Return why a row of the host list describes no host."""
    problems = []
    if not host.process:
        problems.append("a host without a name")
    if not 0 < host.port <= MAX_PORT:
        problems.append(f"no port from 1 to {MAX_PORT}")
    is_printable = host.address.isprintable() and " " not in host.address
    if not (is_printable and 0 < len(host.address) <= MAX_ADDRESS_CHARS):
        problems.append("no address of a host")
    if not 0 <= host.incarnation <= MAX_INCARNATION:
        problems.append(f"no incarnation from 0 to {MAX_INCARNATION}")
    return problems
