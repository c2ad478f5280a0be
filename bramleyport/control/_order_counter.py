"""Metrics of the outcomes of a pool's orders while this entry holds its lease."""

from collections.abc import Iterable

from bramleyport.authority import FENCING_REFUSED, OrderObject, Progress
from bramleyport.core import PoolName, UpstreamId
from bramleyport.telemetry import Metrics


class OrderCounter:
    """Count each outcome once, when an order object first shows it."""

    def __init__(self, pool: PoolName, metrics: Metrics) -> None:
        self._pool = pool
        self._metrics = metrics
        self._last_outcomes: dict[UpstreamId, tuple[int, Progress]] = {}

    def mark_counted(self, objects: Iterable[OrderObject]) -> None:
        """Mark outcomes as already counted by earlier holders."""
        self._last_outcomes = {item.upstream: _read_outcome(item) for item in objects}

    def count(self, found: OrderObject) -> None:
        """Count the outcome of an object unless it equals its last outcome."""
        outcome = _read_outcome(found)
        before = self._last_outcomes.get(found.upstream)
        self._last_outcomes[found.upstream] = outcome
        if before is None or before == outcome:
            return
        role, state = found.order.change.role, found.state
        if state is Progress.DONE and role is not None:
            self._metrics.role_changes.inc({"pool": self._pool, "role": role.value})
        elif state is Progress.DROPPED:
            self._refuse("agent")
        elif state is Progress.FAILED and found.progress.reason == FENCING_REFUSED:
            self._refuse("engine")

    def _refuse(self, refuser: str) -> None:
        self._metrics.orders_refused.inc({"pool": self._pool, "by": refuser})


def _read_outcome(found: OrderObject) -> tuple[int, Progress]:
    return found.order.sequence, found.state
