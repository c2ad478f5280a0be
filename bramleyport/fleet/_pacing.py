"""Bound how much gateways tell each other, however many there are."""

from typing import Final

# Pending news are sent together after this time.
FLUSH_S: Final = 0.03
# Datagrams that a gateway sends to all its peers together, as a mean; with more peers
# each of them hears less often.
DATAGRAMS_PER_S: Final = 300
# News that can't wait may take this many times as much for a while.
URGENT_FACTOR: Final = 2.0
# A prompt that keeps an engine busy for longer is announced at once: until they hear
# of it, the other gateways send theirs to the same idle engine.
LONG_READ_S: Final = 0.06


class UpdatePacing:
    """Decide when pending news are sent to the peers."""

    def __init__(self) -> None:
        self._credit = URGENT_FACTOR * DATAGRAMS_PER_S
        self._counted_s = 0.0

    def choose_delay(self, peers: int) -> float:
        """Return the seconds for which news are collected."""
        return max(FLUSH_S, peers / DATAGRAMS_PER_S)

    def allow_now(self, peers: int, busy_s: float, now_s: float) -> bool:
        """Return whether news of work that takes an engine some time go out at once."""
        rate = URGENT_FACTOR * DATAGRAMS_PER_S
        earned = rate * max(0.0, now_s - self._counted_s)
        self._credit = min(rate, self._credit + earned)
        self._counted_s = now_s
        if busy_s <= LONG_READ_S or self._credit < peers:
            return False
        self._credit -= peers
        return True
