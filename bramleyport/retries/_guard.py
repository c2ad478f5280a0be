"""Guards that filter out failing or saturated upstreams."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Explanation, Registry, UpstreamId, UpstreamView, Work
from bramleyport.retries._base import AttemptFailure, FailureKind
from bramleyport.retries._concurrency import ConcurrencyLimit
from bramleyport.retries._ejection import (
    MAX_PROBATION_IN_FLIGHT,
    EjectionState,
    OutlierEjector,
)

# Bounds the memory of the process when upstreams come and go.
MAX_TRACKED_UPSTREAMS: Final = 4096
MIN_LATENCY_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Screened:
    """Describe the upstreams that remain, and why others were filtered out."""

    views: list[UpstreamView]
    explanation: Explanation


class UpstreamGuard(Protocol):
    """Decide which upstreams get work by the results of earlier attempts."""

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return the upstreams that may get work: at least one if any is given."""
        ...

    def start(self, upstream: UpstreamId) -> None:
        """Record the start of an attempt."""
        ...

    def observe_first_chunk(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Record the time from sending an attempt to its first chunk."""
        ...

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Record the result of an attempt; return why it ejects the upstream, if so."""
        ...

    def finish_cancelled(
        self, upstream: UpstreamId, work: Work, silent_s: float, now_s: float
    ) -> Explanation | None:
        """Record a cancelled attempt; `silent_s` is 0 if it delivered a chunk."""
        ...


UPSTREAM_GUARDS: Final[Registry[UpstreamGuard]] = Registry("upstream guard")


@UPSTREAM_GUARDS.register("none")
class NullGuard:
    """Represent the baseline guard, which keeps all upstreams."""

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return all upstreams."""
        return Screened(list(views), Explanation(reason="unscreened"))

    def start(self, upstream: UpstreamId) -> None:
        """Ignore the attempt."""

    def observe_first_chunk(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Ignore the latency."""

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Ignore the result."""
        return None

    def finish_cancelled(
        self, upstream: UpstreamId, work: Work, silent_s: float, now_s: float
    ) -> Explanation | None:
        """Ignore the attempt."""
        return None


@UPSTREAM_GUARDS.register("adaptive")
class AdaptiveGuard:
    """Decide by outlier ejection and by limits on the attempts in flight.

    A limit diverts work to other upstreams but rejects none. Only the agent sees all
    work of its upstream, and refuses work by rank.
    """

    def __init__(self, ejector: OutlierEjector | None = None) -> None:
        self._ejector = ejector or OutlierEjector()
        self._limits: dict[UpstreamId, ConcurrencyLimit] = {}

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return the upstreams that may get work: at least one if any is given."""
        ejected = self._ejector.find_ejected([view.upstream for view in views], now_s)
        kept = [view for view in views if view.upstream not in ejected]
        free = [view for view in kept if self._has_room(view.upstream, now_s)]
        numbers = {
            "eligible": float(len(views)),
            "ejected": float(len(ejected)),
            "at_limit": float(len(kept) - len(free)),
        }
        if kept and not free:
            return Screened(kept, Explanation(reason="all_at_limit", numbers=numbers))
        reason = "screened" if len(free) < len(views) else "all_free"
        return Screened(free, Explanation(reason=reason, numbers=numbers))

    def start(self, upstream: UpstreamId) -> None:
        """Record the start of an attempt."""
        self._get_limit(upstream).in_flight += 1

    def observe_first_chunk(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Record the time from sending an attempt to its first chunk."""
        late = latency_s > work.targets.first_token_s
        self._get_limit(upstream).observe(
            max(MIN_LATENCY_S, latency_s), late=late, now_s=now_s
        )

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Record the result of an attempt; return why it ejects the upstream, if so."""
        limit = self._get_limit(upstream)
        limit.in_flight = max(0, limit.in_flight - 1)
        if failure is not None and failure.kind is FailureKind.REFUSED:
            # A refusal is a decision of the agent, not a fault of the upstream.
            limit.decrease(now_s)
            return None
        failed = failure is not None
        if not self._ejector.record(upstream, failed=failed, now_s=now_s):
            return None
        numbers = {"in_flight": float(limit.in_flight), "limit": round(limit.limit, 2)}
        reason = failure.kind.value if failure is not None else "failed"
        return Explanation(reason=reason, numbers=numbers)

    def finish_cancelled(
        self, upstream: UpstreamId, work: Work, silent_s: float, now_s: float
    ) -> Explanation | None:
        """Record a cancelled attempt; `silent_s` is 0 if it delivered a chunk."""
        limit = self._get_limit(upstream)
        limit.in_flight = max(0, limit.in_flight - 1)
        if silent_s <= work.targets.first_token_s:
            return None
        # Otherwise hedges would conceal an upstream that has stopped answering.
        limit.observe(silent_s, late=True, now_s=now_s)
        if not self._ejector.record(upstream, failed=True, now_s=now_s):
            return None
        return Explanation(reason="silent", numbers={"silent_s": round(silent_s, 3)})

    def _has_room(self, upstream: UpstreamId, now_s: float) -> bool:
        limit = self._limits.get(upstream)
        if limit is None:
            return True
        if self._ejector.get_state(upstream, now_s) is EjectionState.PROBATION:
            return limit.in_flight < MAX_PROBATION_IN_FLIGHT
        return limit.has_room

    def _get_limit(self, upstream: UpstreamId) -> ConcurrencyLimit:
        limit = self._limits.get(upstream)
        if limit is None:
            if len(self._limits) >= MAX_TRACKED_UPSTREAMS:
                self._drop_idle()
            limit = self._limits[upstream] = ConcurrencyLimit()
        return limit

    def _drop_idle(self) -> None:
        idle = [name for name, limit in self._limits.items() if not limit.in_flight]
        for name in idle[: MAX_TRACKED_UPSTREAMS // 2]:
            del self._limits[name]
        self._ejector.retain(self._limits)
