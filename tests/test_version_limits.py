"""Guard calls of one software version whose upstreams limit their rates."""

from dataclasses import replace

from bramleyport.core import Explanation, ProcessId
from bramleyport.fleet import (
    Call,
    Choice,
    GatewayRoster,
    RateLimitNotice,
    Registration,
    SoftwareVersion,
)
from bramleyport.gateway._rate_limits import RateLimiter
from tests.fleet_builders import make_call, make_engine

LIMIT_PER_S = 20.0
VERSIONS = ("v1", "v1", "v1", "v1", "v2", "v2")
LIMITED = 4
SECONDS = 30
# Calls to the service each second by priority. A third of them go to the version whose
# upstreams are limited, which permit more than that.
DEMAND_PER_S = {0: 50, 2: 25}
TICKS_PER_S = 100
START_S = 10.0


def make_ranked_call(priority: int) -> Call:
    call = make_call()
    return replace(call, route=replace(call.route, priority=priority))


def make_limiter(limited: list[Registration]) -> RateLimiter:
    process = ProcessId("g0")
    roster = GatewayRoster(process)
    roster.record_listed(set(), 0.0)
    limiter = RateLimiter(process, roster)
    for item in limited:
        notice = RateLimitNotice(
            upstream=item.upstream,
            started_ms=item.started_ms,
            rate=LIMIT_PER_S,
            sent_s=START_S - 1.0,
            received_s=START_S - 1.0,
        )
        limiter.apply_notice(notice, START_S - 1.0)
    return limiter


# Guards against permits of one version that are kept for the urgent calls of all.
def test_permits_are_kept_for_urgent_calls_of_their_version_alone() -> None:
    engines = [
        replace(make_engine(f"d{number}"), version=SoftwareVersion(version))
        for number, version in enumerate(VERSIONS)
    ]
    final = engines[LIMITED:]
    limiter = make_limiter(final)
    asked = dict.fromkeys(DEMAND_PER_S, 0)
    sent = dict.fromkeys(DEMAND_PER_S, 0)
    for tick in range(SECONDS * TICKS_PER_S):
        now_s = START_S + tick / TICKS_PER_S
        for priority, per_s in DEMAND_PER_S.items():
            number, rest = divmod(tick * per_s, TICKS_PER_S)
            if rest:
                continue
            call = make_ranked_call(priority)
            limiter.record_call(call, now_s)
            if number % 3:
                continue
            asked[priority] += 1
            blocked = limiter.find_blocked(call, engines, final, now_s)
            free = [item for item in final if item.upstream not in blocked]
            if free:
                sent[priority] += 1
                target = free[number % len(free)]
                choice = Choice(
                    upstream=target, explanation=Explanation(reason="test", numbers={})
                )
                limiter.take_choice(call, choice, now_s)
    assert sent[0] >= 0.95 * asked[0]
    assert sent[2] >= 0.95 * asked[2]
