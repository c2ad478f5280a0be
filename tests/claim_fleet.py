"""Entries that forward claims over real sockets, with a dispatcher that counts runs."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from result import Ok

from bramleyport.bench._claim_fleet import ClaimNode, start_nodes
from bramleyport.claims import choose_log, make_key
from bramleyport.core import AccountId, RequestId, ServiceName
from bramleyport.keyed._calls import KeyedCalls
from bramleyport.standins import (
    LOOPBACK,
    ObjectApiStandin,
    read_port,
    serve_app,
    stop_listening,
)
from bramleyport.wire import End
from tests.ports import find_port
from tests.test_keyed_calls import CALL, make_work


class CountingDispatcher:
    """Run each call at once and count the runs by request id."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.delay_s = 0.0

    def admit(self, work: Any) -> None:
        return None

    async def run(
        self, work: Any, call: Any, on_chunk: Any, on_restart: Any = None
    ) -> Any:
        self.runs[work.request] += 1
        await asyncio.sleep(self.delay_s)
        await on_chunk(work.request.encode())
        return Ok(End(attempt="a", total=1, digest=b"", status=201))  # type: ignore[arg-type]


class ClaimFleet:
    def __init__(self) -> None:
        self.store = ObjectApiStandin()
        self.dispatcher = CountingDispatcher()
        self.nodes: list[ClaimNode] = []
        self.stopped: list[ClaimNode] = []
        self.keyed: list[KeyedCalls] = []
        self._port: Any = None

    async def start(self, count: int = 3) -> None:
        self._port = await serve_app(self.store.app, find_port())
        url = f"http://{LOOPBACK}:{read_port(self._port)}"
        self.nodes = await start_nodes(count, url)
        self.keyed = [KeyedCalls(n.claims, self.dispatcher) for n in self.nodes]  # type: ignore[arg-type]

    async def stop(self) -> None:
        for keyed in self.keyed:
            await keyed.drain()
        for node in self.nodes:
            if node not in self.stopped:
                await node.stop()
        await stop_listening(self._port)

    async def kill(self, index: int) -> None:
        self.stopped.append(self.nodes[index])
        await self.nodes[index].stop()

    async def post(self, index: int, key: str, answer_s: float = 30.0) -> Any:
        work = make_work(answer_s)
        work = type(work)(**{**fields(work), "request": RequestId(key)})
        return await self.keyed[index].run(key, work, CALL)

    def find_keys(self, sender: int, writer: int, count: int = 6) -> list[str]:
        """Return keys that one entry forwards to another."""
        process = self.nodes[writer].process
        found = []
        for index in range(2000):
            key = f"k-{index}"
            scoped = make_key(AccountId("a"), ServiceName("orders"), key)
            if self.nodes[sender].peers.find_writer(choose_log(scoped)) == process:
                found.append(key)
        return found[:count]

    def count_appends(self) -> int:
        return self.store.store.calls["put"]


def fields(work: Any) -> dict[str, Any]:
    return {name: getattr(work, name) for name in type(work).__dataclass_fields__}


def check_answers(fleet: ClaimFleet, keys: list[str], answers: list[Any]) -> None:
    """Check that each key ran once and got its own answer."""
    for key, answer in zip(keys, answers, strict=True):
        assert isinstance(answer, Ok), answer
        assert answer.ok_value.body == key.encode()
        assert fleet.dispatcher.runs[key] == 1


async def post_all(fleet: ClaimFleet, index: int, keys: list[str]) -> list[Any]:
    return list(await asyncio.gather(*(fleet.post(index, key) for key in keys)))


def intercept(node: ClaimNode, should_drop: Callable[[Any, Any], bool]) -> list[Any]:
    """Drop the claim messages for which a test asks, and return the list of them."""
    dropped: list[Any] = []

    def handle(connection: Any, message: Any) -> None:
        if should_drop(connection, message):
            dropped.append((connection, message))
        else:
            node.peers.handle(connection, message)

    node.hub.on_claims = handle
    return dropped
