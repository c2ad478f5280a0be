"""Tracking of an engine's prefix cache by its agent."""

from typing import TYPE_CHECKING

from bramleyport.routing import CacheChange, CacheRecorder
from bramleyport.telemetry import log_event, routing_events
from bramleyport.upstreams import UpstreamError
from bramleyport.wire import CacheReport

if TYPE_CHECKING:
    from bramleyport.core import PrefixBlock, UpstreamView
    from bramleyport.upstreams import EngineClient


class AgentCache:
    """Track the engine's cache from its events and report changes to entries."""

    def __init__(self, view: "UpstreamView") -> None:
        self._view = view
        self._recorder = CacheRecorder(view.cached)

    async def read(self, engine: "EngineClient", now_s: float) -> CacheReport | None:
        """Read new events and return a report of the changes, if there are any."""
        try:
            changes = await engine.read_cache_events(self._view.cached.last_sequence)
        except UpstreamError:
            # The engine may restart with an empty cache and number its events from one.
            self._recorder.reset()
            changes = []
        for change in changes:
            gap = self._recorder.record(
                change.sequence, change.stored, change.evicted, now_s
            )
            if gap:
                log_event(
                    routing_events.CACHE_EVENTS_LOST,
                    upstream=self._view.upstream,
                    sequence=change.sequence,
                )
        self._recorder.expire(now_s)
        pending_change = self._recorder.take_change()
        return None if pending_change is None else self._make_report(pending_change)

    def confirm(self, blocks: "tuple[PrefixBlock, ...]", now_s: float) -> None:
        """Record the prompt blocks of an answered request as cached."""
        self._recorder.confirm(blocks, now_s)

    def make_full_report(self) -> CacheReport:
        """Return a report of all cached blocks."""
        return self._make_report(self._recorder.make_full())

    def _make_report(self, change: CacheChange) -> CacheReport:
        return CacheReport(
            upstream=self._view.upstream,
            previous=change.previous,
            sequence=change.sequence,
            stored=change.stored,
            evicted=change.evicted,
            full=change.full,
            uncertain=change.uncertain,
        )
