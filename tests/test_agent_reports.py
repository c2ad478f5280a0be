"""Test that entries learn the state of an engine whose agent reads it with faults."""

from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.core import UpstreamState, UpstreamView
from tests.fleet import Fleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run) -> Iterator[Fleet]:
    fleet = Fleet()
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def get_view(fleet: Fleet) -> UpstreamView:
    (view,) = fleet.entries[0]._links.list_views()
    return view  # type: ignore[no-any-return]


async def wait_for_reports(fleet: Fleet, count: int) -> None:
    """Wait until the entry has received a number of load reports."""
    times_s = {get_view(fleet).load.taken_s}

    def has_received() -> bool:
        times_s.add(get_view(fleet).load.taken_s)
        return len(times_s) > count

    await fleet.wait(has_received)


def test_end_of_a_change_during_a_read_of_the_cache_is_not_overwritten(
    fleet: Fleet, run: Run
) -> None:
    """Guards against an engine that entries never use again after a role change."""
    agent = fleet.agents[0]
    read_load = agent._upstream.read_load
    read_cache_events = agent._upstream.read_cache_events
    steps: list[str] = []

    async def read_load_as_a_change_begins() -> Any:
        if not steps:
            steps.append("begun")
            agent._gate.begin_change()
        return await read_load()

    async def read_events_as_the_change_ends(since: int) -> Any:
        if steps == ["begun"]:
            steps.append("ended")
            agent._gate.end_change()
        return await read_cache_events(since)

    async def scenario() -> None:
        agent._upstream.read_load = read_load_as_a_change_begins
        agent._upstream.read_cache_events = read_events_as_the_change_ends
        await fleet.wait(lambda: steps == ["begun", "ended"])
        await wait_for_reports(fleet, 3)
        assert get_view(fleet).state is UpstreamState.LIVE

    run(scenario())
