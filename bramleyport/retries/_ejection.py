"""Ejection of outlier upstreams, with probation and recovery."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import UpstreamId

CONSECUTIVE_FAILURES: Final = 5
FAILURE_RATE_MARGIN: Final = 0.3
MIN_SAMPLES: Final = 10.0
# Weight of one attempt in the failure rate, which covers about the last 20 attempts.
RATE_WEIGHT: Final = 0.1
EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0
PROBATION_SUCCESSES: Final = 3
MAX_PROBATION_IN_FLIGHT: Final = 1
# A region may have only two zones, one of which may fail as a whole.
MAX_EJECTED_FRACTION: Final = 0.5
MIN_KEPT: Final = 2


class EjectionState(str, Enum):
    """Represent the states of an upstream in outlier ejection."""

    NORMAL = "normal"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class Health:
    """Describe the recent results of one upstream."""

    state: EjectionState = EjectionState.NORMAL
    failure_rate: float = 0.0
    samples: float = 0.0
    failure_streak: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    successes: int = 0


class OutlierEjector:
    """Decide which upstreams fail so much more than others that they get no work."""

    def __init__(
        self,
        max_fraction: float = MAX_EJECTED_FRACTION,
        min_kept: int = MIN_KEPT,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        ejection_s: float = EJECTION_S,
    ) -> None:
        self._max_fraction = max_fraction
        self._min_kept = min_kept
        self._consecutive_failures = consecutive_failures
        self._ejection_s = ejection_s
        self._health: dict[UpstreamId, Health] = {}

    def get_state(self, upstream: UpstreamId, now_s: float) -> EjectionState:
        """Return the state of an upstream."""
        health = self._health.get(upstream)
        if health is None:
            return EjectionState.NORMAL
        if health.state is EjectionState.EJECTED and now_s >= health.ejected_until_s:
            health.state = EjectionState.PROBATION
            health.successes = 0
        return health.state

    def record(self, upstream: UpstreamId, *, failed: bool, now_s: float) -> bool:
        """Record the result of an attempt; return whether it ejects the upstream."""
        state = self.get_state(upstream, now_s)
        health = self._health.setdefault(upstream, Health())
        health.samples += 1
        health.failure_rate += RATE_WEIGHT * (failed - health.failure_rate)
        health.failure_streak = health.failure_streak + 1 if failed else 0
        if state is EjectionState.EJECTED:
            return False
        if state is EjectionState.PROBATION:
            return self._record_probation(health, failed=failed, now_s=now_s)
        if failed and self._is_outlier(upstream, health):
            self._eject(health, now_s)
            return True
        return False

    def find_ejected(
        self, upstreams: Sequence[UpstreamId], now_s: float
    ) -> set[UpstreamId]:
        """Return the ejected upstreams, up to the allowed fraction."""
        ejected = [
            upstream
            for upstream in upstreams
            if upstream in self._health
            and self.get_state(upstream, now_s) is EjectionState.EJECTED
        ]
        allowed = min(
            int(self._max_fraction * len(upstreams)), len(upstreams) - self._min_kept
        )
        if len(ejected) > max(0, allowed):
            ejected.sort(key=self._rank_severity)
        return set(ejected[: max(0, allowed)])

    def retain(self, kept: Mapping[UpstreamId, object] | set[UpstreamId]) -> None:
        """Drop the results of all other upstreams."""
        for upstream in set(self._health) - set(kept):
            del self._health[upstream]

    def _rank_severity(self, upstream: UpstreamId) -> tuple[float, str]:
        return (-self._health[upstream].failure_rate, upstream)

    def _is_outlier(self, upstream: UpstreamId, health: Health) -> bool:
        others = [
            other.failure_rate
            for name, other in self._health.items()
            if name != upstream and other.samples >= 1
        ]
        # A fault that all upstreams share, such as a bad record, ejects none of them.
        median_rate = sorted(others)[len(others) // 2] if others else 0.0
        if health.failure_rate <= median_rate + FAILURE_RATE_MARGIN:
            return False
        return (
            health.failure_streak >= self._consecutive_failures
            or health.samples >= MIN_SAMPLES
        )

    def _record_probation(self, health: Health, *, failed: bool, now_s: float) -> bool:
        if failed:
            self._eject(health, now_s)
            return True
        health.successes += 1
        if health.successes >= PROBATION_SUCCESSES:
            health.state = EjectionState.NORMAL
            health.ejections = max(0, health.ejections - 1)
            health.failure_rate = 0.0
            health.samples = 0.0
        return False

    def _eject(self, health: Health, now_s: float) -> None:
        health.state = EjectionState.EJECTED
        health.ejected_until_s = now_s + min(
            MAX_EJECTION_S, self._ejection_s * 2**health.ejections
        )
        health.ejections = min(10, health.ejections + 1)
        health.failure_streak = 0
