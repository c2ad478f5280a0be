"""Guard the numbers of upstreams that gateways order, as load comes and goes."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest

from bramleyport.fleet import ScaleBounds, ScalePlan, ZoneLoad
from bramleyport.platform import MalformedDocumentError, decode_configuration
from tests.gateway_fleet import LANGUAGE, PLAIN, make_config
from tests.gateway_group import GatewayGroup
from tests.platform_standin import (
    LOOPBACK,
    PlatformApiStandin,
    RawRequest,
    UpstreamStandin,
    make_stamp_headers,
    render_response,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
BOUNDS = ScaleBounds(least=2, most=8, boot_s=10.0)
POLL_S = 0.5


def play(plan: ScalePlan, load: Callable[[float], float], seconds: float) -> list[int]:
    """Poll a plan whose orders take effect after the boot; return what was ordered."""
    ordered: list[int] = []
    serving, ready = 2, [(0.0, 2)]
    for poll in range(int(seconds / POLL_S)):
        now_s = poll * POLL_S
        serving = next(count for at_s, count in reversed(ready) if at_s <= now_s)
        plan.observe(ZoneLoad(serving=serving, filled=load(now_s)), now_s)
        change = plan.choose(BOUNDS, now_s)
        if change is not None:
            plan.record_ordered(change.desired, now_s)
            ordered.append(change.desired)
            delay_s = BOUNDS.boot_s if change.added > 0 else 0.0
            ready.append((now_s + delay_s, change.desired))
    return ordered


def test_more_upstreams_are_ordered_at_once_and_fewer_one_by_one() -> None:
    ordered = play(ScalePlan(), lambda now_s: 3.0 if 5 < now_s < 60 else 0.5, 200.0)
    up = ordered[: ordered.index(max(ordered)) + 1]
    down = ordered[len(up) :]
    assert up == sorted(up) and 5 <= max(up) <= 8
    assert down == list(range(max(up) - 1, 1, -1))


@pytest.mark.parametrize("seed", range(10))
def test_steady_load_with_noise_leads_to_few_orders(seed: int) -> None:
    rng = Random(seed)
    ordered = play(ScalePlan(), lambda _: 2.5 + rng.uniform(-0.5, 0.5), 300.0)
    assert len(ordered) <= 4
    assert ordered[-1] >= math.ceil(2.5)


def test_orders_stay_within_changed_bounds_and_keep_one() -> None:
    plan = ScalePlan()
    plan.observe(ZoneLoad(serving=0, filled=0.0), 0.0)
    # Guards against fewer upstreams than the platform has, while all of them restart.
    assert plan.choose(ScaleBounds(least=0, most=9, boot_s=1.0), 0.0) is None
    plan.observe(ZoneLoad(serving=6, filled=0.0), 0.0)
    plan.record_ordered(6, 0.0)
    for bounds, desired in (
        (ScaleBounds(least=0, most=4, boot_s=1.0), 4),
        (ScaleBounds(least=7, most=9, boot_s=1.0), 7),
    ):
        change = plan.choose(bounds, 0.0)
        assert change is not None and change.desired == desired
    assert ScaleBounds(least=0, most=4, boot_s=1.0).clamp(0) == 1
    assert ScaleBounds(least=0, most=0, boot_s=1.0).clamp(3) == 0


def test_odd_scale_of_a_service_is_refused() -> None:
    for scale in ({"min": 3, "max": 2, "boot_s": 1}, {"min": 1}, [], 5):
        config = make_config()
        config["services"][1]["scale"] = scale
        with pytest.raises(MalformedDocumentError):
            decode_configuration(config)


async def answer_late(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    run = upstream.record_run(request)
    await asyncio.sleep(0.8)
    run.ended = True
    writer.write(render_response(200, b"x", **make_stamp_headers(upstream, request)))


def test_holder_orders_and_repeats_only_what_was_not_answered(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        api = PlatformApiStandin()
        await api.start()
        api.status = 429
        config = make_config()
        services = config["services"]
        services[1]["scale"] = {"min": 1, "max": 4, "boot_s": 2.0}
        cloud = {
            "addr": f"{LOOPBACK}:{api.port}",
            "duties": ["scale"],
            "duties_per_s": 10,
        }
        group = GatewayGroup(
            tmp_path,
            2,
            ("p0", "d0"),
            bounds={"thaw_ms": 100},
            settings={"cloud": cloud},
            config={"services": services},
        )
        try:
            await group.start()
            group.upstreams[0].script = answer_late
            sending = asyncio.ensure_future(group.send_calls(9.0, 8, "/read/x"))
            await group.wait_for(lambda: len(api.calls) > 1)
            api.status = 200
            await sending
        finally:
            await group.stop()
            await api.stop()
        documents = [call.document for call in api.calls]
        assert {(item["service"], item["zone"]) for item in documents} == {(PLAIN, "a")}
        accepted = [call.document["desired"] for call in api.calls if call.accepted]
        assert accepted and len(accepted) == len(set(accepted))
        assert 1 < max(accepted) <= 4
        assert len({(call.holder, call.fencing) for call in api.calls}) == 1
        assert LANGUAGE not in str(documents)

    run(check())
