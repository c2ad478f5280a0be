"""Estimate the work that other gateways have sent and not reported yet.

A gateway learns what its peers send after the delay of their updates. By Little's law,
the work that is unseen at any time is the rate of such work times its delay. Peers send
updates by the same rules as this gateway, so the delay of its own updates is measured.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import ProcessId, ServiceName, ZoneName
from bramleyport.fleet._load import Work
from bramleyport.fleet._pacing import FLUSH_INTERVAL_S, LONG_PREFILL_S
from bramleyport.fleet._types import Registration, Stage

# Time constant of the rates: long enough for some calls of each peer, short enough to
# follow a mix of calls that changes within seconds.
RATE_WINDOW_S: Final = 1.0
# Time of an update on the network and in the event loops of both gateways.
TRANSIT_S: Final = 0.005
# Weight of the newest sample in the moving mean of the delays of updates.
DELAY_WEIGHT: Final = 0.05
# Longest delay that counts: a gateway that stalled for longer is an exception.
MAX_DELAY_S: Final = 1.0
# Peers that send less than this fraction of what the busiest one sends only overflow to
# these upstreams, as those of other zones do.
ACTIVE_FRACTION: Final = 0.25
# Calls of this time show which peers are active.
ACTIVE_WINDOW_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class LoadGroup:
    """Describe upstreams that the same calls are sent to."""

    service: ServiceName
    zone: ZoneName
    stage: Stage | None


@dataclass(frozen=True, slots=True)
class UnseenWork:
    """Describe the mean work that peers have sent to a group without being known."""

    calls: float = 0.0
    prefill_s: float = 0.0
    transfer_s: float = 0.0
    # Mean delay until prefill is known, by its duration.
    delay_s: float = 0.0

    @property
    def mean_prefill_s(self) -> float:
        """Return the mean prefill time of an unseen call."""
        return self.prefill_s / self.calls

    def limit_prefill(self, wait_s: float) -> float:
        """Return how much prefill is not finished yet at upstreams with this wait.

        An upstream that was idle since has finished what it was sent earlier.
        """
        if not self.delay_s:
            return 0.0
        unfinished_s = wait_s + self.mean_prefill_s
        return self.prefill_s * min(1.0, unfinished_s / self.delay_s)


class UnseenLoad:
    """Estimate the unseen work at each group of upstreams."""

    def __init__(self, own: ProcessId) -> None:
        self._own = own
        self._groups: dict[LoadGroup, _GroupRates] = {}
        # Mean delays of updates: of those sent at once, and of others.
        self._long_delay_s = 0.0
        self._delay_s = FLUSH_INTERVAL_S / 2

    def record_delay(self, prefill_s: float, delay_s: float) -> None:
        """Record how long work was sent before the peers are told of it."""
        delay_s = min(MAX_DELAY_S, max(0.0, delay_s))
        if prefill_s > LONG_PREFILL_S:
            self._long_delay_s += DELAY_WEIGHT * (delay_s - self._long_delay_s)
        else:
            self._delay_s += DELAY_WEIGHT * (delay_s - self._delay_s)

    def record_work(self, work: Work, upstream: Registration) -> None:
        """Record work that this gateway sends, or that a peer has told."""
        group = find_group(upstream)
        rates = self._groups.get(group)
        if rates is None:
            rates = self._groups[group] = _GroupRates(work.started_s)
        rates.decay(work.started_s)
        rates.count_origin(work.origin or self._own, work.started_s)
        if work.origin:
            rates.add(work, TRANSIT_S + self._find_delay(work.prefill_s))

    def estimate(self, group: LoadGroup, now_s: float) -> UnseenWork:
        """Return the unseen work at a group of upstreams."""
        rates = self._groups.get(group)
        if rates is None:
            return UnseenWork()
        rates.decay(now_s)
        return UnseenWork(
            rates.calls, rates.prefill_s, rates.transfer_s, rates.find_delay()
        )

    def count_senders(self, service: ServiceName) -> int:
        """Return how many gateways sent calls of a service lately, with this one."""
        senders: set[str] = {self._own}
        for group, rates in self._groups.items():
            if group.service == service:
                senders.update(rates.earlier_origins, rates.origins)
        return len(senders)

    def list_active(self, group: LoadGroup) -> list[str]:
        """Return the gateways that share a group of upstreams, with this one."""
        rates = self._groups.get(group)
        calls = rates.earlier_origins + rates.origins if rates else Counter()
        least = ACTIVE_FRACTION * max(calls.values(), default=0)
        active = {origin for origin, count in calls.items() if count >= least}
        return sorted(active | {self._own})

    def _find_delay(self, prefill_s: float) -> float:
        return self._long_delay_s if prefill_s > LONG_PREFILL_S else self._delay_s


def find_group(upstream: Registration) -> LoadGroup:
    """Return the group of an upstream."""
    return LoadGroup(upstream.service, upstream.zone, upstream.stage)


@dataclass(slots=True)
class _GroupRates:
    """Sum up recent work and its delays, with weights that decay over time."""

    updated_s: float
    calls: float = 0.0
    prefill_s: float = 0.0
    transfer_s: float = 0.0
    # Prefill time a second.
    prefill_rate: float = 0.0
    # Calls of each gateway in this window and in the one before.
    window_started_s: float = 0.0
    origins: Counter[str] = field(default_factory=Counter)
    earlier_origins: Counter[str] = field(default_factory=Counter)

    def add(self, work: Work, delay_s: float) -> None:
        """Add work that was unseen for a while."""
        weight = delay_s / RATE_WINDOW_S
        self.calls += weight
        self.prefill_s += weight * work.prefill_s
        self.prefill_rate += work.prefill_s / RATE_WINDOW_S
        self.transfer_s += weight * work.transfer_s

    def count_origin(self, origin: str, now_s: float) -> None:
        """Count a call of a gateway."""
        if now_s - self.window_started_s >= ACTIVE_WINDOW_S:
            self.earlier_origins, self.origins = self.origins, Counter()
            self.window_started_s = now_s
        self.origins[origin] += 1

    def decay(self, now_s: float) -> None:
        """Reduce the weights by the time since the last call."""
        factor = math.exp(-max(0.0, now_s - self.updated_s) / RATE_WINDOW_S)
        self.updated_s = max(self.updated_s, now_s)
        self.calls *= factor
        self.prefill_s *= factor
        self.transfer_s *= factor
        self.prefill_rate *= factor

    def find_delay(self) -> float:
        """Return the mean delay of prefill."""
        return self.prefill_s / self.prefill_rate if self.prefill_rate else 0.0
