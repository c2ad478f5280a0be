"""Guard that stages are planned for all versions whose streams may go on."""

from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet import SoftwareVersion, Stage, VersionShares
from bramleyport.gateway import _stages
from bramleyport.gateway._clock import read_now
from tests.gateway_fleet import LANGUAGE, GatewayFleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]

SERVICE = ServiceName(LANGUAGE)
ENGINES = {
    "a0": ("v1", Stage.DECODE),
    "a1": ("v1", Stage.DECODE),
    "a2": ("v1", Stage.PREFILL),
    "b0": ("v2", Stage.PREFILL),
    "b1": ("v2", Stage.PREFILL),
}


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def register_engines(state: Any) -> None:
    known = state.members.find(UpstreamId("d0"))
    for name in ("d0", "d1"):
        state.members.drop(UpstreamId(name))
    for name, (version, stage) in ENGINES.items():
        engine = replace(
            known,
            upstream=UpstreamId(name),
            version=SoftwareVersion(version),
            stage=stage,
        )
        state.members.put(engine)


# Guards against streams of a version that go on nowhere, though its engines live, once
# the newest shares don't have it any more: its decode engines were away when these were
# written.
def test_version_of_earlier_shares_gets_a_decode_engine(
    run: Run, fleet: GatewayFleet
) -> None:
    async def check() -> None:
        state, stages = fleet.state, fleet.gateway._stages
        register_engines(state)
        v1, v2 = SoftwareVersion("v1"), SoftwareVersion("v2")
        shares = [VersionShares(((v1, 0.5), (v2, 0.5))), VersionShares(((v1, 1.0),))]
        now_s = read_now()
        state.stream_versions.set_shares(SERVICE, shares, now_s)
        assert not list(stages._list_changes(now_s))
        settled_s = now_s + _stages.JOIN_SETTLE_TIME_S + 0.1
        changes = [change for change, _ in stages._list_changes(settled_s)]
        assert [(item.upstream, item.stage) for item in changes] == [
            (UpstreamId("b0"), Stage.DECODE)
        ]

    run(check())
