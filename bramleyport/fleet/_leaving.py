"""Track upstream processes that are leaving and take no new work."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import Registration

# The oldest ones are forgotten first; they have ended long ago.
MAX_PROCESSES: Final = 8_192


@dataclass(frozen=True, slots=True)
class LeavingUpstream:
    """Identify a process of an upstream that is leaving."""

    upstream: UpstreamId
    # Start of the process in Unix milliseconds.
    started_ms: int


class LeavingProcesses:
    """Track which processes are leaving, whoever said so.

    A process that leaves ends, so neither time nor a registration that says that it is
    ready ends this: that registration was written earlier. Only its next start does.
    """

    def __init__(self) -> None:
        # Start of the process by upstream, in the order in which they were recorded.
        self._started_ms: dict[UpstreamId, int] = {}

    def record(self, upstream: UpstreamId, started_ms: int) -> bool:
        """Record that a process is leaving; return whether that was not known."""
        if self._started_ms.pop(upstream, None) == started_ms:
            self._started_ms[upstream] = started_ms
            return False
        self._started_ms[upstream] = started_ms
        if len(self._started_ms) > MAX_PROCESSES:
            del self._started_ms[next(iter(self._started_ms))]
        return True

    def includes(self, registration: Registration) -> bool:
        """Return whether the process of a registration is leaving."""
        return self._started_ms.get(registration.upstream) == registration.started_ms

    def forget_unknown_start(self, upstream: UpstreamId) -> None:
        """Forget a process without a known start, which its successor looks like."""
        if self._started_ms.get(upstream) == 0:
            del self._started_ms[upstream]
