"""Guard claims against answers of the store that belong to an earlier call."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.claims import Segment, SegmentWritten, WriteInDoubt, WriteSegment
from bramleyport.keyed._claim_store import ClaimStore
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoreFailure,
)
from bramleyport.standins import LOOPBACK
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
LOG = 0
NAME = ObjectName("log-00-00000000")


class RepeatingStore:
    """Accept the first write of a connection and answer the second with a copy.

    The second write is never carried out.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.applied: list[Any] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        name, spec = await self._read_write(reader)
        self.applied.append(spec)
        answer = _render_object(name, len(self.applied), spec)
        writer.write(answer)
        if await self._read_write(reader):
            writer.write(answer)
        await reader.read()
        writer.close()

    async def _read_write(self, reader: asyncio.StreamReader) -> Any:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        lines = head.decode().lower().split("\r\n")
        sizes = [int(li[15:]) for li in lines if li.startswith("content-length:")]
        body = json.loads(await reader.readexactly(sizes[0]))
        return lines[0].split()[1].rpartition("/")[2], body["spec"]


def _render_object(name: str, version: int, spec: Any) -> bytes:
    stored = {"kind": "claims", "name": name, "version": version}
    body = json.dumps({**stored, "revision": version, "spec": spec, "status": {}})
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


@asynccontextmanager
async def run_store() -> AsyncIterator[tuple[RepeatingStore, ObjectClient]]:
    store = RepeatingStore()
    server = await asyncio.start_server(store.serve, LOOPBACK, find_port())
    client = ObjectClient(f"http://{LOOPBACK}:{server.sockets[0].getsockname()[1]}")
    try:
        yield store, client
    finally:
        await client.close()
        server.close()


def test_copy_of_an_earlier_answer_confirms_no_claim(run: Run) -> None:
    """Guards against a claim that counts as recorded, so that its call runs twice."""

    async def check() -> None:
        async with run_store() as (store, client):
            claims = ClaimStore(client)
            events = []
            for op in range(2):
                segment = Segment(write_token=f"t{op}")
                action = WriteSegment(op=op, number=0, expected=op, segment=segment)
                events.append(await claims.write(LOG, action))
            assert events[0] == SegmentWritten(op=0, version=1)
            assert events[1] == WriteInDoubt(op=1)
            assert len(store.applied) == 1

    run(check())


@pytest.mark.parametrize("name", [NAME, ObjectName("log-00-00000001")])
def test_answer_to_another_call_leaves_a_write_in_doubt(
    run: Run, name: ObjectName
) -> None:
    """Guards against a write that is reported as done but was never carried out."""

    async def check() -> None:
        async with run_store() as (store, client):
            first = await client.create(Kind.CLAIMS, NAME, {"n": 1}, {})
            assert isinstance(first, Ok)
            version = ObjectVersion(1)
            second = await client.update(Kind.CLAIMS, name, version, {"n": 2}, {})
            assert isinstance(second, Err)
            assert second.err_value.failure is StoreFailure.UNKNOWN
            assert store.connections == 1
            # Answers on the old connection may stay one call behind.
            third = await client.update(Kind.CLAIMS, name, version, {"n": 3}, {})
            assert isinstance(third, Ok)
            assert store.connections == 2

    run(check())
