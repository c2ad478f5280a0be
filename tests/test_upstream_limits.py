"""Guard the rate limits that upstreams name, against all gateways together."""

import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests.gateway_group import GatewayGroup
from tests.rate_window import SETTLE_S, WINDOW_S, count_allowed, count_most_limited

Run = Callable[[Coroutine[Any, Any, Any]], Any]


# Guards against gateways that ignore the limit of an upstream, or of which each one
# takes all of it: each of them sends about as much as all of them may.
@pytest.mark.parametrize(
    ("gateways", "limit", "path", "upstreams"),
    [
        (5, 2.8, "/post/x", ("p0", "p1")),
        (12, 0.4, "/read/x", ("p0", "p1")),
        (4, 2.0, "/stream/x", ("d0", "d1")),
    ],
    ids=["plain", "many-gateways", "streams"],
)
def test_gateways_together_keep_to_the_limit_that_an_upstream_names(
    run: Run,
    tmp_path: Path,
    gateways: int,
    limit: float,
    path: str,
    upstreams: tuple[str, ...],
) -> None:
    async def check() -> None:
        group = GatewayGroup(tmp_path, gateways, upstreams)
        await group.start()
        try:
            for upstream in group.upstreams:
                upstream.limit = str(limit)
            named_s = time.monotonic()
            await group.send_calls(SETTLE_S + WINDOW_S + 1.0, 40.0, path)
        finally:
            await group.stop()
        for upstream in group.upstreams:
            times_s = [arrival.arrived_s for arrival in upstream.arrivals]
            most = count_most_limited(times_s, named_s)
            assert most <= count_allowed(limit), upstream.name
        assert group.statuses[200] > 0
        assert set(group.statuses) <= {200, 503}
        assert not set(group.refused) & set(group.list_runs())

    run(check())
