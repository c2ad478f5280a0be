"""Test the discovery of pools that the host list does not contain."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bramleyport.cli._demo import ENGINES
from bramleyport.core import ProcessId, RegionName, Revision, ZoneName
from bramleyport.links._agent_links import AgentLinks
from bramleyport.links._hub import PeerHub
from bramleyport.membership import Host, ProcessRole
from bramleyport.replication import HostStore, RecordStore, Replica
from bramleyport.routing import SubsetSelector
from bramleyport.transport import Identity
from tests.test_race import make_hosts

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def list_demo_hosts(demo: Any) -> list[Host]:
    return [
        Host(
            process=ProcessId(agent.settings.process.process),
            role=ProcessRole.AGENT,
            address="127.0.0.1",
            port=agent.port,
            zone=ZoneName("zone-0"),
            region=RegionName("region-0"),
        )
        for agent in demo.agents
    ]


def make_links(process: str) -> AgentLinks:
    identity = Identity(
        process=ProcessId(process),
        zone=ZoneName("zone-0"),
        region=RegionName("region-0"),
        secret=b"",
    )
    hub = PeerHub(identity, Replica(RecordStore(), HostStore()))
    return AgentLinks(
        identity, lambda: Revision(0), lambda *_: None, hub, SubsetSelector(2)
    )


def test_rare_service_is_found_without_its_pool_in_the_host_list(
    demo: Any, run: Run
) -> None:
    async def check() -> None:
        for number in range(6):
            links = make_links(f"entry-{number}")
            links.apply_hosts(list_demo_hosts(demo))
            while not any(view.services for view in links.list_views()):
                await asyncio.sleep(0.02)
            assert len(links._links) <= ENGINES + 1
            await links.close()

    run(check())


def test_search_ends_when_no_agent_answers(run: Run) -> None:
    async def check() -> None:
        links = make_links("entry-0")
        links.apply_hosts(make_hosts(6))
        while links._discovery._workers:
            await asyncio.sleep(0.02)
        assert not links._discovery._queue
        await links.close()

    run(check())
