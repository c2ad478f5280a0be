"""Track the stage orders to engines that may still take effect."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet import Registration, Stage

# An unanswered order may still take effect within this time.
UNANSWERED_ORDER_TIMEOUT_S: Final = 13.0
# The registration of an engine shows the effect of an accepted order within this time.
ACCEPTED_ORDER_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class OrderedStage:
    """Describe the stage that an engine was ordered to take."""

    stage: Stage
    # Start of the process that was ordered, in Unix milliseconds; 0 if it is not known.
    started_ms: int
    until_s: float


class StageOrderTracker:
    """Track the orders whose effect is not known yet."""

    def __init__(self) -> None:
        self._ordered_stages: dict[UpstreamId, OrderedStage] = {}
        # Engines with an unanswered order, and until when the order may take effect.
        self._unanswered_until_s: dict[UpstreamId, float] = {}

    def record_ordered(self, target: Registration, stage: Stage, now_s: float) -> None:
        """Record an order to an engine."""
        self._ordered_stages[target.upstream] = OrderedStage(
            stage, target.started_ms, now_s + ACCEPTED_ORDER_TIMEOUT_S
        )

    def record_unanswered(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an order was not answered."""
        self._unanswered_until_s[upstream] = now_s + UNANSWERED_ORDER_TIMEOUT_S

    def find_ordered_stage(self, upstream: UpstreamId) -> Stage | None:
        """Return the stage that an engine was ordered to take."""
        ordered = self._ordered_stages.get(upstream)
        return ordered.stage if ordered else None

    def is_pending(self, item: Registration) -> bool:
        """Return whether an order to an engine may still take effect."""
        if item.upstream in self._unanswered_until_s:
            return True
        ordered = self._ordered_stages.get(item.upstream)
        # An accepted order is pending until the registration shows the new stage, or
        # that of another process, which has got no order.
        return (
            ordered is not None
            and ordered.started_ms == item.started_ms
            and item.stage is not ordered.stage
        )

    def drop_expired(self, now_s: float) -> None:
        """Remove the orders that can no longer take effect."""
        self._ordered_stages = {
            upstream: ordered
            for upstream, ordered in self._ordered_stages.items()
            if ordered.until_s >= now_s
        }
        self._unanswered_until_s = {
            upstream: until_s
            for upstream, until_s in self._unanswered_until_s.items()
            if until_s > now_s
        }
