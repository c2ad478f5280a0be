"""Remember which engines were ordered to change and may still do so."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet import Registration, Stage

# An unanswered order may still be carried out within this time.
DOUBT_S: Final = 13.0
# The registration of an engine shows an accepted order within this time.
SHOWN_WITHIN_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class OrderedStage:
    """Hold the stage that an engine was told to take."""

    stage: Stage
    until_s: float


class OrderLedger:
    """Hold the orders whose effect is not known yet."""

    def __init__(self) -> None:
        self._ordered: dict[UpstreamId, OrderedStage] = {}
        # Engines with an unanswered order, and until when it may still take effect.
        self._in_doubt: dict[UpstreamId, float] = {}

    def note_ordered(self, upstream: UpstreamId, stage: Stage, now_s: float) -> None:
        """Note that an engine is told to change."""
        self._ordered[upstream] = OrderedStage(stage, now_s + SHOWN_WITHIN_S)

    def note_unanswered(self, upstream: UpstreamId, now_s: float) -> None:
        """Note that an order was not answered."""
        self._in_doubt[upstream] = now_s + DOUBT_S

    def find_stage(self, upstream: UpstreamId) -> Stage | None:
        """Return the stage that an engine was told to take."""
        ordered = self._ordered.get(upstream)
        return ordered.stage if ordered else None

    def is_open(self, item: Registration) -> bool:
        """Return whether an engine may still change by an order."""
        if item.upstream in self._in_doubt:
            return True
        ordered = self._ordered.get(item.upstream)
        # An accepted order counts until the registration shows its effect.
        return ordered is not None and item.stage is not ordered.stage

    def drop_settled(self, now_s: float) -> None:
        """Drop the orders that have had their time."""
        self._ordered = {
            upstream: ordered
            for upstream, ordered in self._ordered.items()
            if ordered.until_s >= now_s
        }
        self._in_doubt = {
            upstream: until_s
            for upstream, until_s in self._in_doubt.items()
            if until_s > now_s
        }
