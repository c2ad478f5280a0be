"""Queue policies of the agent: order of starts, refusals and drops."""

from bramleyport.queueing import _fifo as _fifo, _ranked as _ranked
from bramleyport.queueing._account_queue import bound_cost_ahead
from bramleyport.queueing._base import (
    QUEUE_POLICIES,
    Queued,
    QueuedWork,
    QueuePolicy,
    Refused,
)

__all__ = [
    "QUEUE_POLICIES",
    "QueuePolicy",
    "Queued",
    "QueuedWork",
    "Refused",
    "bound_cost_ahead",
]
