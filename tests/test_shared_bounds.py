"""Guard bounds that all gateways share against what a single one counts."""

from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import GatewayRoster
from bramleyport.retries import RepeatBudget
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config

Run = Callable[[Coroutine[Any, Any, Any]], Any]

MAX_CONNECTIONS = {
    service["name"]: service["max_conns"] for service in make_config()["services"]
}


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def list_gateways(fleet: GatewayFleet, count: int) -> None:
    """Make the gateway believe that the store lists some others."""
    others = {ProcessId(f"other-{number}") for number in range(count - 1)}
    fleet.state.roster.record_listed(others, 0.0)


@pytest.mark.parametrize("gateways", [1, 5, 30, 100])
def test_connections_of_all_gateways_stay_within_the_limit_of_an_upstream(
    fleet: GatewayFleet, gateways: int
) -> None:
    """Guards against a least number of connections that many gateways add up."""
    list_gateways(fleet, gateways)
    exchanger = fleet.gateway._exchanger
    target = fleet.state.members.find(UpstreamId("p0"))
    each = exchanger._find_pool(target).limits.max_connections
    assert each >= 1
    assert each * gateways <= MAX_CONNECTIONS[PLAIN]


def test_connection_limit_follows_gateways_that_join(fleet: GatewayFleet) -> None:
    """Guards against the limit of a gateway that was the first to start."""
    exchanger = fleet.gateway._exchanger
    target = fleet.state.members.find(UpstreamId("p0"))
    alone = exchanger._find_pool(target).limits.max_connections
    list_gateways(fleet, 10)
    assert exchanger._find_pool(target).limits.max_connections <= alone / 10


def test_gateway_takes_no_shared_repeats_before_it_knows_the_others() -> None:
    """Guards against gateways that start together and each take all repeats."""
    roster = GatewayRoster(ProcessId("g0"))
    assert roster.count is None
    budget = RepeatBudget(0.2, 50, 10.0)
    assert not budget.take(1.0, roster.count)
    for _ in range(10):
        budget.record_request(1.0)
    # The part that follows from its own requests is its own.
    assert budget.take(1.0, roster.count)
    roster.record_listed(set(), 1.0)
    assert roster.count == 1


def test_gateways_that_are_heard_replace_a_list_that_cannot_be_read() -> None:
    """Guards against a gateway without shares until an outage of the store ends."""
    roster = GatewayRoster(ProcessId("g0"))
    roster.drop_silent(0.0)
    roster.drop_silent(30.0)
    # Nobody knows this gateway, or it is alone.
    assert roster.count is None
    roster.record_heard(ProcessId("g1"), 31.0)
    roster.drop_silent(31.0)
    assert roster.count == 2


def test_silent_gateway_counts_until_it_may_be_gone() -> None:
    roster = GatewayRoster(ProcessId("g0"))
    other = ProcessId("g1")
    roster.record_listed({other}, 0.0)
    roster.drop_silent(59.0)
    assert roster.count == 2
    roster.drop_silent(61.0)
    assert roster.count == 1
    # Its entry is still listed, as no gateway removes the entry of another.
    roster.record_listed({other}, 62.0)
    assert roster.count == 1
    roster.record_heard(other, 63.0)
    assert roster.count == 2
    roster.record_left(other, 63.0)
    roster.record_listed({other}, 64.0)
    assert roster.count == 1
