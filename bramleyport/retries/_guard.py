"""Guards that keep work away from failing or saturated upstreams."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Explanation, Registry, UpstreamId, UpstreamView, Work
from bramleyport.retries._base import AttemptFailure, FailureKind
from bramleyport.retries._concurrency import ConcurrencyLimit
from bramleyport.retries._ejection import (
    PROBATION_IN_FLIGHT,
    OutlierEjector,
    Standing,
)

# Upstreams that come and go must not grow this process.
MAX_TRACKED: Final = 4096
MIN_LATENCY_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Screened:
    """Hold the upstreams that remain and why the others do not."""

    views: list[UpstreamView]
    explanation: Explanation


class UpstreamGuard(Protocol):
    """Filter upstreams by the results of earlier attempts."""

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return the upstreams that may get work; never none of some."""
        ...

    def start(self, upstream: UpstreamId) -> None:
        """Count an attempt in flight."""
        ...

    def observe_first(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Take the time from sending an attempt to its first chunk."""
        ...

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Take the result of an attempt and return why it ejects, if it does."""
        ...

    def abandon(self, upstream: UpstreamId) -> None:
        """Forget an attempt that was cancelled and shows nothing."""
        ...


UPSTREAM_GUARDS: Final[Registry[UpstreamGuard]] = Registry("upstream guard")


@UPSTREAM_GUARDS.register("none")
class OpenGuard:
    """Keep every upstream: the baseline."""

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return all upstreams."""
        return Screened(list(views), Explanation(reason="unscreened"))

    def start(self, upstream: UpstreamId) -> None:
        """Ignore the attempt."""

    def observe_first(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Ignore the latency."""

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Ignore the result."""
        return None

    def abandon(self, upstream: UpstreamId) -> None:
        """Ignore the attempt."""


@UPSTREAM_GUARDS.register("adaptive")
class AdaptiveGuard:
    """Eject outliers and limit the attempts in flight on each upstream.

    A limit moves work to other upstreams; it rejects none. Only the agent sees all work
    of its upstream and refuses by rank.
    """

    def __init__(self, ejector: OutlierEjector | None = None) -> None:
        self._ejector = ejector or OutlierEjector()
        self._limits: dict[UpstreamId, ConcurrencyLimit] = {}

    def screen(self, views: Sequence[UpstreamView], now_s: float) -> Screened:
        """Return the upstreams that may get work; never none of some."""
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
        """Count an attempt in flight."""
        self._find(upstream).in_flight += 1

    def observe_first(
        self, upstream: UpstreamId, work: Work, latency_s: float, now_s: float
    ) -> None:
        """Take the time from sending an attempt to its first chunk."""
        late = latency_s > work.targets.first_token_s
        self._find(upstream).observe(
            max(MIN_LATENCY_S, latency_s), late=late, now_s=now_s
        )

    def finish(
        self, upstream: UpstreamId, failure: AttemptFailure | None, now_s: float
    ) -> Explanation | None:
        """Take the result of an attempt and return why it ejects, if it does."""
        limit = self._find(upstream)
        limit.in_flight = max(0, limit.in_flight - 1)
        if failure is not None and failure.kind is FailureKind.REFUSED:
            # A refusal is the agent's own decision and no fault of the upstream.
            limit.decrease(now_s)
            return None
        failed = failure is not None
        if not self._ejector.record(upstream, failed=failed, now_s=now_s):
            return None
        numbers = {"in_flight": float(limit.in_flight), "limit": round(limit.limit, 2)}
        reason = failure.kind.value if failure is not None else "failed"
        return Explanation(reason=reason, numbers=numbers)

    def abandon(self, upstream: UpstreamId) -> None:
        """Forget an attempt that was cancelled and shows nothing."""
        limit = self._find(upstream)
        limit.in_flight = max(0, limit.in_flight - 1)

    def _has_room(self, upstream: UpstreamId, now_s: float) -> bool:
        limit = self._limits.get(upstream)
        if limit is None:
            return True
        if self._ejector.read(upstream, now_s) is Standing.PROBATION:
            return limit.in_flight < PROBATION_IN_FLIGHT
        return limit.has_room

    def _find(self, upstream: UpstreamId) -> ConcurrencyLimit:
        limit = self._limits.get(upstream)
        if limit is None:
            if len(self._limits) >= MAX_TRACKED:
                self._drop_idle()
            limit = self._limits[upstream] = ConcurrencyLimit()
        return limit

    def _drop_idle(self) -> None:
        idle = [name for name, limit in self._limits.items() if not limit.in_flight]
        for name in idle[: MAX_TRACKED // 2]:
            del self._limits[name]
        self._ejector.forget(self._limits)
