"""Estimate the run times and decode times of calls from those observed."""

from typing import Final

from bramleyport.core import ServiceName
from bramleyport.fleet._load import UpstreamLoad
from bramleyport.fleet._types import Call, RouteName

# Weight of the newest call in a moving mean, which then covers a few seconds of calls.
NEWEST_WEIGHT: Final = 0.05


class CallTimes:
    """Forecast how long calls take, by their routes and services."""

    def __init__(self) -> None:
        self._route_means_s: dict[RouteName, float] = {}
        self._service_means_s: dict[ServiceName, float] = {}

    def record(self, call: Call, elapsed_s: float) -> None:
        """Record the time that a call took."""
        mean_s = self._route_means_s.get(call.route.name, elapsed_s)
        self._route_means_s[call.route.name] = mean_s + NEWEST_WEIGHT * (
            elapsed_s - mean_s
        )
        mean_s = self._service_means_s.get(call.service, elapsed_s)
        self._service_means_s[call.service] = mean_s + NEWEST_WEIGHT * (
            elapsed_s - mean_s
        )

    def forecast(self, call: Call) -> float:
        """Return the seconds that a call takes; 0 until its route is known."""
        return self._route_means_s.get(call.route.name, 0.0)

    def forecast_service(self, service: ServiceName) -> float:
        """Return the mean seconds of the calls of a service; 0 until one is known."""
        return self._service_means_s.get(service, 0.0)


class DecodeTimes(CallTimes):
    """Forecast how long calls decode, and how long they wait for a slot."""

    def forecast_slot(self, call: Call, load: UpstreamLoad, slots: int) -> float:
        """Return the seconds until an engine has a slot for a call."""
        ahead = load.count_ahead(call.priority)
        missing = max(0, ahead + 1 - slots)
        return missing * self.forecast_service(call.service) / max(1, slots)
