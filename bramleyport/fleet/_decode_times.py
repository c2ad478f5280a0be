"""Learn how long calls run once their prompts are read."""

from typing import TYPE_CHECKING, Final

from bramleyport.fleet._load import UpstreamLoad
from bramleyport.fleet._types import Call, RouteName

if TYPE_CHECKING:
    from bramleyport.core import ServiceName

# Weight of the newest call in the mean of its route: a few seconds of calls count.
RUN_WEIGHT: Final = 0.05


class DecodeTimes:
    """Forecast how long calls run, and how long they wait for a slot."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, float] = {}
        self._services: dict[ServiceName, float] = {}

    def record(self, call: Call, elapsed_s: float) -> None:
        """Take the time from the first event of a call to its end."""
        known = self._routes.get(call.route.name, elapsed_s)
        self._routes[call.route.name] = known + RUN_WEIGHT * (elapsed_s - known)
        known = self._services.get(call.service, elapsed_s)
        self._services[call.service] = known + RUN_WEIGHT * (elapsed_s - known)

    def forecast(self, call: Call) -> float:
        """Return the seconds that a call runs; 0 until its route is known."""
        return self._routes.get(call.route.name, 0.0)

    def forecast_slot(self, call: Call, load: UpstreamLoad, slots: int) -> float:
        """Return the seconds until an engine has a slot for a call."""
        ahead = load.count_ahead(call.route.priority)
        missing = max(0, ahead + 1 - slots)
        return missing * self._services.get(call.service, 0.0) / max(1, slots)
