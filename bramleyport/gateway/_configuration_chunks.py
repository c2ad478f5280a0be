"""Encode a configuration as datagrams, and put it together again."""

import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from bramleyport.core import ProcessId
from bramleyport.fleet import ConfigVersion
from bramleyport.gateway._peer_fields import (
    PeerMessageError,
    read_count,
    read_name,
    read_row,
)
from bramleyport.platform import Document

FORMAT: Final = 3
# Keeps datagrams below the usual path MTU.
CHUNK_BYTES: Final = 1_100
# A stored value has at most 1 MB, and is compressed here.
MAX_CHUNKS: Final = 1_024
MAX_DOCUMENT_BYTES: Final = 4_194_304


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChunk:
    """Describe one datagram of a configuration."""

    process: ProcessId
    version: ConfigVersion
    index: int
    count: int
    data: bytes


@dataclass(slots=True)
class ChunkCollector:
    """Collect the chunks of the newest configuration that other gateways send."""

    _version: ConfigVersion = ConfigVersion(0)
    _count: int = 0
    _chunks: dict[int, bytes] = field(default_factory=dict)

    def add(self, chunk: ConfigurationChunk) -> Document | None:
        """Add a chunk; return the document once all are there."""
        if chunk.version < self._version:
            return None
        if chunk.version > self._version or chunk.count != self._count:
            self._version, self._count = chunk.version, chunk.count
            self._chunks = {}
        self._chunks[chunk.index] = chunk.data
        if len(self._chunks) < self._count:
            return None
        packed = b"".join(self._chunks[index] for index in range(self._count))
        self._chunks = {}
        return _unpack(packed)


def split_configuration(
    process: ProcessId, version: ConfigVersion, document: Document
) -> Iterator[list[Any]]:
    """Return the datagrams of a configuration as lists of fields."""
    packed = zlib.compress(json.dumps(document).encode())
    count = -(-len(packed) // CHUNK_BYTES)
    if count > MAX_CHUNKS:
        return
    for index in range(count):
        data = packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        yield [FORMAT, process, version, index, count, data]


def decode_chunk(fields: list[Any]) -> ConfigurationChunk:
    """Return the chunk in the fields of a datagram."""
    _, process, version, index, count, data = read_row(fields, 6)
    if not isinstance(data, bytes) or len(data) > CHUNK_BYTES:
        raise PeerMessageError("not a part of a configuration")
    total = read_count(count, MAX_CHUNKS)
    return ConfigurationChunk(
        process=ProcessId(read_name(process)),
        version=ConfigVersion(read_count(version)),
        index=read_count(index, total - 1),
        count=total,
        data=data,
    )


def _unpack(packed: bytes) -> Document:
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
        document = json.loads(text) if unpacker.eof else None
    except (zlib.error, ValueError, RecursionError) as error:
        raise PeerMessageError(f"no configuration: {type(error).__name__}") from error
    if not isinstance(document, dict):
        raise PeerMessageError("no configuration")
    return document
