"""Guard that processes started in a store outage get records from peers."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from bramleyport.composition import build_entry, build_identity
from bramleyport.core import Revision
from bramleyport.transport import Connection, open_connection
from bramleyport.wire import Heartbeat, Message, RecordsRequest, RecordsSnapshot
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.02)


def build_third(demo: Any, seeds: tuple[str, ...] = ()) -> Any:
    settings = demo.entries[0].settings
    process = replace(settings.process, process="entry-9", seeds=seeds)
    return build_entry(replace(settings, process=process), 9)


def read_ready(entry: Any) -> Coroutine[Any, Any, Any]:
    return fetch(f"http://127.0.0.1:{entry.port}/readyz")


def test_entry_started_in_an_outage_is_ready_through_a_seed(
    demo: Any, run: Run
) -> None:
    async def check() -> None:
        demo.store.faults.outage = True
        entry = build_third(demo, (f"127.0.0.1:{demo.entries[1].peer_port}",))
        await entry.start()
        await wait_until(lambda: len(entry.list_upstreams()) == len(demo.agents))
        assert (await read_ready(entry)).status == 200
        assert entry.records.revision == demo.entries[1].records.revision
        await entry.stop()

    run(check())


def test_agents_send_records_to_an_entry_when_no_other_entry_is_left(
    demo: Any, run: Run
) -> None:
    async def check() -> None:
        revision = demo.entries[0].records.revision
        agent = demo.agents[0]
        await wait_until(lambda: agent._hub.read_revision() == revision)
        demo.store.faults.outage = True
        for entry in demo.entries:
            await entry.stop()
        demo.entries = [build_third(demo, (f"127.0.0.1:{agent.port}",))]
        await demo.entries[0].start()
        await wait_until(lambda: len(demo.entries[0].list_upstreams()) > 1)
        assert demo.entries[0].records.revision == revision

    run(check())


def test_entry_without_store_and_records_is_not_ready(demo: Any, run: Run) -> None:
    async def check() -> None:
        demo.store.faults.outage = True
        entry = build_third(demo)
        calls = demo.store.store.calls["list"]
        await entry.start()
        await wait_until(lambda: demo.store.store.calls["list"] >= calls + 3)
        assert (await read_ready(entry)).status == 503
        identity = build_identity(demo.entries[0].settings.process)
        peer = await open_connection(
            f"ws://127.0.0.1:{entry.peer_port}", identity, lambda: Revision(0)
        )
        held = demo.entries[0].records.document_set

        def answer(connection: Connection, message: Message) -> None:
            if isinstance(message, RecordsRequest):
                part = held.build_part(message.after)
                connection.post(RecordsSnapshot(records=part))

        running = asyncio.ensure_future(peer.run(answer))
        peer.post(Heartbeat(sequence=1, revision=held.revision))
        await wait_until(lambda: entry.explain_unready() is None)
        assert (await read_ready(entry)).status == 200
        await peer.close("done")
        await running
        await entry.stop()

    run(check())
