"""Test data and connections for the capacity measurements."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from bramleyport.claims import ClaimIndex, ClaimState, LogEntry
from bramleyport.core import (
    AccountId,
    BlockIndex,
    CachedPrefixes,
    EngineLoad,
    ModelName,
    PrefixBlock,
    ProcessId,
    Rank,
    RegionName,
    RequestId,
    Revision,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.transport import Connection, Identity, listen, open_connection

MODEL = ModelName("inspector-8b")


def make_views(count: int, blocks: int) -> list[UpstreamView]:
    """Return views of live engines with a prefix cache each."""
    return [
        UpstreamView(
            upstream=UpstreamId(f"engine-{index}"),
            kind=ServiceKind.LANGUAGE,
            zone=ZoneName(f"zone-{index % 3}"),
            region=RegionName("region"),
            models=frozenset({MODEL}),
            load=EngineLoad(
                running=index % 7, wait_s=dict.fromkeys(Rank, 0.01 * (index % 5))
            ),
            cached=CachedPrefixes(blocks=make_blocks(blocks, index * blocks)),
        )
        for index in range(count)
    ]


def make_blocks(count: int, first: int = 0) -> BlockIndex:
    """Return the set that an entry uses for the cached blocks of one engine."""
    return BlockIndex(
        PrefixBlock((first + block).to_bytes(8, "big")) for block in range(count)
    )


def make_work(index: int) -> Work:
    """Return a request of a service with three ranks."""
    return Work(
        request=RequestId(f"request-{index}"),
        account=AccountId(f"account-{index % 100}"),
        service=ServiceName("inspections"),
        kind=ServiceKind.LANGUAGE,
        rank=list(Rank)[index % 3],
        targets=Targets(first_token_s=3.0, between_tokens_s=0.1, answer_s=60.0),
        arrived_s=100.0 + index,
        model=MODEL,
        prompt_tokens=3000,
        max_output_tokens=200,
        prefix_blocks=tuple(
            PrefixBlock((index * 3 + part).to_bytes(8, "big")) for part in range(3)
        ),
    )


def make_documents(count: int) -> tuple[bytes, ...]:
    """Return record documents."""
    ranks = {
        rank.value: {"answer_s": 20, "first_token_s": 1, "guaranteed_share": 0.2}
        for rank in Rank
    }
    return tuple(
        json.dumps(
            {
                "schema": "v2",
                "name": f"service-{index}",
                "model": {"name": MODEL, "versions": ["1"], "adapters": ["a"]},
                "ranks": ranks,
            }
        ).encode()
        for index in range(count)
    )


def make_claims(count: int) -> tuple[LogEntry, ...]:
    """Return log entries that claim distinct keys."""
    return tuple(
        LogEntry(
            state=ClaimState.CLAIMED,
            key=f"{index:032x}",
            attempt="a" * 16,
            at_s=1_700_000_000.123,
            body="0" * 16,
            answer_by_s=1_700_000_020.123,
        )
        for index in range(count)
    )


def make_index(count: int) -> ClaimIndex:
    """Return an index of distinct claims."""
    index = ClaimIndex()
    for entry in make_claims(count):
        index.apply(entry, 0, entry.at_s)
    return index


@asynccontextmanager
async def open_idle_connections(count: int) -> AsyncIterator[None]:
    """Keep idle connections open between a server and clients in this process."""
    identity = Identity(
        process=ProcessId("bench"),
        zone=ZoneName("zone"),
        region=RegionName("region"),
        secret=b"bench",
    )
    server = await listen(
        "127.0.0.1",
        0,
        identity,
        lambda: Revision(1),
        lambda connection: None,
        lambda connection, message: None,
    )
    port = next(iter(server.sockets)).getsockname()[1]
    uri = f"ws://127.0.0.1:{port}"
    clients: list[Connection] = [
        await open_connection(uri, identity, lambda: Revision(1)) for _ in range(count)
    ]
    tasks = [
        asyncio.ensure_future(client.run(lambda connection, message: None))
        for client in clients
    ]
    try:
        yield
    finally:
        await asyncio.gather(*[client.close("done") for client in clients])
        await asyncio.gather(*tasks, return_exceptions=True)
        server.close()
        await server.wait_closed()


async def measure_request_cpu(count: int, tokens: int) -> float:
    """Return the processor time of requests through all processes of the demo."""
    from bramleyport.cli._demo import Demo
    from bramleyport.transport import make_http_client

    demo = Demo(0, 1)
    await demo.start()
    client, _ = make_http_client(persistent=False)
    url = f"http://127.0.0.1:{demo.entries[0].port}/v1/completions"
    body = json.dumps(
        {"model": "inspections", "prompt": "a", "max_tokens": tokens, "stream": True}
    ).encode()
    loop = asyncio.get_running_loop()

    async def call() -> None:
        response = await client.post(url, data=body).asFuture(loop)
        await response.content().asFuture(loop)

    try:
        await call()
        started = time.process_time()
        await _run_in_groups(call, count)
        return time.process_time() - started
    finally:
        await demo.stop()


async def _run_in_groups(
    call: Callable[[], Coroutine[Any, Any, None]], count: int
) -> None:
    for start in range(0, count, 10):
        group = range(start, min(count, start + 10))
        await asyncio.gather(*[call() for _ in group])
