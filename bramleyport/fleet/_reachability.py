"""Track upstreams that refuse connections to this gateway or its peers."""

from collections.abc import Collection
from typing import Final

from bramleyport.core import UpstreamId

# A refused connection means that no process listens at the port. A process that
# restarts registers again.
UNREACHABLE_S: Final = 1.0
# Fraction of the upstreams that may be left out at once. If more refuse connections,
# the fault is more likely on the side of the gateways.
MAX_UNREACHABLE_FRACTION: Final = 0.5


class Reachability:
    """Track upstreams that refused a connection within UNREACHABLE_S.

    Without it, each gateway would lose calls at each upstream that has crashed.
    """

    def __init__(self) -> None:
        self._until_s: dict[UpstreamId, float] = {}

    def record_refused(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an upstream refused a connection."""
        self._until_s[upstream] = now_s + UNREACHABLE_S

    def record_answer(self, upstream: UpstreamId) -> None:
        """Record that an upstream answers."""
        self._until_s.pop(upstream, None)

    def find_unreachable(
        self, upstreams: Collection[UpstreamId], now_s: float
    ) -> set[UpstreamId]:
        """Return the upstreams, out of those of one service, that get no work."""
        found = [name for name in upstreams if self._until_s.get(name, 0.0) > now_s]
        found.sort(key=lambda name: self._until_s[name], reverse=True)
        return set(found[: int(MAX_UNREACHABLE_FRACTION * len(upstreams))])
