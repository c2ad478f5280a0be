"""Record what is sent to upstreams, here and for the other gateways."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Call, Registration, Stage, Work
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState


@dataclass(slots=True)
class PendingNews:
    """Collect what the other gateways have yet to hear."""

    started: list[Work] = field(default_factory=list)
    read: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)
    ended: list[tuple[UpstreamId, RequestId]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.started or self.read or self.ended)


class Tracker:
    """Keep the load of upstreams up to date with what this gateway sends."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._pending = PendingNews()
        # Called with how long an engine will be busy with what was just sent.
        self.on_pending: Callable[[float], None] | None = None

    def start(
        self,
        call: Call,
        target: Registration,
        read_s: float = 0.0,
        effort: float = 0.0,
    ) -> None:
        """Note that a call is sent to an upstream."""
        parts = call.prompt.parts if call.prompt else ()
        work = Work(
            request=call.request,
            upstream=target.upstream,
            priority=call.route.priority,
            read_s=read_s,
            effort=effort,
            started_s=read_now(),
            parts=parts,
        )
        self.apply(work)
        self._pending.started.append(work)
        self._announce(work.read_s)

    def finish_reading(self, call: Call, target: Registration) -> None:
        """Note that an upstream has read the prompt of a call."""
        self.apply_read(target.upstream, call.request)
        self._pending.read.append((target.upstream, call.request))
        self._announce()

    def end(self, call: Call, target: Registration) -> None:
        """Note that an upstream has nothing left to do for a call."""
        self.apply_ended(target.upstream, call.request)
        self._pending.ended.append((target.upstream, call.request))
        self._announce()

    def apply(self, work: Work) -> None:
        """Take work of this or another gateway into the load and the caches."""
        self._state.loads.of(work.upstream).add(work)
        registration = self._state.members.find(work.upstream)
        if not work.parts or registration is None:
            return
        capacity = self._state.find_cache_capacity(registration)
        if capacity:
            self._state.prefixes.add(work.upstream, work.parts, capacity)

    def apply_read(self, upstream: UpstreamId, request: RequestId) -> None:
        """Note that an upstream has read the prompt of some gateway's call."""
        now_s = read_now()
        read = self._state.loads.of(upstream).finish_reading(request, now_s)
        registration = self._state.members.find(upstream)
        if read is None or registration is None:
            return
        self._state.prefixes.confirm(upstream, read.work.parts)
        stage = registration.stage or Stage.DECODE
        sample = read.sample
        if sample is not None:
            self._state.speeds.record(upstream, stage, sample.effort, sample.took_s)

    def apply_ended(self, upstream: UpstreamId, request: RequestId) -> None:
        """Note that an upstream has nothing left to do for some gateway's call."""
        work = self._state.loads.of(upstream).remove(request, read_now())
        if work is not None:
            self._abandon([work])

    def drop_origin(self, origin: str) -> None:
        """Drop the work of a gateway that will not report its end."""
        self._abandon(self._state.loads.drop_origin(origin, read_now()))

    def drop_lost(self) -> None:
        """Drop work whose end was never heard of."""
        self._abandon(self._state.loads.drop_lost(read_now()))

    def _abandon(self, works: Iterable[Work]) -> None:
        """Take back that engines will have read prompts that nobody waits for."""
        for work in works:
            if work.reading:
                self._state.prefixes.abandon(work.upstream, work.parts)

    def take_pending(self) -> PendingNews:
        """Return and clear what the other gateways have yet to hear."""
        pending = self._pending
        self._pending = PendingNews()
        return pending

    def _announce(self, busy_s: float = 0.0) -> None:
        if self.on_pending is not None:
            self.on_pending(busy_s)
