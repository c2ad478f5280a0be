"""Record which requests were broken in each crash, to tell causes from bystanders."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Final

from bramleyport.fleet._crash_reports import CrashId
from bramleyport.fleet._traits import TraitId, is_request

# Bounds of the memory for any number of crashes and of requests in one.
MAX_RECORDED_CRASHES: Final = 512
MAX_REQUESTS: Final = 64


class CrashRecord:
    """Track the whole requests that were at upstreams when these crashed."""

    def __init__(self) -> None:
        # Requests without an event yet; the crash that was reported first comes first.
        self._requests: OrderedDict[CrashId, set[TraitId]] = OrderedDict()
        # Those whose answers had events.
        self._running: dict[CrashId, set[TraitId]] = {}
        # Crashes in which a request ran that is known to crash upstreams.
        self._explained: set[CrashId] = set()
        # Crashes in which a call ran with a part that is known to crash upstreams.
        self._cleared: set[CrashId] = set()

    def record(
        self, crash: CrashId, traits: Iterable[TraitId], *, has_events: bool = False
    ) -> None:
        """Record the request among the traits of a call that a crash broke."""
        requests = self._requests.setdefault(crash, set())
        if has_events:
            requests = self._running.setdefault(crash, set())
        for trait in traits:
            if is_request(trait) and len(requests) < MAX_REQUESTS:
                requests.add(trait)
        while len(self._requests) > MAX_RECORDED_CRASHES:
            oldest, _ = self._requests.popitem(last=False)
            self._running.pop(oldest, None)
            self._explained.discard(oldest)
            self._cleared.discard(oldest)

    def record_explained(self, crash: CrashId) -> None:
        """Record that a request that is known to crash upstreams ran in a crash."""
        if crash in self._requests:
            self._explained.add(crash)

    def is_explained(self, crash: CrashId) -> bool:
        """Return whether a request explains a crash."""
        return crash in self._explained

    def record_cleared(self, crash: CrashId) -> None:
        """Record that a part explains a crash, which accuses no other call."""
        if crash in self._requests:
            self._cleared.add(crash)

    def is_cleared(self, crash: CrashId) -> bool:
        """Return whether a part explains a crash."""
        return crash in self._cleared

    def find_requests(self, crash: CrashId) -> set[TraitId]:
        """Return the requests that a crash broke, as far as they were reported."""
        return self._requests.get(crash, set()) | self._running.get(crash, set())

    def is_alone(self, trait: TraitId, crash: CrashId) -> bool:
        """Return whether a request is the only one without an event in a crash."""
        return self._requests.get(crash) == {trait}

    def is_covered(self, crashes: Collection[CrashId], most: int) -> bool:
        """Return whether so few requests that each crash broke one of them exist."""
        if not crashes:
            return True
        if most == 0:
            return False
        first = min(crashes, key=lambda crash: len(self.find_requests(crash)))
        return any(
            self.is_covered(
                [item for item in crashes if request not in self.find_requests(item)],
                most - 1,
            )
            for request in self.find_requests(first)
        )
