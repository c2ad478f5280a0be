"""Baseline planner: roles stay as they are, and only models are loaded."""

from bramleyport.core import Explanation
from bramleyport.planning._base import ROLE_PLANNERS, Plan, PoolState
from bramleyport.planning._loads import schedule_loads


@ROLE_PLANNERS.register("static")
class StaticPlanner:
    """Keep all roles."""

    def plan(self, pool: PoolState, now_s: float) -> Plan:
        """Return the changes to make now."""
        return Plan(
            changes=schedule_loads(pool, frozenset(), now_s),
            explanation=Explanation(reason="static"),
        )
