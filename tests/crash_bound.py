"""Bound the requests on which engines crash, as the platform does."""

from collections.abc import Mapping, Sequence

from tests.platform_standin import CrashingEngine, EngineCrash, list_parts

# After the stable window that begins with this crash, so many deadly requests may still
# reach engines, from all gateways together and repeats included.
BOUNDED_CRASH = 5
MAX_LATE_ARRIVALS = 3


def list_crashes(engines: Sequence[CrashingEngine]) -> list[EngineCrash]:
    """Return all crashes in the order of their times."""
    found = [crash for engine in engines for crash in engine.crashes]
    return sorted(found, key=lambda crash: crash.time_s)


def find_bounded_s(
    engines: Sequence[CrashingEngine], part: str, stable_s: float
) -> float | None:
    """Return when the bound begins for a part, or None if it has not begun."""
    times_s = [crash.time_s for crash in list_crashes(engines) if crash.cause == part]
    if len(times_s) < BOUNDED_CRASH:
        return None
    return times_s[BOUNDED_CRASH - 1] + stable_s


def list_late_arrivals(
    engines: Sequence[CrashingEngine],
    part: str,
    bounded_s: float | None,
    sent_s: Mapping[str, float],
) -> list[str]:
    """Return the requests with a part that are under the bound, for each arrival."""
    if bounded_s is None:
        return []
    requests = [
        arrival.request.headers["request-id"]
        for engine in engines
        for arrival in engine.arrivals
        if part in list_parts(arrival.request)
    ]
    return [request for request in requests if sent_s[request] > bounded_s]
