"""Decide which calls a gateway accepts while it stops."""

from dataclasses import dataclass
from typing import Final

# Within this time the load balancer has seen that the gateway is not ready, also if
# the gateway handled the signal late. Calls that arrive later may outlast the stop.
UNRESTRICTED_S: Final = 2.5
# Time between the end of the calls and the moment in which the platform kills the
# process. The smallest hosts provide a third of a core.
STOP_MARGIN_S: Final = 1.0
# Calls are promised all but the last sixth of the grace time.
MAX_MARGIN_FRACTION: Final = 0.15
# Parts of the margin: callers read their last answers, then the gateway leaves the list
# of gateways. The interpreter exits in the rest.
FLUSH_FRACTION: Final = 0.3
LEAVE_FRACTION: Final = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSchedule:
    """Describe until when a gateway that stops accepts which calls."""

    # From here on only calls whose deadline is before the end are accepted.
    restricted_from_s: float
    # Calls that still run are ended.
    end_s: float
    # Time from then on until the platform kills the process.
    margin_s: float = STOP_MARGIN_S

    @property
    def flushed_s(self) -> float:
        """Return until when callers may read their last answers."""
        return self.end_s + FLUSH_FRACTION * self.margin_s

    @property
    def exit_s(self) -> float:
        """Return when the process exits."""
        return self.flushed_s + LEAVE_FRACTION * self.margin_s

    def accepts(self, arrived_s: float, deadline_s: float) -> bool:
        """Return whether a call can be served before the end."""
        return arrived_s < self.restricted_from_s or deadline_s <= self.end_s


def plan_shutdown(started_s: float, grace_s: float) -> ShutdownSchedule:
    """Return the schedule of a stop that began at a moment."""
    margin_s = min(STOP_MARGIN_S, MAX_MARGIN_FRACTION * grace_s)
    end_s = started_s + grace_s - margin_s
    return ShutdownSchedule(
        restricted_from_s=min(started_s + UNRESTRICTED_S, end_s),
        end_s=end_s,
        margin_s=margin_s,
    )
