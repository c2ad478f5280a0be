"""Keep to the rate limits that upstreams name, together with the other gateways."""

import math
import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, ProcessId, ServiceName, UpstreamId
from bramleyport.fleet import (
    Call,
    Choice,
    GatewayRoster,
    PermitSupply,
    RankReserve,
    RateLimitChange,
    RateLimitNotice,
    RateLimitTable,
    RateShares,
    Registration,
    Stage,
    compute_enforced_rate,
    writes_answers,
)
from bramleyport.platform import AnswerHead
from bramleyport.telemetry import gateway_events, log_event

# Time for which a permit is kept for the decode after a separate prefill. A time window
# may contain the requests for permits of this much more time.
MAX_RESERVED_S: Final = 0.5
# Why a call is refused that only rate limits keep from being sent.
OVER_LIMIT: Final = "over_limit"
# The least time after which a gateway repeats what an upstream said. Each adds up to
# REPEAT_SPREAD_S of its own, and leaves out a repeat once it has heard one from a peer.
REPEAT_INTERVAL_S: Final = 1.0
REPEAT_SPREAD_S: Final = 2.0
# Longest time for which peers take over the repeats of a gateway. Some gateways may
# hear this one and not those. Only the end of a limit has to reach gateways that send
# nothing to the upstream, while it is remembered.
MAX_LEFT_OUT_S: Final = 30.0
MAX_END_LEFT_OUT_S: Final = 5.0
# Longest Retry-After while there are other gateways. A retry reaches any of them, and
# each has permits of its own, so a longer wait only delays the call.
RETRY_ELSEWHERE_S: Final = 0.3
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Represent a permit for a request that is sent later."""

    target: Registration
    until_s: float


class RateLimiter:
    """Decide which requests the rate limits of upstreams permit this gateway."""

    def __init__(self, own: ProcessId, roster: GatewayRoster) -> None:
        self._roster = roster
        self._table = RateLimitTable()
        self._shares = RateShares(own, roster)
        self._reserves: dict[ServiceName, RankReserve] = {}
        # The last invalid value of each upstream, which is logged once.
        self._invalid_values: dict[UpstreamId, str] = {}
        # When this gateway last received an answer with or after a limit, and when it
        # last told its peers.
        self._observed_s: dict[UpstreamId, float] = {}
        self._published_s: dict[UpstreamId, float] = {}
        # When a peer last told the same as this gateway would.
        self._heard_s: dict[UpstreamId, float] = {}
        self._own = own
        # Called when the peers should learn of a limit at once.
        self.on_changed: Callable[[], None] | None = None

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
        notice = RateLimitNotice(
            upstream=target.upstream,
            started_ms=target.started_ms,
            rate=head.rate_limit,
            sent_s=sent_s,
            received_s=now_s,
        )
        change = self._record(notice, now_s)
        if change is not RateLimitChange.NONE:
            self._observed_s[target.upstream] = now_s
        if change in (RateLimitChange.NAMED, RateLimitChange.ENDED):
            self._published_s.pop(target.upstream, None)
            self._heard_s.pop(target.upstream, None)
            if self.on_changed is not None:
                self.on_changed()

    def apply_notice(self, notice: RateLimitNotice, now_s: float) -> None:
        """Record what an answer to another gateway says."""
        change = self._record(notice, now_s)
        if change is not RateLimitChange.NONE:
            self._heard_s[notice.upstream] = now_s

    def take_due_notices(self, now_s: float) -> list[RateLimitNotice]:
        """Return what the peers are to be told now, of answers to this gateway.

        Notices are repeated, since updates get lost: the others can't learn by
        themselves that a limit has ended while they send nothing to its upstream. One
        gateway's repeats serve all that hear it.
        """
        due = [
            notice
            for notice in self._table.list_notices()
            if self._is_due(notice, now_s)
        ]
        for notice in due:
            self._published_s[notice.upstream] = now_s
        return due

    def list_notices(self) -> list[RateLimitNotice]:
        """Return all limits that are known, for a gateway that has started."""
        return [item for item in self._table.list_notices() if item.rate is not None]

    def find(self, target: Registration) -> RateLimitNotice | None:
        """Return the notice of the limit of an upstream, or None without a limit."""
        return self._table.find(target.upstream, target.started_ms)

    @property
    def knows_limits(self) -> bool:
        """Return whether the limit of any upstream is known."""
        return bool(self._table)

    def list_limited(self, ready: Sequence[Registration]) -> set[UpstreamId]:
        """Return the upstreams whose rate is limited."""
        return {item.upstream for item in ready if self.find(item) is not None}

    def find_blocked(
        self,
        call: Call,
        ready: Sequence[Registration],
        final: Sequence[Registration],
        now_s: float,
    ) -> set[UpstreamId]:
        """Return the upstreams to which a call must not be sent now.

        Only those in `final` may write its answer.
        """
        limited = self.list_limited(ready)
        if not limited:
            return set()
        if final and all(item.upstream in limited for item in final):
            reserve = self._find_reserve(call.service)
            fraction = _compute_demand_fraction(ready, final)
            supply = self._sum_supply(final, fraction, now_s)
            if not reserve.may_send(call.priority, supply, now_s):
                return limited
        return self.list_exhausted(ready, now_s)

    def list_exhausted(
        self, ready: Sequence[Registration], now_s: float
    ) -> set[UpstreamId]:
        """Return the upstreams whose limits permit no request now."""
        return {item.upstream for item in ready if not self.has_permit(item, now_s)}

    def has_permit(self, target: Registration, now_s: float) -> bool:
        """Return whether the limit of an upstream permits a request now."""
        return self._count_permits(target, now_s) >= 1.0

    def take(self, target: Registration, now_s: float) -> None:
        """Record that a request is sent to an upstream."""
        rate = self._find_rate(target)
        if rate is not None:
            self._shares.take(target.upstream, rate, now_s)

    def record_call(self, call: Call, now_s: float) -> None:
        """Record that a call arrived, if any limit is known."""
        if self._table:
            reserve = self._find_reserve(call.service)
            reserve.record_call(call.priority, now_s)

    def take_choice(
        self, call: Call, choice: Choice, now_s: float
    ) -> Reservation | None:
        """Record that a call is sent as chosen.

        Return the permit for the decode after a separate prefill, if it needs one.
        """
        targets = [choice.upstream]
        if choice.prefill is not None:
            targets.append(choice.prefill)
        if self.list_limited(targets):
            self._find_reserve(call.service).record_sent(call.priority)
        for target in targets:
            self.take(target, now_s)
        if choice.prefill is None or self.find(choice.upstream) is None:
            return None
        return Reservation(choice.upstream, now_s + MAX_RESERVED_S)

    def give_back(self, reservation: Reservation, now_s: float) -> None:
        """Make the permit of a request that was not sent available again."""
        rate = self._find_rate(reservation.target)
        if rate is not None:
            self._shares.give_back(reservation.target.upstream, rate, now_s)

    def refuse(self, ready: Sequence[Registration], now_s: float) -> Rejected:
        """Return the refusal of a call that only limits keep from being sent."""
        limited = [item for item in ready if self.find(item) is not None]
        wait_s = self.forecast_wait(limited, now_s)
        if len(self._roster.gateways) > 1:
            wait_s = min(wait_s, RETRY_ELSEWHERE_S)
        numbers: dict[str, float] = {"limited_upstreams": float(len(limited))}
        if limited:
            next_free = min(limited, key=lambda item: self._find_wait(item, now_s))
            numbers |= self.describe(next_free, now_s)
        retry_after_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        explanation = Explanation(reason=OVER_LIMIT, numbers=numbers)
        return Rejected(explanation, retry_after_s)

    def forecast_wait(self, ready: Sequence[Registration], now_s: float) -> float:
        """Return the seconds until a limit permits a call; infinite if none does."""
        waits_s = (
            self._find_wait(item, now_s)
            for item in ready
            if item.stage is not Stage.PREFILL and self.find(item) is not None
        )
        return min(waits_s, default=math.inf)

    def describe(self, target: Registration, now_s: float) -> dict[str, float]:
        """Return the limit of an upstream, its age and this gateway's share of it.

        The result is empty for an upstream without a limit.
        """
        notice = self.find(target)
        if notice is None or notice.rate is None:
            return {}
        share = self._shares.find_share(target.upstream, notice.rate, now_s)
        return {
            "limit_per_s": notice.rate,
            "limit_age_s": round(now_s - notice.received_s, 3),
            "share_per_s": round(share.rate, 3),
            "share_holders": float(share.holders),
            "gateways": float(share.gateways),
        }

    def drop_old(self, registered: Collection[UpstreamId], now_s: float) -> None:
        """Drop what is known of limits that have ended and of upstreams that left."""
        for upstream in self._table.drop_old(registered, now_s):
            self._shares.discard(upstream)
            self._observed_s.pop(upstream, None)
            self._published_s.pop(upstream, None)
            self._heard_s.pop(upstream, None)
        for upstream in self._invalid_values.keys() - registered:
            del self._invalid_values[upstream]

    def _record(self, notice: RateLimitNotice, now_s: float) -> RateLimitChange:
        change = self._table.record(notice)
        if change is RateLimitChange.NAMED and notice.rate is not None:
            share = self._shares.find_share(notice.upstream, notice.rate, now_s)
            log_event(
                gateway_events.LIMIT_NAMED,
                upstream=notice.upstream,
                limit_per_s=notice.rate,
                limit_age_s=round(now_s - notice.received_s, 3),
                enforced_per_s=compute_enforced_rate(notice.rate),
                share_per_s=round(share.rate, 3),
                share_holders=share.holders,
                gateways=share.gateways,
                origin=notice.origin,
            )
        elif change is RateLimitChange.ENDED:
            self._shares.discard(notice.upstream)
            log_event(
                gateway_events.LIMIT_ENDED,
                upstream=notice.upstream,
                origin=notice.origin,
            )
        return change

    def _is_due(self, notice: RateLimitNotice, now_s: float) -> bool:
        observed_s = self._observed_s.get(notice.upstream)
        if observed_s is None:
            return False
        published_s = self._published_s.get(notice.upstream)
        if published_s is None:
            return True
        if observed_s <= published_s and notice.rate is not None:
            return False
        left_out_s = MAX_END_LEFT_OUT_S if notice.rate is None else MAX_LEFT_OUT_S
        if now_s - published_s >= left_out_s:
            return True
        told_s = max(published_s, self._heard_s.get(notice.upstream, 0.0))
        return now_s - told_s >= self._choose_interval(notice.upstream)

    def _choose_interval(self, upstream: UpstreamId) -> float:
        """Return the seconds after which this gateway repeats what was told."""
        spread = zlib.crc32(f"{upstream}/{self._own}".encode()) / 2**32
        return REPEAT_INTERVAL_S + REPEAT_SPREAD_S * spread

    def _find_rate(self, target: Registration) -> float | None:
        notice = self.find(target)
        return notice.rate if notice else None

    def _count_permits(self, target: Registration, now_s: float) -> float:
        """Return how many requests may be sent; infinite without a limit."""
        rate = self._find_rate(target)
        if rate is None:
            return math.inf
        if self._roster.count is None:
            # The share would be computed for too few gateways.
            return 0.0
        return self._shares.count_permits(target.upstream, rate, now_s)

    def _sum_supply(
        self, targets: Sequence[Registration], demand_fraction: float, now_s: float
    ) -> PermitSupply:
        """Return the permits for upstreams that are all limited."""
        shares = [
            self._shares.find_share(notice.upstream, notice.rate, now_s)
            for notice in map(self.find, targets)
            if notice is not None and notice.rate is not None
        ]
        return PermitSupply(
            available=sum(
                max(0.0, self._count_permits(item, now_s)) for item in targets
            ),
            most=sum(share.capacity for share in shares),
            per_s=sum(share.rate for share in shares),
            demand_fraction=demand_fraction,
        )

    def _find_wait(self, target: Registration, now_s: float) -> float:
        rate = self._find_rate(target)
        if rate is None:
            return 0.0
        return self._shares.forecast_wait(target.upstream, rate, now_s)

    def _find_reserve(self, service: ServiceName) -> RankReserve:
        return self._reserves.setdefault(service, RankReserve())

    def _log_invalid(self, upstream: UpstreamId, value: str) -> None:
        if self._invalid_values.get(upstream) == value:
            return
        self._invalid_values[upstream] = value
        log_event(gateway_events.LIMIT_INVALID, upstream=upstream, value=value)


def _compute_demand_fraction(
    ready: Sequence[Registration], final: Sequence[Registration]
) -> float:
    """Return which part of the calls of a service the upstreams in `final` get.

    Those of other software versions get the others.
    """
    versions = {item.version for item in final}
    others = sum(
        writes_answers(item) and item.version not in versions for item in ready
    )
    return len(final) / (len(final) + others)
