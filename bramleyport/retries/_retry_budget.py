"""Token bucket that limits retries and hedges to a ratio of first attempts."""

from typing import Final

RETRY_RATIO: Final = 0.1
# The floor allows retries at entries with little traffic: at one request per second, a
# ratio of 0.1 alone allows one retry in ten seconds.
FLOOR_PER_S: Final = 0.2
BURST: Final = 10.0


class RetryBudget:
    """Limit extra attempts to burst + ratio x first attempts + floor x time."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor_per_s: float = FLOOR_PER_S,
        burst: float = BURST,
    ) -> None:
        self.ratio = ratio
        self.floor_per_s = floor_per_s
        self.burst = burst
        self.tokens = burst
        self._last_refill_s: float | None = None

    def record_request(self, now_s: float) -> None:
        """Add the tokens for one first attempt."""
        self._refill(now_s)
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self, now_s: float, reserved: float = 0.0) -> bool:
        """Take the token for an extra attempt unless only reserved tokens are left."""
        self._refill(now_s)
        if self.tokens < 1.0 + reserved:
            return False
        self.tokens -= 1.0
        return True

    def forecast_token(self) -> float:
        """Return the seconds until the floor alone adds a token."""
        return max(0.0, 1.0 - self.tokens) / self.floor_per_s

    def _refill(self, now_s: float) -> None:
        if self._last_refill_s is not None and now_s > self._last_refill_s:
            added = (now_s - self._last_refill_s) * self.floor_per_s
            self.tokens = min(self.burst, self.tokens + added)
        if self._last_refill_s is None or now_s > self._last_refill_s:
            self._last_refill_s = now_s
