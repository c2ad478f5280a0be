"""Guard the faults of the soak against checks of a process that has been replaced."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from tests.gateway_fleet import PLAIN
from tests.platform_standin import StoreStandin, UpstreamStandin
from tests.soak._checks import DRAIN_LIMIT_S, Observations
from tests.soak._faults import FaultTargets
from tests.soak._signal_faults import leave_by_answer

if TYPE_CHECKING:
    from tests.platform_standin._http import RawRequest
    from tests.soak._findings import Findings
    from tests.soak._proxy import FaultProxy

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def make_targets(upstream: UpstreamStandin) -> FaultTargets:
    observations = Observations(cast("Findings", None), cast("Any", None))
    proxy = cast("FaultProxy", SimpleNamespace(port=1))
    return FaultTargets(
        random=Random(1),
        observations=observations,
        store=StoreStandin(),
        gateways=[],
        upstreams=[upstream],
        proxies={upstream.name: proxy},
    )


def record_answer(upstream: UpstreamStandin) -> None:
    upstream.record_run(cast("RawRequest", None)).ended = True


# Guards against counting the calls of a new process, which no gateway was told of,
# against the one before it, which said that it leaves.
def test_process_that_replaces_a_leaving_one_does_not_leave(run: Run) -> None:
    async def check() -> None:
        upstream = UpstreamStandin("p0", service=PLAIN)
        targets = make_targets(upstream)
        leave = asyncio.ensure_future(leave_by_answer(targets))
        await asyncio.sleep(0)
        record_answer(upstream)
        await asyncio.sleep(DRAIN_LIMIT_S / 2 + 0.1)
        (drain,) = targets.observations.leaving
        assert upstream.leaving
        targets.restart_upstream(upstream)
        assert not upstream.leaving
        assert drain.until_s < float("inf")
        ended_s, process_ms = drain.until_s, upstream.born_ms
        leave.cancel()
        await asyncio.wait([leave])
        assert (drain.until_s, upstream.born_ms) == (ended_s, process_ms)

    run(check())
