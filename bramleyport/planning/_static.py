"""Baseline planner that loads models and changes no roles."""

from bramleyport.core import Explanation
from bramleyport.planning._base import ROLE_PLANNERS, Plan, PoolState
from bramleyport.planning._model_loads import schedule_loads


@ROLE_PLANNERS.register("static")
class StaticPlanner:
    """Schedule model loads and leave all roles unchanged."""

    def plan(self, pool: PoolState, now_s: float) -> Plan:
        """Return the changes to make now."""
        return Plan(
            changes=schedule_loads(pool, frozenset(), now_s),
            explanation=Explanation(reason="static"),
        )
