"""Test that batched messages keep their order and go only to peers that know them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import cbor2
import pytest
from websockets.asyncio.client import connect

from bramleyport.core import AttemptId
from bramleyport.transport import open_connection
from bramleyport.transport._connection import MAX_BATCH_BYTES
from bramleyport.wire import PROTOCOL_MAX, PROTOCOL_MIN, Frame
from tests.test_transport_faults import (
    handshake,
    make_identity,
    no_revision,
    serving,
    wait_until,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# Small messages, one that nearly fills a batch, and some larger than a batch.
PAYLOAD_SIZES = [
    5,
    5,
    MAX_BATCH_BYTES - 100,
    5,
    3 * MAX_BATCH_BYTES,
    3 * MAX_BATCH_BYTES,
    5,
    *[9] * 200,
]


def make_frames() -> list[Frame]:
    return [
        Frame(attempt=AttemptId("a"), number=number, payload=b"x" * size)
        for number, size in enumerate(PAYLOAD_SIZES)
    ]


def test_batches_keep_the_order_of_messages_of_any_size(run: Run) -> None:
    async def check() -> None:
        async with serving() as endpoint:
            peer = await open_connection(
                endpoint.uri, make_identity("peer"), no_revision
            )
            task = asyncio.ensure_future(peer.run(lambda *_: None))
            for frame in make_frames():
                peer.post(frame)
            await peer.flush()
            await peer.close("done")
            await task
            await wait_until(lambda: len(endpoint.closed) == 1)
            # Closing the connection after a flush must not lose the last, buffered
            # message.
            received = [m for m in endpoint.received if isinstance(m, Frame)]
            assert received == make_frames()

    run(check())


@pytest.mark.parametrize("version", [PROTOCOL_MIN, PROTOCOL_MAX])
def test_batches_are_sent_only_if_the_agreed_version_has_them(
    run: Run, version: int
) -> None:
    async def check() -> None:
        async with serving() as endpoint, connect(endpoint.uri) as socket:
            await handshake(socket, high=version)
            await wait_until(lambda: len(endpoint.connections) == 1)
            frames = make_frames()[-50:]
            for frame in frames:
                endpoint.connections[0].post(frame)
            received_numbers: list[Any] = []
            while not received_numbers or received_numbers[-1] != frames[-1].number:
                value = cbor2.loads(bytes(await socket.recv()))  # type: ignore[arg-type]
                batched = value[0] == 0
                assert not (batched and version == PROTOCOL_MIN)
                pairs = value[1] if batched else [value]
                received_numbers += [
                    p[1].get("number", p[1].get(1)) for p in pairs if is_frame(p)
                ]
            assert received_numbers == [frame.number for frame in frames]

    run(check())


def is_frame(pair: list[Any]) -> bool:
    return pair[0] in ("frame", 3)
