"""Make upstreams say in answers that they leave, or that they want a pause."""

import asyncio
import time
from typing import Final

from tests.platform_standin import UpstreamStandin, decline
from tests.soak._checks import DRAIN_LIMIT_S, Drain, Observations
from tests.soak._faults import Fault, FaultTargets

SIGNALS: Final[dict[str, Fault]] = {}
# An upstream says for so long that it leaves, or turns requests away.
LEAVING_S: Final = DRAIN_LIMIT_S + 2.0
PAUSE_S: Final = 2.0
# A request of each gateway may be under way, and one tries at the end of a pause.
REQUESTS_PER_PAUSE: Final = 2
SETTLE_S: Final = 0.5


def register_signal(fault: Fault) -> Fault:
    """Register what upstreams say of themselves."""
    SIGNALS[fault.__name__] = fault
    return fault


@register_signal
async def leave_by_answer(targets: FaultTargets) -> None:
    """Make an upstream say that it leaves, while its registration says ready."""
    upstream = targets.random.choice(targets.upstreams)
    if upstream.leaving or upstream.pause:
        return
    upstream.leaving = True
    process_ms = upstream.born_ms
    began_s = time.monotonic()
    try:
        await asyncio.sleep(DRAIN_LIMIT_S / 2)
        if upstream.born_ms == process_ms:
            record_leaving(targets.observations, upstream, began_s)
            await asyncio.sleep(LEAVING_S)
    finally:
        # Another operation may have replaced the process.
        if upstream.born_ms == process_ms:
            targets.restart_upstream(upstream)


def record_leaving(
    observations: Observations, upstream: UpstreamStandin, began_s: float
) -> None:
    """Record since when gateways know that an upstream leaves, if any was told."""
    answered = [run for run in upstream.runs if run.started_s >= began_s and run.ended]
    if answered:
        observations.leaving.append(Drain(upstream.name, answered[0].started_s))


@register_signal
async def refuse_with_pause(targets: FaultTargets) -> None:
    """Make one upstream, or all of a service, turn requests away for a while."""
    chosen = targets.random.choice(targets.upstreams)
    is_whole_service = targets.random.random() < 0.3
    upstreams = [
        item
        for item in targets.upstreams
        if item is chosen or (is_whole_service and item.service == chosen.service)
    ]
    if any(item.leaving or item.pause for item in upstreams):
        return
    scripts = {item.name: item.script for item in upstreams}
    for upstream in upstreams:
        upstream.script, upstream.pause = decline, str(PAUSE_S)
    try:
        await asyncio.sleep(PAUSE_S)
        for upstream in upstreams:
            check_pause(targets, upstream, time.monotonic())
    finally:
        for upstream in upstreams:
            upstream.script, upstream.pause = scripts[upstream.name], ""


def check_pause(
    targets: FaultTargets, upstream: UpstreamStandin, until_s: float
) -> None:
    """Check that few requests reach an upstream after it asked for a pause."""
    began_s = until_s - PAUSE_S
    times_s = [item.arrived_s for item in upstream.arrivals]
    first_s = next((item for item in times_s if item >= began_s), until_s)
    late = sum(first_s + SETTLE_S < item < until_s for item in times_s)
    # Each gateway learns of it by an answer of its own, late in the pause, too.
    allowed = REQUESTS_PER_PAUSE * 2 * len(targets.gateways)
    if late > allowed:
        targets.observations.report_violation(
            f"{upstream.name}: {late} requests while it wanted none"
        )


def check_leaving(
    observations: Observations, upstreams: list[UpstreamStandin], gateways: int
) -> None:
    """Check that upstreams that said that they leave get no calls.

    A gateway that starts may send one before it hears of it.
    """
    arrivals = {upstream.name: upstream.arrivals for upstream in upstreams}
    for drain in observations.leaving:
        limit_s = drain.acknowledged_s + DRAIN_LIMIT_S
        late = sum(
            limit_s < item.arrived_s < drain.until_s
            for item in arrivals[drain.upstream]
        )
        if late > gateways:
            observations.report_violation(
                f"{drain.upstream}: {late} requests after it said that it leaves"
            )
