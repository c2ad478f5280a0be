"""Guard that records reach all processes although few of them watch the store."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from bramleyport.cli._demo import RECORDS
from bramleyport.composition import build_entry
from bramleyport.core import ServiceName

Run = Callable[[Coroutine[Any, Any, Any]], Any]


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.02)


def count_watching(entries: list[Any]) -> int:
    return sum(bool(entry._follower._tasks) for entry in entries)


def test_two_entries_of_a_zone_watch_and_all_processes_follow(
    demo: Any, run: Run
) -> None:
    async def check() -> None:
        first = demo.entries[0].settings
        for index in range(3):
            process = replace(first.process, process=f"entry-a{index}")
            entry = build_entry(replace(first, process=process, http_port=0), index)
            await entry.start()
            demo.entries.append(entry)
        demo._publish_hosts()
        same_zone = [demo.entries[0], *demo.entries[2:]]
        await wait_until(lambda: count_watching(same_zone) == 2)
        await wait_until(
            lambda: all(
                len(entry._hub.membership.hosts) == len(demo.agents) + 5
                for entry in demo.entries
            )
        )
        document = {**RECORDS["inspections"], "name": "added"}
        demo.store.store.put("services", "added", {"spec": document})
        revision = demo.store.store.revision
        name = ServiceName("added")
        await wait_until(lambda: all(name in e.records.records for e in demo.entries))
        await wait_until(
            lambda: all(a._hub.read_revision() >= revision for a in demo.agents)
        )
        assert count_watching(same_zone) == 2

    run(check())
