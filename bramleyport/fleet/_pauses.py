"""Track upstreams that want no requests from this gateway for a while."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import UpstreamId

# A longer pause is cut to this time, after which one request tries again.
MAX_PAUSE_S: Final = 300.0
# Time after which another request may try if the first one got no answer.
TRIAL_S: Final = 1.0


@dataclass(slots=True)
class _Pause:
    until_s: float
    # Until when the request that tries first has to be answered; None before it.
    trial_until_s: float | None = None


class UpstreamPauses:
    """Track the pauses that upstreams asked for when they turned requests away.

    At the end of a pause one request tries first: all that waited, sent at once, would
    fill the upstream again.
    """

    def __init__(self) -> None:
        self._pauses: dict[UpstreamId, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def record(self, upstream: UpstreamId, duration_s: float, now_s: float) -> bool:
        """Record a pause; return whether it begins one or ends later than the known.

        A pause is never shortened, whatever was sent meanwhile.
        """
        until_s = now_s + min(duration_s, MAX_PAUSE_S)
        known = self._pauses.get(upstream)
        if known is not None and now_s < known.until_s:
            is_longer = until_s > known.until_s
            known.until_s = max(known.until_s, until_s)
            return is_longer
        self._pauses[upstream] = _Pause(until_s)
        return True

    def record_answer(self, upstream: UpstreamId, now_s: float) -> None:
        """Record an answer without a pause, which ends a pause whose time is up."""
        pause = self._pauses.get(upstream)
        if pause is not None and now_s >= pause.until_s:
            del self._pauses[upstream]

    def record_sent(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that a request is sent; the first after a pause is the trial.

        One that was chosen before the pause may be sent within it, and tries nothing.
        """
        pause = self._pauses.get(upstream)
        if pause is not None and now_s >= pause.until_s:
            pause.trial_until_s = now_s + TRIAL_S

    def is_paused(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether an upstream must get no request now."""
        pause = self._pauses.get(upstream)
        if pause is None:
            return False
        if now_s < pause.until_s:
            return True
        return pause.trial_until_s is not None and now_s < pause.trial_until_s

    def find_wait(self, upstream: UpstreamId, now_s: float) -> float:
        """Return the seconds until a request may be sent to an upstream."""
        pause = self._pauses.get(upstream)
        if pause is None:
            return 0.0
        return max(0.0, max(pause.until_s, pause.trial_until_s or 0.0) - now_s)

    def discard(self, upstream: UpstreamId) -> None:
        """Forget the pause of an upstream that is gone or has restarted."""
        self._pauses.pop(upstream, None)
