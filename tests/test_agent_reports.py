"""Test that entries learn the state of an engine whose agent reads it with faults."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from bramleyport.core import UpstreamState, UpstreamView
from bramleyport.standins import LOOPBACK
from bramleyport.upstreams import EngineClient, UpstreamError, _engine
from tests.fleet import Fleet
from tests.ports import find_port

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


@pytest.mark.parametrize("report", [{}, [], {"role": "chef"}, None])
def test_malformed_load_report_does_not_end_the_reports(
    fleet: Fleet, run: Run, report: Any
) -> None:
    """Guards against an agent that never reports again after one faulty answer."""
    agent = fleet.agents[0]
    read_load = agent._upstream.read_load
    faulty = [report]

    async def read_faulty_load() -> Any:
        return faulty.pop() if faulty else await read_load()

    async def scenario() -> None:
        agent._upstream.read_load = read_faulty_load
        await fleet.wait(lambda: not faulty)
        await wait_for_reports(fleet, 3)
        assert get_view(fleet).state is UpstreamState.LIVE

    run(scenario())


@pytest.mark.parametrize("events", [{}, {"events": [{}]}, {"events": [3]}, None])
def test_malformed_cache_events_do_not_end_the_reports(
    fleet: Fleet, run: Run, events: Any
) -> None:
    """Guards against an agent that never reports again after one faulty answer."""
    http = fleet.agents[0]._upstream._http
    request_json = http.request_json
    faulty = [events]

    async def request_faulty_events(method: str, path: str, body: bytes = b"") -> Any:
        if path.startswith("/cache-events") and faulty:
            return faulty.pop()
        return await request_json(method, path, body)

    async def scenario() -> None:
        http.request_json = request_faulty_events
        await fleet.wait(lambda: not faulty)
        await wait_for_reports(fleet, 3)
        assert get_view(fleet).state is UpstreamState.LIVE

    run(scenario())


def test_read_of_an_engine_that_never_answers_fails(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an agent that waits for a load report for good."""
    monkeypatch.setattr(_engine, "READ_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: None, LOOPBACK, find_port()
        )
        port = server.sockets[0].getsockname()[1]
        client = EngineClient(f"http://{LOOPBACK}:{port}")
        with pytest.raises(UpstreamError):
            await asyncio.wait_for(client.read_load(), 5.0)
        server.close()

    run(scenario())
