"""Guard the list of gateways against a store that is restored from a copy."""

import asyncio
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision
from bramleyport.fleet import (
    Address,
    ConfigVersion,
    GatewayRoster,
    SharesKnowledge,
    StreamVersions,
)
from bramleyport.gateway import _peer_directory, _repair_queue
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_directory import PeerDirectory
from bramleyport.gateway._peers import PeerLink
from bramleyport.platform import (
    Listing,
    ObjectName,
    StoredObject,
    StoreError,
    StoreFailure,
    encode_gateway,
)
from bramleyport.platform._store_eras import StoreEras

Run = Callable[[Coroutine[Any, Any, Any]], Any]
OWN, OTHER, LEAVER = ProcessId("g0"), ProcessId("g1"), ProcessId("g2")
PORT = 9_000


def make_address(process: ProcessId) -> Address:
    return Address(f"127.0.0.{1 + int(process[1:])}", PORT)


class GatewayList:
    """Represent a store with the entries of gateways."""

    def __init__(self, *listed: ProcessId) -> None:
        self.eras = StoreEras()
        self.era = StoreEra(1)
        self.number = 10
        self.entries: dict[str, Any] = {}
        self.calls: list[str] = []
        for process in listed:
            self.put(process)

    def put(self, process: ProcessId) -> None:
        self.entries[process] = encode_gateway(make_address(process))

    def restore(self, *listed: ProcessId) -> None:
        """Begin a new era with other entries; the answer to some call tells it."""
        self.era = StoreEra(self.era + 1)
        self.entries = {}
        for process in listed:
            self.put(process)
        self.eras.record(self.era)

    async def list_objects(self, kind: Any, *, stale: bool = False, **_: Any) -> Any:
        self.calls.append("stale" if stale else "fresh")
        self.eras.record(self.era)
        objects = tuple(self.make_object(name) for name in self.entries)
        return Ok(Listing(self.revision, objects))

    async def create(self, kind: Any, name: ObjectName, document: Any) -> Any:
        self.calls.append("create")
        if name in self.entries:
            failure = StoreFailure.CONFLICT
            return Err(StoreError(failure=failure, step="create", reason=""))
        return await self.replace(kind, name, document)

    async def replace(self, kind: Any, name: ObjectName, document: Any) -> Any:
        self.entries[name] = document
        return Ok(self.make_object(name))

    async def remove(self, kind: Any, name: ObjectName) -> Any:
        self.calls.append(f"remove {name}")
        self.entries.pop(name, None)
        return Ok(None)

    @property
    def revision(self) -> StoreRevision:
        return StoreRevision(self.era, Revision(self.number))

    def make_object(self, name: str) -> StoredObject:
        return StoredObject(
            name=ObjectName(name), revision=self.revision, document=self.entries[name]
        )


def make_link(process: ProcessId = OWN) -> tuple[Any, PeerLink]:
    """Return the state and the link of a gateway that hears no other yet."""
    address = make_address(process)
    state: Any = SimpleNamespace(
        settings=SimpleNamespace(
            process=process,
            host=address.host,
            peer_port=address.port,
            first_start=False,
        ),
        roster=GatewayRoster(process),
        rate_limiter=SimpleNamespace(list_notices=list),
        members=SimpleNamespace(list_leaving=list),
        stream_versions=StreamVersions(),
        list_ended=lambda now_s: [],
        shares_knowledge=SharesKnowledge(),
        version=ConfigVersion(0),
    )
    tracker: Any = SimpleNamespace(drop_origin=lambda _: None)
    guard: Any = SimpleNamespace(list_known=list)
    return state, PeerLink(state, tracker, guard)


def make_directory(
    store: GatewayList, process: ProcessId = OWN
) -> tuple[Any, PeerLink, PeerDirectory]:
    state, link = make_link(process)
    client: Any = store
    return state, link, PeerDirectory(state.settings, client, link, state.roster)


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(3.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def shorten_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_repair_queue, "TURN_S", 0.2)


def test_entry_that_the_copy_lacks_is_written_again_at_once(run: Run) -> None:
    """Guards against a running gateway that starting ones don't find in the list."""

    async def check() -> None:
        store = GatewayList(OTHER)
        *_, directory = make_directory(store)
        running = asyncio.ensure_future(directory.run())
        await wait_for(lambda: store.calls[-2:] == ["create", "fresh"])
        store.calls.clear()
        store.restore(OTHER)
        await wait_for(lambda: OWN in store.entries)
        assert store.calls[:2] == ["fresh", "create"]
        running.cancel()

    run(check())


def test_entry_is_written_again_though_no_other_call_tells_the_era(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an entry that is missed only because it was there once."""
    monkeypatch.setattr(_peer_directory, "LISTING_INTERVAL_S", 0.05)

    async def check() -> None:
        store = GatewayList()
        *_, directory = make_directory(store)
        running = asyncio.ensure_future(directory.run())
        await wait_for(lambda: OWN in store.entries)
        await asyncio.sleep(0.1)
        store.entries.clear()
        await wait_for(lambda: OWN in store.entries)
        running.cancel()

    run(check())


def test_gateway_that_left_writes_no_entry_again(run: Run) -> None:
    """Guards against an entry of a stopped gateway, written while it stops."""

    async def check() -> None:
        store = GatewayList()
        *_, directory = make_directory(store)
        running = asyncio.ensure_future(directory.run())
        await wait_for(lambda: OWN in store.entries)
        await directory.leave()
        assert OWN not in store.entries
        store.restore()
        await asyncio.sleep(0.1)
        assert OWN not in store.entries
        running.cancel()

    run(check())


def test_gateway_that_left_is_removed_again_by_one(run: Run) -> None:
    """Guards against shares for a gateway that the copy lists though it has left."""

    async def check() -> None:
        store = GatewayList(OWN, OTHER, LEAVER)
        fleet = [make_directory(store, process) for process in (OWN, OTHER)]
        running = [asyncio.ensure_future(item[2].run()) for item in fleet]
        await wait_for(lambda: all(item[0].roster.count == 3 for item in fleet))
        for state, *_ in fleet:
            state.roster.record_left(LEAVER, read_now())
        store.entries.pop(LEAVER)
        for _, _, directory in fleet:
            await directory._read_list(stale=False)
        store.restore(OWN, OTHER, LEAVER)
        await wait_for(lambda: LEAVER not in store.entries)
        assert all(item[0].roster.count == 2 for item in fleet)
        await asyncio.sleep(0.6)
        assert store.calls.count(f"remove {LEAVER}") == 1
        assert set(store.entries) == {OWN, OTHER}
        for task in running:
            task.cancel()

    run(check())


def test_gateway_that_left_and_runs_again_keeps_its_entry(run: Run) -> None:
    """Guards against the removal of a gateway that has started again."""

    async def check() -> None:
        store = GatewayList(OWN, LEAVER)
        state, _, directory = make_directory(store)
        running = asyncio.ensure_future(directory.run())
        await wait_for(lambda: state.roster.count == 2)
        state.roster.record_left(LEAVER, read_now())
        state.roster.record_heard(LEAVER, read_now())
        store.restore(OWN, LEAVER)
        await asyncio.sleep(0.6)
        assert LEAVER in store.entries
        assert state.roster.count == 2
        running.cancel()

    run(check())


def test_running_gateway_that_the_copy_lacks_still_gets_updates(run: Run) -> None:
    """Guards against updates that a gateway misses until it is listed again."""

    async def check() -> None:
        _, link = make_link()
        sent: list[Any] = []
        link.transport = SimpleNamespace(write=lambda data, to: sent.append(to))
        address = make_address(OTHER)
        link.set_addresses({OTHER: address, LEAVER: make_address(LEAVER)})
        link._record_peer(OTHER, (address.host, address.port), read_now())
        link.set_addresses({}, restored=True)
        sent.clear()
        link.announce()
        assert sent == [(address.host, address.port)]

    run(check())


def test_listed_gateway_that_has_left_is_counted_only_after_it_is_heard() -> None:
    """Guards against a share for a gateway that only a copy of the store lists."""
    roster = GatewayRoster(OWN)
    roster.record_listed({LEAVER}, 0.0)
    roster.record_left(LEAVER, 10.0)
    roster.record_listed(set(), 15.0)
    roster.record_listed({LEAVER}, 20.0, restored=True)
    assert roster.count == 1
    roster.record_listed({LEAVER}, 35.0)
    assert roster.count == 1
    roster.record_heard(LEAVER, 36.0)
    assert roster.count == 2
