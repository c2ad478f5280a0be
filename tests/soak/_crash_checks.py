"""Check what reaches engines that crash on parts of prompts, and what is served."""

from collections.abc import Iterable, Sequence

from tests.crash_bound import (
    BOUNDED_CRASH,
    MAX_LATE_ARRIVALS,
    find_bounded_s,
    list_crashes,
    list_late_arrivals,
)
from tests.platform_standin import CrashingEngine
from tests.request_traffic import (
    BOUNDED_CRASH as BOUNDED_REQUEST_CRASH,
    MAX_LATE_REPEATS,
)
from tests.soak._checks import STABLE_S, Observations, SentCall
from tests.soak._deadly_prompts import DEADLY_BODIES

PROMPT_KINDS = ("once", "stream")


def check_deadly_parts(
    observations: Observations, engines: Sequence[CrashingEngine], parts: Iterable[str]
) -> None:
    """Check that few requests with a deadly part reach engines after some crashes.

    Gateways that were killed or started meanwhile keep to this, too.
    """
    sent_s = {name: call.sent_s for name, call in observations.sent.items()}
    for part in parts:
        bounded_s = find_bounded_s(engines, part, STABLE_S)
        late = list_late_arrivals(engines, part, bounded_s, sent_s)
        crashes = sum(crash.cause == part for crash in list_crashes(engines))
        observations.findings.crashes[part] = crashes
        if len(late) > MAX_LATE_ARRIVALS:
            observations.report_violation(
                f"part {part}: {len(late)} requests reached engines that were sent "
                f"later than {STABLE_S:.0f} s after crash {BOUNDED_CRASH}; "
                f"{crashes} crashes"
            )


def check_deadly_requests(
    observations: Observations, upstreams: Sequence[CrashingEngine]
) -> None:
    """Check that few repeats of a request reach upstreams after some crashes."""
    for body in DEADLY_BODIES.values():
        times_s = [
            item.time_s for item in list_crashes(upstreams) if item.cause == body
        ]
        observations.findings.crashes[body] = len(times_s)
        if len(times_s) < BOUNDED_REQUEST_CRASH:
            continue
        bounded_s = times_s[BOUNDED_REQUEST_CRASH - 1] + STABLE_S
        late = [
            arrival
            for upstream in upstreams
            for arrival in upstream.arrivals
            if arrival.request.body.decode("latin-1") == body
            and observations.sent[arrival.request.headers["request-id"]].sent_s
            > bounded_s
        ]
        if len(late) > MAX_LATE_REPEATS:
            observations.report_violation(
                f"request {body!r}: {len(late)} repeats reached upstreams, sent later "
                f"than {STABLE_S:.0f} s after crash {BOUNDED_REQUEST_CRASH}; "
                f"{len(times_s)} crashes"
            )


def check_sound_prompts(
    observations: Observations, engines: Sequence[CrashingEngine], deadly_from_s: float
) -> None:
    """Check that sound prompts are served once the crashes on parts have ended."""
    settled_s = deadly_from_s
    for crash in list_crashes(engines):
        settled_s = max(settled_s, crash.time_s + 2 * STABLE_S)
    answered = [
        call
        for call in observations.sent.values()
        if call.kind in PROMPT_KINDS
        and call.deadly_part is None
        and call.body not in DEADLY_BODIES.values()
        and call.answer
    ]
    before = [call for call in answered if call.sent_s < deadly_from_s]
    after = [call for call in answered if call.sent_s > settled_s]
    if after and _compute_served(after) < _compute_served(before) / 2:
        observations.report_violation(
            f"sound prompts: {_compute_served(after):.2f} of {len(after)} served, "
            f"before the crashes {_compute_served(before):.2f}"
        )


def _compute_served(calls: Sequence[SentCall]) -> float:
    served = [call for call in calls if call.answer and call.answer.status == 200]
    return len(served) / len(calls) if calls else 0.0
