"""Keep load, caches and speeds in step with the work that gateways report."""

from collections.abc import Callable, Iterable

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet._load import LoadTracker, Work
from bramleyport.fleet._members import Membership
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._prefixes import PrefixIndex
from bramleyport.fleet._types import Registration, Stage


class WorkRecorder:
    """Take what this and the other gateways have sent to upstreams."""

    def __init__(
        self,
        members: Membership,
        loads: LoadTracker,
        prefixes: PrefixIndex,
        speeds: PrefillSpeeds,
        find_capacity: Callable[[Registration], int],
    ) -> None:
        self._members = members
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        # Returns how many tokens an upstream can cache; 0 where it caches none.
        self._find_capacity = find_capacity

    def start(self, work: Work) -> None:
        """Take work that is sent into the load and the caches."""
        self._loads.of(work.upstream).add(work)
        registration = self._members.find(work.upstream)
        if not work.parts or registration is None:
            return
        capacity = self._find_capacity(registration)
        if capacity:
            self._prefixes.add(work.upstream, work.parts, capacity)

    def finish_prefill(
        self, upstream: UpstreamId, request: RequestId, now_s: float
    ) -> None:
        """Note that an upstream has read the prompt of a call."""
        read = self._loads.of(upstream).finish_prefill(request, now_s)
        registration = self._members.find(upstream)
        if read is None or registration is None:
            return
        self._prefixes.confirm(upstream, read.work.parts)
        stage = registration.stage or Stage.DECODE
        sample = read.sample
        if sample is not None:
            self._speeds.record(upstream, stage, sample.prefill_cost, sample.elapsed_s)

    def end(self, upstream: UpstreamId, request: RequestId, now_s: float) -> None:
        """Note that an upstream has nothing left to do for a call."""
        work = self._loads.of(upstream).remove(request, now_s)
        if work is not None:
            self._abandon([work])

    def drop_origin(self, origin: str, now_s: float) -> None:
        """Drop the work of a gateway that will not report its end."""
        self._abandon(self._loads.drop_origin(origin, now_s))

    def drop_expired(self, now_s: float) -> None:
        """Drop work whose end was never heard of."""
        self._abandon(self._loads.drop_expired(now_s))

    def _abandon(self, works: Iterable[Work]) -> None:
        """Take back that engines will have read prompts that nobody waits for."""
        for work in works:
            if work.reading:
                self._prefixes.abandon(work.upstream, work.parts)
