"""Token bucket that bounds retries and hedges by a ratio of first attempts."""

from typing import Final

RETRY_RATIO: Final = 0.1
# The floor lets an entry with little traffic retry at all: at one request per second a
# ratio of 0.1 alone allows one retry in ten seconds.
FLOOR_PER_S: Final = 0.2
BURST: Final = 10.0


class RetryBudget:
    """Allow at most burst + ratio x first attempts + floor x time extra attempts."""

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
        self._refilled_s: float | None = None

    def record_request(self, now_s: float) -> None:
        """Add the share of one first attempt."""
        self._refill(now_s)
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self, now_s: float, reserved: float = 0.0) -> bool:
        """Spend one extra attempt if the budget above the reserve allows it."""
        self._refill(now_s)
        if self.tokens < 1.0 + reserved:
            return False
        self.tokens -= 1.0
        return True

    def forecast_token(self) -> float:
        """Return the seconds until the floor alone allows an extra attempt."""
        return max(0.0, 1.0 - self.tokens) / self.floor_per_s

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None and now_s > self._refilled_s:
            gained = (now_s - self._refilled_s) * self.floor_per_s
            self.tokens = min(self.burst, self.tokens + gained)
        if self._refilled_s is None or now_s > self._refilled_s:
            self._refilled_s = now_s
