"""Limit the rate of updates between gateways, independent of their number."""

from typing import Final

# Pending updates are sent together after this time.
FLUSH_INTERVAL_S: Final = 0.03
# Mean rate of datagrams from a gateway to all its peers together. The more peers there
# are, the fewer datagrams each one receives.
DATAGRAMS_PER_S: Final = 300
# Factor by which urgent updates may exceed this rate for a short time.
URGENT_FACTOR: Final = 2.0
# A prompt that keeps an engine busy for longer is announced at once: until then, the
# other gateways still consider the engine idle and send their prompts to it too.
LONG_PREFILL_S: Final = 0.06


def compute_update_delay(peers: int) -> float:
    """Return the seconds after which peers are told of what is not urgent."""
    return max(FLUSH_INTERVAL_S, peers / DATAGRAMS_PER_S)


class UpdatePacing:
    """Decide when pending updates are sent to the peers."""

    def __init__(self) -> None:
        # Datagrams that urgent updates may send now; refilled over time.
        self._credit = URGENT_FACTOR * DATAGRAMS_PER_S
        self._last_refill_s = 0.0

    def choose_delay(self, peers: int) -> float:
        """Return the seconds for which updates are collected."""
        return compute_update_delay(peers)

    def allow_now(self, peers: int, busy_s: float, now_s: float) -> bool:
        """Return whether an update is sent at once, by the duration of its work."""
        rate = URGENT_FACTOR * DATAGRAMS_PER_S
        refill = rate * max(0.0, now_s - self._last_refill_s)
        self._credit = min(rate, self._credit + refill)
        self._last_refill_s = now_s
        if busy_s <= LONG_PREFILL_S or self._credit < peers:
            return False
        self._credit -= peers
        return True
