"""Know which upstreams refuse connections, from this and the other gateways."""

from collections.abc import Collection
from typing import Final

from bramleyport.core import UpstreamId

# A host that refuses a connection has no process at that port; one that starts again
# registers anew.
UNREACHABLE_S: Final = 1.0
# Part of the upstreams that may be left out at once: beyond it, the fault is more
# likely with whoever can't reach them.
MAX_PART: Final = 0.5


class Reachability:
    """Leave out upstreams that refused a connection a moment ago.

    Without it, each gateway loses calls at each upstream that has crashed.
    """

    def __init__(self) -> None:
        self._until_s: dict[UpstreamId, float] = {}

    def record_refused(self, upstream: UpstreamId, now_s: float) -> None:
        """Note that an upstream refused a connection."""
        self._until_s[upstream] = now_s + UNREACHABLE_S

    def record_answer(self, upstream: UpstreamId) -> None:
        """Note that an upstream answers."""
        self._until_s.pop(upstream, None)

    def find_unreachable(
        self, upstreams: Collection[UpstreamId], now_s: float
    ) -> set[UpstreamId]:
        """Return which of a service's upstreams get no work at present."""
        found = [name for name in upstreams if self._until_s.get(name, 0.0) > now_s]
        found.sort(key=lambda name: self._until_s[name], reverse=True)
        return set(found[: int(MAX_PART * len(upstreams))])
