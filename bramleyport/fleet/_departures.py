"""Track upstream processes that have left, so that no old list brings them back."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet._leaving import LeavingUpstream
from bramleyport.fleet._types import Registration

# A store that is restored comes back from a copy that is some seconds old, so what left
# before this time is in no copy.
DEPARTURE_KEEP_S: Final = 60.0
MAX_DEPARTURES: Final = 4_096


@dataclass(frozen=True, slots=True)
class _Departure:
    started_ms: int
    # Of its last registration; None if that was not seen.
    sequence: int | None
    draining: bool
    left_s: float


class Departures:
    """Track the upstream processes that have left lately."""

    def __init__(self) -> None:
        # In the order in which they left.
        self._departures: dict[UpstreamId, _Departure] = {}

    def record(
        self, registration: Registration, now_s: float, *, is_last: bool
    ) -> None:
        """Record that a process has left, with its last or any registration."""
        self._departures.pop(registration.upstream, None)
        self._departures[registration.upstream] = _Departure(
            started_ms=registration.started_ms,
            sequence=registration.sequence if is_last else None,
            draining=registration.draining,
            left_s=now_s,
        )
        self._drop_old(now_s)

    def record_returned(self, upstream: UpstreamId) -> None:
        """Record that an upstream has registered again."""
        self._departures.pop(upstream, None)

    def precede(self, registration: Registration) -> bool:
        """Return whether a registration in a copy is from after a departure."""
        departure = self._departures.get(registration.upstream)
        if departure is None or registration.started_ms > departure.started_ms:
            return True
        if registration.started_ms < departure.started_ms:
            return False
        return departure.sequence is not None and (
            registration.sequence > departure.sequence
        )

    def list_drained(self) -> list[LeavingUpstream]:
        """Return the processes that were draining when they left."""
        return [
            LeavingUpstream(upstream, departure.started_ms)
            for upstream, departure in self._departures.items()
            if departure.draining
        ]

    def _drop_old(self, now_s: float) -> None:
        for upstream, departure in list(self._departures.items()):
            is_old = now_s - departure.left_s > DEPARTURE_KEEP_S
            if not is_old and len(self._departures) <= MAX_DEPARTURES:
                return
            del self._departures[upstream]
