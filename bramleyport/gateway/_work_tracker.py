"""Record the work sent to upstreams, and collect updates of it for other gateways."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import NO_ACCOUNT, Call, RateLimitNotice, Registration, Work
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashUpdates
from bramleyport.gateway._state import GatewayState

# Refused connections are sent as urgently as work that keeps an engine busy for this
# long: other gateways need them before they choose their next upstream.
URGENT_BUSY_S: Final = 1.0


@dataclass(slots=True)
class PendingUpdates:
    """Describe the changes that were not sent to the other gateways yet."""

    started: list[Work] = field(default_factory=list)
    prefilled: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)
    ended: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)
    # Upstreams that refused a connection.
    refused: list[UpstreamId] = field(default_factory=list)
    # What upstreams said of their rate limits.
    limits: list[RateLimitNotice] = field(default_factory=list)
    crashes: CrashUpdates = field(default_factory=CrashUpdates)

    def __bool__(self) -> bool:
        return bool(
            self.started
            or self.prefilled
            or self.ended
            or self.refused
            or self.limits
            or self.crashes
        )


class WorkTracker:
    """Track the work that this gateway and its peers have sent to upstreams."""

    def __init__(self, state: GatewayState) -> None:
        self._recorder = state.recorder
        self._reachability = state.reachability
        self._pending = PendingUpdates()
        # Called with the time for which the newly sent work keeps its engine busy.
        self.on_updates_pending: Callable[[float], None] | None = None
        # Called when an upstream has less to do.
        self.on_capacity_freed: Callable[[], None] | None = None

    def start(
        self,
        call: Call,
        target: Registration,
        *,
        prefill_s: float = 0.0,
        prefill_cost: float = 0.0,
        transfer_s: float = 0.0,
    ) -> None:
        """Record that a call is sent to an upstream."""
        parts = call.prompt.parts if call.prompt else ()
        work = Work(
            request=call.request,
            upstream=target.upstream,
            priority=call.priority,
            prefill_s=prefill_s,
            prefill_cost=prefill_cost,
            started_s=read_now(),
            parts=parts,
            transfer_s=transfer_s,
            account=call.account_name or NO_ACCOUNT,
        )
        self.apply_started(work)
        self._pending.started.append(work)
        self._notify_pending(work.prefill_s)

    def finish_prefill(self, call: Call, target: Registration) -> None:
        """Record that an upstream has finished the prefill of a call."""
        self.apply_prefilled(target.upstream, call.request)
        self._pending.prefilled.append((target.upstream, call.request))
        self._notify_pending()

    def end(self, call: Call, target: Registration) -> None:
        """Record that an upstream has no more work for a call."""
        self.apply_ended(target.upstream, call.request)
        self._pending.ended.append((target.upstream, call.request))
        self._notify_pending()

    def report_refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused a connection, and notify peers at once."""
        self.apply_refused(upstream)
        self._pending.refused.append(upstream)
        self._notify_pending(URGENT_BUSY_S)

    def apply_refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused a connection of any gateway."""
        self._reachability.record_refused(upstream, read_now())

    def apply_started(self, work: Work) -> None:
        """Record work of any gateway."""
        self._recorder.start(work)

    def apply_prefilled(self, upstream: UpstreamId, request: RequestId) -> None:
        """Record that an upstream has finished the prefill of any gateway's call."""
        self._recorder.finish_prefill(upstream, request, read_now())
        self._notify_freed()

    def apply_ended(self, upstream: UpstreamId, request: RequestId) -> None:
        """Record that an upstream has no more work for any gateway's call."""
        self._recorder.end(upstream, request, read_now())
        self._notify_freed()

    def drop_origin(self, origin: str) -> None:
        """Remove the work of a gateway that will not report when it ends."""
        self._recorder.drop_origin(origin, read_now())
        self._notify_freed()

    def drop_expired(self) -> None:
        """Remove work whose end was never reported."""
        self._recorder.drop_expired(read_now())
        self._notify_freed()

    def take_pending(self) -> PendingUpdates:
        """Return and clear the changes that were not sent to the other gateways yet."""
        pending = self._pending
        self._pending = PendingUpdates()
        return pending

    def _notify_freed(self) -> None:
        if self.on_capacity_freed is not None:
            self.on_capacity_freed()

    def _notify_pending(self, busy_s: float = 0.0) -> None:
        if self.on_updates_pending is not None:
            self.on_updates_pending(busy_s)
