"""Guard calls, peers and stops beside a gateway that no datagram can be sent to."""

import asyncio
import socket
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import LOOPBACK

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# The kernel refuses to send to it without a permission, and nothing leaves the host.
UNSENDABLE = {"address": "255.255.255.255:7"}


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    yield fleet
    run(fleet.stop())


# A planned stop ended before it had removed its entry and closed its connections.
def test_stop_completes_though_a_peer_cannot_be_sent_to(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> bool:
        fleet.store.put("gateways", "odd", UNSENDABLE)
        await fleet.start()
        await asyncio.sleep(1.0)
        fleet.state.settings = replace(fleet.state.settings, grace_s=1.0)
        await fleet.gateway.stop()
        return ("gateways", fleet.settings["node"]) in fleet.store.objects

    assert run(check()) is False


# A long prompt is reported to peers while its call is served.
def test_gateway_entry_that_cannot_be_sent_to_costs_no_stream(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> list[int]:
        fleet.store.put("gateways", "odd", UNSENDABLE)
        await fleet.start()
        await asyncio.sleep(1.0)
        headers = {
            "Model": "m",
            "Token-Counts": "1400,20",
            "Prompt-Prefix": "5c1e07a2:1400",
        }
        statuses = []
        for _ in range(5):
            answer = await fleet.make_caller().call("/stream/x", body=b"b", **headers)
            statuses.append(answer.status)
        return statuses

    assert run(check()) == [200] * 5


# The peers behind the odd one hear nothing of this gateway.
def test_gateway_entry_that_cannot_be_sent_to_costs_no_other_peer(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> bytes:
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind((LOOPBACK, 0))
        peer.setblocking(False)
        address = f"{LOOPBACK}:{peer.getsockname()[1]}"
        fleet.store.put("gateways", "a-odd", UNSENDABLE)
        fleet.store.put("gateways", "z-peer", {"address": address})
        await fleet.start()
        async with asyncio.timeout(5.0):
            data = await asyncio.get_running_loop().sock_recv(peer, 65536)
        peer.close()
        return data

    assert run(check())


# A repeated failure to apply the list must not write the entry again each half second.
def test_gateway_entry_that_cannot_be_sent_to_causes_no_flood_of_writes(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> list[str]:
        fleet.store.put("gateways", "odd", UNSENDABLE)
        await fleet.start()
        await asyncio.sleep(4.0)
        return [call for call in fleet.store.calls if "gateways" in call]

    calls = run(check())
    assert len(calls) <= 6


# A removed upstream is forgotten in full, whatever a notification of peers does.
def test_calls_go_on_after_an_upstream_ends_beside_an_odd_peer(
    fleet: GatewayFleet, run: Run
) -> None:
    async def check() -> list[int]:
        fleet.store.put("gateways", "odd", UNSENDABLE)
        await fleet.start()
        await asyncio.sleep(0.7)
        await fleet.plain[0].stop()
        calls = [fleet.make_caller().call("/read/x", body=b"b") for _ in range(8)]
        return [(await call).status for call in calls]

    assert run(check()) == [200] * 8
