"""Record the work of all gateways in load, prefix caches and speeds."""

from collections.abc import Callable, Iterable

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet._load import LoadTracker, Work
from bramleyport.fleet._members import Membership
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._prefixes import PrefixIndex
from bramleyport.fleet._types import Registration, Stage
from bramleyport.fleet._unseen_load import UnseenLoad


class WorkRecorder:
    """Record what this gateway and its peers have sent to upstreams."""

    def __init__(
        self,
        members: Membership,
        loads: LoadTracker,
        prefixes: PrefixIndex,
        speeds: PrefillSpeeds,
        find_capacity: Callable[[Registration], int],
        unseen: UnseenLoad | None = None,
    ) -> None:
        self._members = members
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        # Returns how many tokens an upstream can cache; 0 if it caches none.
        self._find_capacity = find_capacity
        self._unseen = unseen

    def start(self, work: Work) -> None:
        """Record work that is sent."""
        self._loads.of(work.upstream).add(work)
        registration = self._members.find(work.upstream)
        if registration is None:
            return
        if self._unseen is not None:
            self._unseen.record_work(work, registration)
        if not work.parts:
            return
        capacity = self._find_capacity(registration)
        if capacity:
            self._prefixes.add(work.upstream, work.parts, capacity)

    def finish_prefill(
        self, upstream: UpstreamId, request: RequestId, now_s: float
    ) -> None:
        """Record that an upstream has prefilled the prompt of a call."""
        prefilled = self._loads.of(upstream).finish_prefill(request, now_s)
        registration = self._members.find(upstream)
        if prefilled is None or registration is None:
            return
        self._prefixes.confirm(upstream, prefilled.work.parts)
        stage = registration.stage or Stage.DECODE
        sample = prefilled.sample
        if sample is not None:
            self._speeds.record(upstream, stage, sample.prefill_cost, sample.elapsed_s)

    def end(self, upstream: UpstreamId, request: RequestId, now_s: float) -> None:
        """Record that an upstream has finished its work for a call."""
        work = self._loads.of(upstream).remove(request, now_s)
        if work is not None:
            self._abandon([work])

    def drop_origin(self, origin: str, now_s: float) -> None:
        """Drop the work of a gateway that will not report its end."""
        self._abandon(self._loads.drop_origin(origin, now_s))

    def drop_expired(self, now_s: float) -> None:
        """Drop work whose end has not been reported in time."""
        self._abandon(self._loads.drop_expired(now_s))

    def _abandon(self, works: Iterable[Work]) -> None:
        """Remove prefixes whose calls ended before their prefill."""
        for work in works:
            if work.prefilling:
                self._prefixes.abandon(work.upstream, work.parts)
