"""Hosts as described by the platform's host list, which is delayed."""

from dataclasses import dataclass
from enum import Enum

from bramleyport.core import ProcessId, RegionName, ZoneName


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
