"""Guard the datagrams in which gateways give each other the configuration."""

import zlib
from typing import Any

import pytest

from bramleyport.core import ProcessId
from bramleyport.fleet import ConfigVersion
from bramleyport.gateway._configuration_chunks import (
    CHUNK_BYTES,
    FORMAT,
    MAX_CHUNKS,
    ChunkCollector,
    decode_chunk,
    split_configuration,
)
from bramleyport.gateway._peer_fields import PeerMessageError

PROCESS = ProcessId("g0")
DOCUMENT = {
    "version": 7,
    "routes": [f"route {number * 7919}" for number in range(2000)],
}


def split(version: int = 7) -> list[list[Any]]:
    return list(split_configuration(PROCESS, ConfigVersion(version), DOCUMENT))


def test_chunks_in_any_order_and_repeated_give_the_document() -> None:
    """Guards against a configuration that one repeated or late datagram spoils."""
    chunks = [decode_chunk(fields) for fields in split()]
    assert len(chunks) > 3
    collector = ChunkCollector()
    found = [collector.add(chunk) for chunk in (*chunks[::-1][:-1], chunks[-1])]
    assert found == [None] * len(found)
    assert collector.add(chunks[0]) == DOCUMENT


def test_chunks_of_a_newer_version_replace_those_of_an_older_one() -> None:
    """Guards against a document that is joined from two versions."""
    collector = ChunkCollector()
    old, new = split(6), split(7)
    assert collector.add(decode_chunk(old[0])) is None
    for fields in new[:-1]:
        assert collector.add(decode_chunk(fields)) is None
    assert collector.add(decode_chunk(old[-1])) is None
    assert collector.add(decode_chunk(new[-1])) == DOCUMENT


@pytest.mark.parametrize(
    "changes",
    [
        {5: "text"},
        {5: b"x" * (CHUNK_BYTES + 1)},
        {4: MAX_CHUNKS + 1},
        {4: 0},
        {3: 5000},
        {3: -1},
        {1: ""},
    ],
)
def test_odd_chunk_is_refused(changes: dict[int, Any]) -> None:
    """Guards against memory and errors that one datagram would cost."""
    fields = split()[0]
    for index, value in changes.items():
        fields[index] = value
    with pytest.raises(PeerMessageError):
        decode_chunk(fields)


@pytest.mark.parametrize(
    "data", [b"", b"no zlib", zlib.compress(b"[1]"), zlib.compress(b"{")]
)
def test_chunks_without_a_document_are_refused(data: bytes) -> None:
    """Guards against a configuration that is no document."""
    chunk = decode_chunk([FORMAT, PROCESS, 7, 0, 1, data])
    with pytest.raises(PeerMessageError):
        ChunkCollector().add(chunk)
