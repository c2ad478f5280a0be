"""Guard gateways that start on lists in which another writer has named an entry.

An entry under a name such as `m&x` stood at the end of a page. The store read the name
in the query in its own way, the list was given up, and no request was served.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from bramleyport.fleet import Address
from bramleyport.http1 import Answer, HttpClient
from bramleyport.platform import Listing, ObjectKind, StoreClient
from bramleyport.platform._settings import StoreSettings
from tests.gateway_fleet import PLAIN, GatewayFleet, make_config
from tests.platform_standin import CursorReading, StoreStandin, UpstreamStandin
from tests.platform_standin._http import RawRequest
from tests.platform_standin._store import render_json

Run = Callable[[Coroutine[Any, Any, Any]], Any]
PAGE_SIZE = 5
CHANGE_LIMIT_S = 5.0
ODD_NAMES = ["c&x", "c+x", "c#x", "c%x", "c x", "c%41", "c?x=/", "c\u0663", "c" * 300]
SOUND = [f"e{number}" for number in range(6)]
ODD = st.text(" !#$%&'()*+,/:;<=>?@[]^`{|}\u0663\ud800", min_size=1, max_size=2)
PREFIXES = st.sampled_from(["", "a", "e", "e3", "e30", "m", "z"])
FOREIGN = st.builds(lambda prefix, odd: prefix + odd + "x", PREFIXES, ODD)


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    fleet.store.page_size = PAGE_SIZE
    yield fleet
    run(fleet.stop())


def put_foreign(store: StoreStandin, kind: str, name: str, spec: Any = None) -> None:
    metadata = {"name": name, "revision": store.revision + 1}
    store.put_item(kind, name, {"metadata": metadata, "spec": spec or {"odd": 1}})


def list_members(fleet: GatewayFleet) -> set[str]:
    return {item.upstream for item in fleet.state.members.list_all()}


async def check_served(fleet: GatewayFleet) -> None:
    answer = await fleet.make_caller().call("/read/x")
    assert answer.status == 200


# Guards against no upstream being known because a list can't be continued.
@pytest.mark.parametrize("reading", CursorReading)
@pytest.mark.parametrize("name", ODD_NAMES)
def test_upstreams_behind_a_foreign_name_are_used(
    fleet: GatewayFleet, run: Run, name: str, reading: CursorReading
) -> None:
    async def check() -> None:
        fleet.store.cursor_reading = reading
        # The odd name is the last one of the first page.
        for number in range(PAGE_SIZE - 1):
            put_foreign(fleet.store, "servers", f"a{number}")
        put_foreign(fleet.store, "servers", name)
        await fleet.start()
        await check_served(fleet)

    run(check())


# Guards against what was read being dropped if a whole page has no name to continue.
@pytest.mark.parametrize("reading", CursorReading)
@pytest.mark.parametrize("kind", ["servers", "config", "gateways", "verdicts"])
def test_page_of_foreign_names_keeps_nothing_from_use(
    fleet: GatewayFleet, run: Run, kind: str, reading: CursorReading
) -> None:
    async def check() -> None:
        fleet.store.cursor_reading = reading
        prefix = "z" if kind == "servers" else "a"
        for number in range(2 * PAGE_SIZE):
            put_foreign(fleet.store, kind, f"{prefix}&{number:03}")
        await fleet.start()
        await check_served(fleet)
        fleet.store.put("config", "main", make_config(version=9))
        await fleet.wait_for(
            lambda: fleet.state.configuration.version == 9, CHANGE_LIMIT_S
        )

    run(check())


# Guards against upstreams that stay unknown once the foreign entries are gone.
def test_incomplete_list_is_read_again(fleet: GatewayFleet, run: Run) -> None:
    async def check() -> None:
        fleet.store.cursor_reading = CursorReading.RAW_REFUSED
        names = [f"a&{number}" for number in range(PAGE_SIZE)]
        for name in names:
            put_foreign(fleet.store, "servers", name)
        start = asyncio.create_task(fleet.start())
        await asyncio.sleep(1.0)
        assert not list_members(fleet)
        fleet.store.delete("servers", names[0])
        await asyncio.wait_for(start, CHANGE_LIMIT_S)

    run(check())


# Guards against calls that are sent where the entry of another writer points to.
@pytest.mark.parametrize("name", ODD_NAMES)
def test_entry_under_a_foreign_name_names_no_upstream(
    fleet: GatewayFleet, run: Run, name: str
) -> None:
    async def check() -> None:
        await fleet.start()
        before = list_members(fleet)
        spec = fleet.store.objects["servers", "p0"]["spec"]
        put_foreign(fleet.store, "servers", name, spec)
        sound = UpstreamStandin("sound", service=PLAIN)
        sound.port = 9
        sound.register(fleet.store)
        await fleet.wait_for(lambda: "sound" in list_members(fleet), CHANGE_LIMIT_S)
        assert list_members(fleet) == before | {"sound"}

    run(check())


def make_client(store: StoreStandin) -> StoreClient:
    unused: Any = None
    address = Address("127.0.0.1", 1)
    settings = StoreSettings(address=address, writes_per_s=1, reads_per_s=1)
    client = StoreClient(HttpClient(unused), settings)

    async def answer(request: Any) -> Answer:
        call = RawRequest("GET", request.target.decode(), {}, b"")
        status, document = await store._answer(call)
        return Answer(status, "", [], render_json(document))

    setattr(client, "_run", answer)  # noqa: B010
    return client


async def read_list(
    foreign: set[str], reading: CursorReading, page_size: int
) -> Listing:
    store = StoreStandin()
    store.page_size, store.cursor_reading = page_size, reading
    for name in SOUND:
        store.put("servers", name, {})
    for name in foreign:
        put_foreign(store, "servers", name)
    result = await make_client(store).list_objects(ObjectKind.REGISTRATIONS)
    listing: Listing = result.ok_value
    return listing


# Guards sound entries against any names, whatever the store makes of them.
@settings(max_examples=400, suppress_health_check=list(HealthCheck), deadline=None)
@given(
    foreign=st.sets(FOREIGN, max_size=12),
    reading=st.sampled_from(list(CursorReading)),
    page_size=st.integers(1, 8),
)
def test_names_hide_no_more_than_what_cannot_be_asked_for(
    loop: asyncio.AbstractEventLoop,
    foreign: set[str],
    reading: CursorReading,
    page_size: int,
) -> None:
    listing = loop.run_until_complete(read_list(foreign, reading, page_size))
    found = {item.name for item in listing.objects}
    first = set(sorted([*foreign, *SOUND])[:page_size])
    assert found >= first & set(SOUND)
    if listing.is_complete:
        assert found >= set(SOUND)
    longest = measure_longest_run(foreign)
    if longest < page_size:
        assert found >= set(SOUND)
    if reading is CursorReading.DECODED and not any("\ud800" in n for n in foreign):
        assert listing.is_complete
        assert found >= {name for name in foreign if name.isascii()}


def measure_longest_run(foreign: set[str]) -> int:
    """Return how many foreign names follow one another in the list at most."""
    longest = run = 0
    for name in sorted([*foreign, *SOUND]):
        run = run + 1 if name in foreign else 0
        longest = max(longest, run)
    return longest
