"""Guard lists and changes against entries with brackets too many or too few."""

import json
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from bramleyport.core import Revision, StoreEra, StoreRevision
from bramleyport.platform import NamelessObject
from bramleyport.platform._objects import decode_changes, decode_page

ERA = StoreEra(3)
NAMES = [f"u{number}" for number in range(6)]
TEXT = st.text(alphabet='{}[]",:\\a1 \u00e9', max_size=8)
SPECS = st.dictionaries(TEXT, TEXT | st.integers(), max_size=3)
# What another writer left as its spec; each is no JSON.
UNBALANCED = st.sampled_from(
    [
        b'{"state":"ready","addr":',
        b'{"state":"ready"',
        b'{"a":[1,{"b":2}',
        b'{"state":"ready"}}',
        b'{"state":"ready"}]',
        b'{"state":"ready"}]}',
        b"[[[[",
        b"}}}}",
        b'{"a":"]},{',
        b'"',
        b'{"a":"\\',
        b'{"a":"\xff',
        b"",
    ]
)


def make_entry(name: str, spec: bytes) -> bytes:
    metadata = json.dumps({"name": name, "revision": 5}).encode()
    return b'{"metadata": %b, "spec": %b, "status": null}' % (metadata, spec)


def join_entries(entries: list[bytes], *, compact: bool) -> bytes:
    return (b"," if compact else b", ").join(entries)


# Guards against upstreams whose reports are not read while one entry can't be read.
@settings(max_examples=400)
@given(st.lists(SPECS, max_size=6), st.integers(0, 6), UNBALANCED, st.booleans())
@pytest.mark.parametrize("watch", [False, True])
def test_entries_beside_an_unbalanced_one_are_read(
    watch: bool, specs: list[dict[str, Any]], index: int, junk: bytes, compact: bool
) -> None:
    names = NAMES[: len(specs)]
    entries = [
        make_entry(name, json.dumps(spec, ensure_ascii=False).encode())
        for name, spec in zip(names, specs, strict=True)
    ]
    entries.insert(index, make_entry("odd", junk))
    if watch:
        entries = [b'{"object": %b, "deleted": false}' % entry for entry in entries]
        body = b'{"events": [%b], "current_rev": 9}'
        batch = decode_changes(body % join_entries(entries, compact=compact), ERA)
        found, nameless = [item.object for item in batch.changes], batch.nameless
        revision = batch.revision
    else:
        body = b'{"items": [%b], "has_more": true, "current_rev": 9}'
        page = decode_page(body % join_entries(entries, compact=compact), ERA)
        found, nameless = list(page.listing.objects), page.listing.nameless
        revision = page.listing.revision
        assert page.has_more
    assert revision == StoreRevision(ERA, Revision(9))
    odd = [item for item in found if item.name == "odd"]
    assert len(odd) + len(nameless) == 1
    assert all(item.fault for item in odd)
    assert all(isinstance(item, NamelessObject) for item in nameless)
    sound = [(item.name, item.document) for item in found if item.name != "odd"]
    assert sound == list(zip(names, specs, strict=True))
