"""Record what is sent to upstreams, here and for the other gateways."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Call, Registration, Work
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState

# News that others need before their next choice count as work that takes so long.
URGENT_BUSY_S: Final = 1.0


@dataclass(slots=True)
class PendingNews:
    """Collect what the other gateways have yet to hear."""

    started: list[Work] = field(default_factory=list)
    read: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)
    ended: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)
    # Upstreams that refused a connection.
    refused: list[UpstreamId] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.started or self.read or self.ended or self.refused)


class Tracker:
    """Keep the load of upstreams up to date with what this gateway sends."""

    def __init__(self, state: GatewayState) -> None:
        self._recorder = state.recorder
        self._reachability = state.reachability
        self._pending = PendingNews()
        # Called with how long an engine will be busy with what was just sent.
        self.on_pending: Callable[[float], None] | None = None

    def start(
        self,
        call: Call,
        target: Registration,
        *,
        prefill_s: float = 0.0,
        prefill_cost: float = 0.0,
        transfer_s: float = 0.0,
    ) -> None:
        """Note that a call is sent to an upstream."""
        parts = call.prompt.parts if call.prompt else ()
        work = Work(
            request=call.request,
            upstream=target.upstream,
            priority=call.route.priority,
            prefill_s=prefill_s,
            prefill_cost=prefill_cost,
            started_s=read_now(),
            parts=parts,
            transfer_s=transfer_s,
        )
        self.apply(work)
        self._pending.started.append(work)
        self._announce(work.prefill_s)

    def finish_prefill(self, call: Call, target: Registration) -> None:
        """Note that an upstream has read the prompt of a call."""
        self.apply_read(target.upstream, call.request)
        self._pending.read.append((target.upstream, call.request))
        self._announce()

    def end(self, call: Call, target: Registration) -> None:
        """Note that an upstream has nothing left to do for a call."""
        self.apply_ended(target.upstream, call.request)
        self._pending.ended.append((target.upstream, call.request))
        self._announce()

    def note_refused(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused a connection, and tell the others at once."""
        self.apply_refused(upstream)
        self._pending.refused.append(upstream)
        self._announce(URGENT_BUSY_S)

    def apply_refused(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused some gateway's connection."""
        self._reachability.record_refused(upstream, read_now())

    def apply(self, work: Work) -> None:
        """Take work of this or another gateway."""
        self._recorder.start(work)

    def apply_read(self, upstream: UpstreamId, request: RequestId) -> None:
        """Note that an upstream has read the prompt of some gateway's call."""
        self._recorder.finish_prefill(upstream, request, read_now())

    def apply_ended(self, upstream: UpstreamId, request: RequestId) -> None:
        """Note that an upstream has nothing left to do for some gateway's call."""
        self._recorder.end(upstream, request, read_now())

    def drop_origin(self, origin: str) -> None:
        """Drop the work of a gateway that will not report its end."""
        self._recorder.drop_origin(origin, read_now())

    def drop_expired(self) -> None:
        """Drop work whose end was never heard of."""
        self._recorder.drop_expired(read_now())

    def take_pending(self) -> PendingNews:
        """Return and clear what the other gateways have yet to hear."""
        pending = self._pending
        self._pending = PendingNews()
        return pending

    def _announce(self, busy_s: float = 0.0) -> None:
        if self.on_pending is not None:
            self.on_pending(busy_s)
