"""Choose an upstream for each request."""

from bramleyport.core import Place
from bramleyport.routing import _affinity as _affinity, _least_loaded as _least_loaded
from bramleyport.routing._base import (
    ROUTING_POLICIES,
    Route,
    RoutingPolicy,
    is_eligible,
)
from bramleyport.routing._cache_view import CacheChange, CacheFollower, CacheRecorder
from bramleyport.routing._subsets import DEFAULT_SUBSET, SubsetHost, SubsetSelector
from bramleyport.routing._transfer import TransferCost, can_split

__all__ = [
    "DEFAULT_SUBSET",
    "ROUTING_POLICIES",
    "CacheChange",
    "CacheFollower",
    "CacheRecorder",
    "Place",
    "Route",
    "RoutingPolicy",
    "SubsetHost",
    "SubsetSelector",
    "TransferCost",
    "can_split",
    "is_eligible",
]
