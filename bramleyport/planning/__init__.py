"""Planners of engine roles and of model and adapter loads."""

from bramleyport.planning import _ratio as _ratio, _static as _static
from bramleyport.planning._base import (
    ROLE_PLANNERS,
    Change,
    DemandSample,
    EngineCosts,
    ModelLoad,
    ModelRequirement,
    Plan,
    PoolEngine,
    PoolState,
    RoleChange,
    RolePlanner,
    WeightStore,
)
from bramleyport.planning._capacity import RoleCounts, compute_capacity_factor
from bramleyport.planning._demand import (
    DemandMeter,
    compute_token_cost,
    is_short_answer,
)

__all__ = [
    "ROLE_PLANNERS",
    "Change",
    "DemandMeter",
    "DemandSample",
    "EngineCosts",
    "ModelLoad",
    "ModelRequirement",
    "Plan",
    "PoolEngine",
    "PoolState",
    "RoleChange",
    "RoleCounts",
    "RolePlanner",
    "WeightStore",
    "compute_capacity_factor",
    "compute_token_cost",
    "is_short_answer",
]
