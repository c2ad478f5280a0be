"""Divide the rate limits of upstreams among gateways that each count alone."""

import math
from dataclasses import dataclass
from typing import Final

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet._rate_limits import compute_enforced_rate
from bramleyport.fleet._roster import GatewayRoster
from bramleyport.membership import choose

# Permits of this time are kept while no call needs them, one permit at least.
MAX_SAVED_S: Final = 1.0
# Part of a permit that is kept beyond that. Without it, a share that yields a permit a
# second loses all the time from there to the next call.
EXTRA_SAVED: Final = 0.5
# Permits that a gateway may be short of after requests that can't wait.
MAX_DEBT: Final = 4.0
# Gateways that hold a share, beyond one for each request a second. The fewer there are,
# the more gateways are left without a share of any upstream of a service.
EXTRA_HOLDERS: Final = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class RateShare:
    """Describe the part of an upstream's rate limit that this gateway may use."""

    # Requests a second; 0 if only other gateways send to the upstream.
    rate: float
    # Number of gateways that send to the upstream, and of all gateways.
    holders: int
    gateways: int

    @property
    def capacity(self) -> float:
        """Return the largest number of permits that are kept."""
        if not self.rate:
            return 0.0
        return max(1.0, self.rate * MAX_SAVED_S) + EXTRA_SAVED


class RateShares:
    """Decide how many requests this gateway sends to upstreams with rate limits.

    Each gateway has a fixed share and enforces it alone, so that lost updates between
    gateways can't make them exceed a limit. A gateway can't send less than one request
    at a time: if each of many gateways did so at once, they would exceed a low limit.
    So about as many gateways hold a share as the limit has requests a second. In t
    seconds, all of them together get at most rate * t + 1.5 * (rate + 2) permits.
    """

    def __init__(self, own: ProcessId, roster: GatewayRoster) -> None:
        self._own = own
        self._roster = roster
        self._buckets: dict[UpstreamId, _Bucket] = {}

    def find_share(self, upstream: UpstreamId, rate: float, now_s: float) -> RateShare:
        """Return this gateway's share of a limit."""
        return self._refill(upstream, rate, now_s).share

    def count_permits(self, upstream: UpstreamId, rate: float, now_s: float) -> float:
        """Return how many requests may be sent now; negative if too many were."""
        return self._refill(upstream, rate, now_s).permits

    def take(self, upstream: UpstreamId, rate: float, now_s: float) -> None:
        """Record that a request is sent."""
        bucket = self._refill(upstream, rate, now_s)
        bucket.permits = max(-MAX_DEBT, bucket.permits - 1.0)

    def give_back(self, upstream: UpstreamId, rate: float, now_s: float) -> None:
        """Record that a request for which a permit was taken is not sent."""
        bucket = self._refill(upstream, rate, now_s)
        bucket.permits = min(bucket.share.capacity, bucket.permits + 1.0)

    def forecast_wait(self, upstream: UpstreamId, rate: float, now_s: float) -> float:
        """Return the seconds until a request may be sent; infinite without a share."""
        bucket = self._refill(upstream, rate, now_s)
        if not bucket.share.rate:
            return math.inf
        return max(0.0, (1.0 - bucket.permits) / bucket.share.rate)

    def discard(self, upstream: UpstreamId) -> None:
        """Drop the permits for an upstream whose limit has ended."""
        self._buckets.pop(upstream, None)

    def _refill(self, upstream: UpstreamId, rate: float, now_s: float) -> "_Bucket":
        bucket = self._buckets.get(upstream)
        gateways = self._roster.gateways
        if bucket is None:
            # Starts empty: requests from before the limit was known are not counted.
            share = self._compute_share(upstream, rate, gateways)
            bucket = _Bucket(share, rate, gateways, now_s)
            self._buckets[upstream] = bucket
            return bucket
        bucket.refill(now_s)
        if bucket.rate != rate or bucket.gateways is not gateways:
            share = self._compute_share(upstream, rate, gateways)
            bucket.change(share, rate, gateways)
        return bucket

    def _compute_share(
        self, upstream: UpstreamId, rate: float, gateways: frozenset[ProcessId]
    ) -> RateShare:
        enforced_rate = compute_enforced_rate(rate)
        count = min(len(gateways), math.ceil(enforced_rate) + EXTRA_HOLDERS)
        holds = count == len(gateways) or self._own in choose(upstream, gateways, count)
        return RateShare(
            rate=enforced_rate / count if holds else 0.0,
            holders=count,
            gateways=len(gateways),
        )


@dataclass(slots=True)
class _Bucket:
    """Represent the permits for one upstream, refilled at the rate of the share."""

    share: RateShare
    rate: float
    gateways: frozenset[ProcessId]
    refilled_s: float
    permits: float = 0.0

    def refill(self, now_s: float) -> None:
        """Add the permits of the time since the last refill."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        added = elapsed_s * self.share.rate
        self.permits = min(self.share.capacity, self.permits + added)

    def change(
        self, share: RateShare, rate: float, gateways: frozenset[ProcessId]
    ) -> None:
        """Replace the share and keep the permits that fit it."""
        self.share = share
        self.rate = rate
        self.gateways = gateways
        self.permits = min(self.permits, share.capacity)
