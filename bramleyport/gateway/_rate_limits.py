"""Track and log the rate limits that upstreams name in their answers."""

from bramleyport.core import UpstreamId
from bramleyport.fleet import (
    RateLimitChange,
    RateLimitNotice,
    RateLimitTable,
    Registration,
    compute_enforced_rate,
)
from bramleyport.platform import AnswerHead
from bramleyport.telemetry import gateway_events, log_event


class RateLimiter:
    """Track the rate limits of upstreams."""

    def __init__(self) -> None:
        self._table = RateLimitTable()
        # The last invalid value of each upstream, which is logged once.
        self._invalid_values: dict[UpstreamId, str] = {}

    def record_answer(
        self, target: Registration, head: AnswerHead, sent_s: float, now_s: float
    ) -> None:
        """Record what the head of an answer says of the limit of its upstream."""
        if head.invalid_rate_limit:
            self._log_invalid(target.upstream, head.invalid_rate_limit)
            return
        if head.rate_limit is None and not head.stamped:
            # Only an answer to a call shows that the limit has ended: upstreams need
            # not name it in answers to other requests.
            return
        self._record(
            RateLimitNotice(
                upstream=target.upstream,
                started_ms=target.started_ms,
                rate=head.rate_limit,
                sent_s=sent_s,
                received_s=now_s,
            )
        )

    def find(self, target: Registration) -> RateLimitNotice | None:
        """Return the notice of the limit of an upstream, or None without a limit."""
        return self._table.find(target.upstream, target.started_ms)

    def describe(self, target: Registration, now_s: float) -> dict[str, float]:
        """Return the limit of an upstream and its age, for logs; empty without one."""
        notice = self.find(target)
        if notice is None or notice.rate is None:
            return {}
        return {
            "limit_per_s": notice.rate,
            "limit_age_s": round(now_s - notice.received_s, 3),
        }

    def _record(self, notice: RateLimitNotice) -> None:
        change = self._table.record(notice)
        if change is RateLimitChange.NAMED and notice.rate is not None:
            log_event(
                gateway_events.LIMIT_NAMED,
                upstream=notice.upstream,
                limit_per_s=notice.rate,
                enforced_per_s=compute_enforced_rate(notice.rate),
                origin=notice.origin,
            )
        elif change is RateLimitChange.ENDED:
            log_event(
                gateway_events.LIMIT_ENDED,
                upstream=notice.upstream,
                origin=notice.origin,
            )

    def _log_invalid(self, upstream: UpstreamId, value: str) -> None:
        if self._invalid_values.get(upstream) == value:
            return
        self._invalid_values[upstream] = value
        log_event(gateway_events.LIMIT_INVALID, upstream=upstream, value=value)
