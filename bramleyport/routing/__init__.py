"""Choose an upstream for each request."""

from bramleyport.routing import _least_loaded as _least_loaded
from bramleyport.routing._base import (
    ROUTING_POLICIES,
    Route,
    RoutingPolicy,
    is_eligible,
)

__all__ = ["ROUTING_POLICIES", "Route", "RoutingPolicy", "is_eligible"]
