"""Ejection of outlier upstreams, with probation and recovery."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import UpstreamId

CONSECUTIVE_FAILURES: Final = 5
FAILURE_RATE_MARGIN: Final = 0.3
MIN_SAMPLES: Final = 10.0
# The weight of one attempt in the failure rate: about the last 20 attempts count.
RATE_WEIGHT: Final = 0.1
EJECT_S: Final = 5.0
EJECT_MAX_S: Final = 60.0
PROBATION_SUCCESSES: Final = 3
PROBATION_IN_FLIGHT: Final = 1
# Half, because a region may have only two zones and one of them may fail as a whole.
MAX_EJECTED_FRACTION: Final = 0.5
MIN_KEPT: Final = 2


class Standing(str, Enum):
    """Name the states of an upstream in outlier ejection."""

    NORMAL = "normal"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class Health:
    """Hold the recent results of one upstream."""

    standing: Standing = Standing.NORMAL
    failure_rate: float = 0.0
    samples: float = 0.0
    consecutive: int = 0
    ejections: int = 0
    until_s: float = 0.0
    successes: int = 0


class OutlierEjector:
    """Judge upstreams by their results against those of the others."""

    def __init__(
        self,
        max_fraction: float = MAX_EJECTED_FRACTION,
        min_kept: int = MIN_KEPT,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        eject_s: float = EJECT_S,
    ) -> None:
        self._max_fraction = max_fraction
        self._min_kept = min_kept
        self._consecutive_failures = consecutive_failures
        self._eject_s = eject_s
        self._health: dict[UpstreamId, Health] = {}

    def read(self, upstream: UpstreamId, now_s: float) -> Standing:
        """Return the standing of an upstream."""
        health = self._health.get(upstream)
        if health is None:
            return Standing.NORMAL
        if health.standing is Standing.EJECTED and now_s >= health.until_s:
            health.standing = Standing.PROBATION
            health.successes = 0
        return health.standing

    def record(self, upstream: UpstreamId, *, failed: bool, now_s: float) -> bool:
        """Take the result of one attempt and return whether it ejects."""
        standing = self.read(upstream, now_s)
        health = self._health.setdefault(upstream, Health())
        health.samples += 1
        health.failure_rate += RATE_WEIGHT * (failed - health.failure_rate)
        health.consecutive = health.consecutive + 1 if failed else 0
        if standing is Standing.EJECTED:
            return False
        if standing is Standing.PROBATION:
            return self._record_probation(health, failed=failed, now_s=now_s)
        if failed and self._is_outlier(upstream, health):
            self._eject(health, now_s)
            return True
        return False

    def find_ejected(
        self, upstreams: Sequence[UpstreamId], now_s: float
    ) -> set[UpstreamId]:
        """Return which of the upstreams get no work, within the allowed fraction."""
        ejected = [
            upstream
            for upstream in upstreams
            if upstream in self._health
            and self.read(upstream, now_s) is Standing.EJECTED
        ]
        allowed = min(
            int(self._max_fraction * len(upstreams)), len(upstreams) - self._min_kept
        )
        if len(ejected) > max(0, allowed):
            ejected.sort(key=self._rank_severity)
        return set(ejected[: max(0, allowed)])

    def forget(self, kept: Mapping[UpstreamId, object] | set[UpstreamId]) -> None:
        """Drop the results of upstreams that no longer exist."""
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
        # A fault that all upstreams share, such as a bad record, ejects none.
        typical = sorted(others)[len(others) // 2] if others else 0.0
        if health.failure_rate <= typical + FAILURE_RATE_MARGIN:
            return False
        return (
            health.consecutive >= self._consecutive_failures
            or health.samples >= MIN_SAMPLES
        )

    def _record_probation(self, health: Health, *, failed: bool, now_s: float) -> bool:
        if failed:
            self._eject(health, now_s)
            return True
        health.successes += 1
        if health.successes >= PROBATION_SUCCESSES:
            health.standing = Standing.NORMAL
            health.ejections = max(0, health.ejections - 1)
            health.failure_rate = 0.0
            health.samples = 0.0
        return False

    def _eject(self, health: Health, now_s: float) -> None:
        health.standing = Standing.EJECTED
        health.until_s = now_s + min(EJECT_MAX_S, self._eject_s * 2**health.ejections)
        health.ejections = min(10, health.ejections + 1)
        health.consecutive = 0
