"""Guard the splitting of bodies: one odd part must not change or hide the others."""

import json
import time
from typing import Any

import pytest
from hypothesis import given, strategies as st

from bramleyport.platform import MalformedDocumentError
from bramleyport.platform._json_slices import (
    UnparsedSlice,
    parse_entries,
    parse_members,
)
from tests.platform_standin._odd_entries import MANY_DIGITS, REFUSED_DEPTH

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
NESTED = b"[" * REFUSED_DEPTH + b"]" * REFUSED_DEPTH
JUNK = st.sampled_from(
    [
        NESTED,
        b'{"a":' * REFUSED_DEPTH + b"1" + b"}" * REFUSED_DEPTH,
        b"9" * MANY_DIGITS,
        b'"\xff\xfe"',
        b'{"a": "\xc3", "b": [1, "]}", 2]}',
        b"nothing",
        b"{1: 2}",
        b"[1 2}",
        b"",
    ]
)
# Generous for the slowest machine that runs the tests: most bodies take a tenth of it.
MAX_SPLIT_S = 10.0


@given(st.lists(VALUES, max_size=6), st.integers(0, 6), JUNK, st.booleans())
def test_other_entries_are_unchanged(
    values: list[Any], index: int, junk: bytes, compact: bool
) -> None:
    separators = (",", ":") if compact else None
    texts = [json.dumps(value, separators=separators).encode() for value in values]
    texts.insert(index, junk)
    index = min(index, len(values))
    body = b'{"more": {"items": [1]}, "items": [%b],\n"current_rev": 9}'
    found = parse_entries(body % b",".join(texts), "items")
    assert found.fields["current_rev"] == 9
    if values or junk:
        entries = list(found.entries)
        assert isinstance(entries.pop(index), UnparsedSlice)
        assert entries == values


@given(st.dictionaries(st.text(), VALUES, max_size=5), JUNK)
def test_other_members_are_unchanged(members: dict[str, Any], junk: bytes) -> None:
    members.pop("odd", None)
    text = json.dumps(members).encode()[:-1]
    text += b', "odd" : %b}' % junk if members else b'"odd":%b}' % junk
    found = parse_members(UnparsedSlice(text, "odd"))
    assert isinstance(found.pop("odd"), UnparsedSlice)
    assert found == members


@given(st.binary(max_size=60), st.sampled_from([b"[", b"{", b'"', b"\\", b","]))
def test_any_bytes_are_parsed_or_refused(junk: bytes, more: bytes) -> None:
    for body in (junk, b'{"items": [' + more + junk + b"]}", b'{"items": ' + junk):
        try:
            parse_entries(body, "items")
        except MalformedDocumentError:
            continue


# Guards the loop of a gateway against bodies that would take it minutes to split.
@pytest.mark.parametrize(
    "text",
    [
        b"[" * 1_000_000,
        b"[," * 500_000,
        b"[]," * 300_000,
        b"{}[]" * 300_000,
        b'"\\"' * 300_000,
        b'"' + b'\\"' * 500_000,
        b'{"' * 500_000,
        b"," * 1_000_000,
    ],
    ids=lambda text: repr(text[:4]),
)
def test_splitting_takes_a_bounded_time(text: bytes) -> None:
    started_s = time.process_time()
    for body in (b'{"items": [' + text, b'{"items": [' + text + b'"\xff"]}'):
        try:
            parse_entries(body, "items")
        except MalformedDocumentError:
            continue
    assert time.process_time() - started_s < MAX_SPLIT_S
