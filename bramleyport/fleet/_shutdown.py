"""Decide which calls a gateway accepts while it stops."""

from dataclasses import dataclass
from typing import Final

# Within this time the load balancer has seen that the gateway is not ready, also if
# the gateway handled the signal late. Calls that arrive later may outlast the stop.
UNRESTRICTED_S: Final = 2.5
# Time for the interpreter to exit before the platform kills the process. The smallest
# hosts provide a third of a core.
STOP_MARGIN_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSchedule:
    """Describe until when a gateway that stops accepts which calls."""

    # From here on only calls whose deadline is before the end are accepted.
    restricted_from_s: float
    # Calls that still run are ended.
    end_s: float

    def accepts(self, arrived_s: float, deadline_s: float) -> bool:
        """Return whether a call can be served before the end."""
        return arrived_s < self.restricted_from_s or deadline_s <= self.end_s


def plan_shutdown(started_s: float, grace_s: float) -> ShutdownSchedule:
    """Return the schedule of a stop that began at a moment."""
    end_s = started_s + max(0.0, grace_s - STOP_MARGIN_S)
    return ShutdownSchedule(
        restricted_from_s=min(started_s + UNRESTRICTED_S, end_s), end_s=end_s
    )
