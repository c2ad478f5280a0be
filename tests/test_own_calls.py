"""Guard upstreams' connections against calls of the gateway that get no answer."""

from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import UpstreamId
from bramleyport.gateway import _exchange
from bramleyport.gateway._prefill import Prefiller
from tests.gateway_fleet import GatewayFleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# More than the connections that one gateway may open to an upstream.
UNUSED_HANDLES = 300
TIME_LIMIT_S = 0.2


@pytest.fixture
def fleet(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[GatewayFleet]:
    monkeypatch.setattr(_exchange, "CALL_TIMEOUT_S", TIME_LIMIT_S)
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


# Guards against an engine that answers no request to free a handle, and so keeps all
# the connections that its calls need.
def test_unanswered_frees_of_handles_keep_no_connections(
    run: Run, fleet: GatewayFleet
) -> None:
    async def check() -> None:
        engine, gateway = fleet.engines[0], fleet.gateway
        target = gateway.state.members.find(UpstreamId(engine.name))
        engine.frees_hang = True
        unused: Any = None
        prefiller = Prefiller(gateway.state, gateway._exchanger, unused, unused)
        for number in range(UNUSED_HANDLES):
            prefiller.free_handle(target, f"h{number}")
        pool = gateway._exchanger._find_pool(target)
        await fleet.wait_for(lambda: len(pool._open) > 100)
        await fleet.wait_for(lambda: len(pool._open) == 0)

    run(check())
