"""Track the rate limits that upstreams name in their answers."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from bramleyport.core import UpstreamId

# A lower limit, including 0, counts as this rate: only an answer shows that a limit has
# ended, so an upstream still gets a request now and then.
MIN_RATE: Final = 0.05
# Time for which a gateway remembers that a limit has ended, to tell the others.
ENDED_KEEP_S: Final = 30.0
# Time for which the limit of an upstream without a registration is remembered.
LEFT_KEEP_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitNotice:
    """Describe what one answer of an upstream says of its rate limit."""

    upstream: UpstreamId
    # Start of the upstream's process in Unix milliseconds.
    started_ms: int
    # Requests a second from all gateways together; None if the answer names no limit.
    rate: float | None
    # When the request was sent and when its answer arrived.
    sent_s: float
    received_s: float
    # The gateway that received the answer; empty for this one.
    origin: str = ""


class RateLimitChange(Enum):
    """Represent how a notice changes what is known of a limit."""

    NONE = "none"
    # The limit, or its end, is as known, and now known to hold at a later time.
    CONFIRMED = "confirmed"
    # The limit is new or has another rate.
    NAMED = "named"
    ENDED = "ended"


class RateLimitTable:
    """Track the latest limit of each upstream.

    Answers overtake each other, and so do the updates of other gateways. A lower rate
    counts at once. A higher rate, or none, counts only if its request was sent after
    the known limit was received: that answer was written after the limit was named.
    """

    def __init__(self) -> None:
        self._notices: dict[UpstreamId, RateLimitNotice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def record(self, notice: RateLimitNotice) -> RateLimitChange:
        """Record what an answer says and return what it changes."""
        known = self._notices.get(notice.upstream)
        if known is None or notice.started_ms > known.started_ms:
            return self._replace(known, notice)
        if notice.started_ms < known.started_ms:
            return RateLimitChange.NONE
        if known.rate is None:
            return self._record_after_end(known, notice)
        if notice.rate is not None and notice.rate <= known.rate:
            return self._record_bound(known, notice)
        if notice.sent_s < known.received_s:
            return RateLimitChange.NONE
        return self._replace(known, notice)

    def find(self, upstream: UpstreamId, started_ms: int) -> RateLimitNotice | None:
        """Return the notice of the limit in force for a process of an upstream."""
        notice = self._notices.get(upstream)
        if notice is None or notice.rate is None or notice.started_ms != started_ms:
            return None
        return notice

    def list_notices(self) -> list[RateLimitNotice]:
        """Return the latest notice of each upstream, ended limits included."""
        return list(self._notices.values())

    def drop_old(
        self, registered: Collection[UpstreamId], now_s: float
    ) -> list[UpstreamId]:
        """Drop and return limits that have ended, and those of upstreams that left.

        An upstream whose registration has only lapsed may come back with its limit.
        """
        old = [
            upstream
            for upstream, notice in self._notices.items()
            if (notice.rate is None and now_s - notice.received_s > ENDED_KEEP_S)
            or (upstream not in registered and now_s - notice.received_s > LEFT_KEEP_S)
        ]
        for upstream in old:
            del self._notices[upstream]
        return old

    def _record_after_end(
        self, ended: RateLimitNotice, notice: RateLimitNotice
    ) -> RateLimitChange:
        # An answer to a request from before the end may still name the ended limit.
        if notice.rate is None:
            sent_s = max(ended.sent_s, notice.sent_s)
            self._notices[ended.upstream] = replace(ended, sent_s=sent_s)
            return RateLimitChange.CONFIRMED
        if notice.received_s < ended.sent_s:
            return RateLimitChange.NONE
        return self._replace(ended, notice)

    def _record_bound(
        self, known: RateLimitNotice, notice: RateLimitNotice
    ) -> RateLimitChange:
        if notice.rate == known.rate:
            self._notices[known.upstream] = replace(
                known,
                sent_s=max(known.sent_s, notice.sent_s),
                received_s=max(known.received_s, notice.received_s),
            )
            return RateLimitChange.CONFIRMED
        if notice.received_s < known.sent_s:
            return RateLimitChange.NONE
        return self._replace(known, notice)

    def _replace(
        self, known: RateLimitNotice | None, notice: RateLimitNotice
    ) -> RateLimitChange:
        was_limited = known is not None and known.rate is not None
        if notice.rate is None and not was_limited:
            return RateLimitChange.NONE
        self._notices[notice.upstream] = notice
        return RateLimitChange.ENDED if notice.rate is None else RateLimitChange.NAMED


def compute_enforced_rate(rate: float) -> float:
    """Return the rate at which a named limit is enforced."""
    return max(rate, MIN_RATE)
