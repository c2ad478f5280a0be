"""Guard lists of several pages against changes between two of them."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from hypothesis import given, settings, strategies as st
from result import Ok

from bramleyport.core import StoreEra
from bramleyport.fleet import Address
from bramleyport.gateway._store_updates import select_unseen
from bramleyport.http1 import HttpClient
from bramleyport.platform import ObjectKind, StoreClient
from bramleyport.platform._settings import StoreSettings
from bramleyport.platform._store import _StoreAnswer

PAGE_SIZE = 3
NAMES = [f"e{number}" for number in range(8)]
KIND = ObjectKind.REGISTRATIONS
# Each is written, or removed, after so many pages were read.
CHANGES = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(NAMES), st.booleans()), max_size=12
)


class PagedStore:
    """Represent a store that changes while its list is read."""

    def __init__(self, changes: list[tuple[int, str, bool]]) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.pages = 0
        self._changes = changes
        for name in NAMES:
            self.change(name, removed=False)

    def change(self, name: str, *, removed: bool) -> None:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        item = {"metadata": metadata, "spec": {"at": self.revision}}
        if not removed:
            self.objects[name] = item
        elif self.objects.pop(name, None) is None:
            return
        self.events.append({"object": item, "deleted": removed})

    def answer(self, path: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(path).query)
        if "watch" in query:
            since = int(query["watch"][0])
            found = [
                event
                for event in self.events
                if event["object"]["metadata"]["revision"] > since
            ]
            return {"events": found, "current_rev": self.revision}
        after = query.get("after", [""])[0]
        names = [name for name in sorted(self.objects) if name > after]
        items = [self.objects[name] for name in names[:PAGE_SIZE]]
        page = {"items": items, "has_more": len(names) > PAGE_SIZE}
        page |= {"current_rev": self.revision}
        self.pages += 1
        for number, name, removed in self._changes:
            if number == self.pages:
                self.change(name, removed=removed)
        return page


def make_client(store: PagedStore) -> StoreClient:
    unused: Any = None
    settings = StoreSettings(
        address=Address("127.0.0.1", 1), writes_per_s=1, reads_per_s=1
    )
    client = StoreClient(HttpClient(unused), settings)
    client.eras.record(StoreEra(1))

    async def call(step: str, method: str, path: str, *_: Any, **__: Any) -> Any:
        body = json.dumps(store.answer(path)).encode()
        return Ok(_StoreAnswer(StoreEra(1), body))

    setattr(client, "_call", call)  # noqa: B010
    return client


async def follow(store: PagedStore) -> dict[str, int]:
    """Return the objects that a list and the changes after it show."""
    client = make_client(store)
    listing = (await client.list_objects(KIND)).ok_value
    found = {item.name: item.document["at"] for item in listing.objects}
    batch = (await client.watch(KIND, listing.revision, 0.0, 1.0)).ok_value
    for change in select_unseen(batch.changes, listing.revision):
        if change.removed:
            found.pop(change.object.name, None)
        else:
            found[change.object.name] = change.object.document["at"]
    return dict(found)


# Guards against an upstream that reports between two pages and whose report is missed.
@settings(max_examples=300)
@given(changes=CHANGES)
def test_changes_between_two_pages_are_not_missed(
    loop: asyncio.AbstractEventLoop, changes: list[tuple[int, str, bool]]
) -> None:
    store = PagedStore(changes)
    found = loop.run_until_complete(follow(store))
    assert store.pages >= len(store.objects) / PAGE_SIZE - 2
    assert found == {name: item["spec"]["at"] for name, item in store.objects.items()}
