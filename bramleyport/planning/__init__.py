"""Engine roles, and model and adapter loads."""

from bramleyport.planning import _ratio as _ratio, _static as _static
from bramleyport.planning._base import (
    ROLE_PLANNERS,
    Change,
    DemandSample,
    EngineCosts,
    ModelLoad,
    ModelWant,
    Plan,
    PoolEngine,
    PoolState,
    RoleChange,
    RolePlanner,
    WeightStore,
)
from bramleyport.planning._capacity import Mix, serve_factor
from bramleyport.planning._demand import DemandMeter, is_short, price_token

__all__ = [
    "ROLE_PLANNERS",
    "Change",
    "DemandMeter",
    "DemandSample",
    "EngineCosts",
    "Mix",
    "ModelLoad",
    "ModelWant",
    "Plan",
    "PoolEngine",
    "PoolState",
    "RoleChange",
    "RolePlanner",
    "WeightStore",
    "is_short",
    "price_token",
    "serve_factor",
]
