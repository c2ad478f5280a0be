"""Tell the other gateways what a watch of the store has returned."""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import cbor2

from bramleyport.core import ProcessId, Revision
from bramleyport.platform import Change, ObjectKind, ObjectName, StoredObject

FORMAT: Final = 2
# A datagram above the usual path MTU would be split, and lost if one part is.
MAX_PACKED_BYTES: Final = 1_200
# Bounds what a datagram may unpack to.
MAX_UNPACKED_BYTES: Final = 262_144


class StoreNewsError(ValueError):
    """Report news of the store that can't be read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreNews:
    """Tell what one gateway knows of a kind of objects in the store."""

    process: ProcessId
    kind: ObjectKind
    # The changes after the first revision up to the second.
    since: Revision = Revision(0)
    revision: Revision = Revision(0)
    # Seconds for which the answer of the store may have been under way.
    age_s: float = 0.0
    # False while the sender gets no answers from the store.
    reachable: bool = True
    # Set in the first news after an outage.
    returned: bool = False
    # None if they are too many for a datagram and have to be read from the store.
    changes: tuple[Change, ...] | None = None


def encode_news(news: StoreNews) -> list[Any]:
    """Return news as the fields of a datagram."""
    return [
        FORMAT,
        news.process,
        news.kind.value,
        news.since,
        news.revision,
        round(news.age_s * 1000),
        news.reachable,
        news.returned,
        _pack(news.changes),
    ]


def decode_news(fields: Sequence[Any]) -> StoreNews:
    """Return the news that the fields of a datagram hold."""
    try:
        _, process, kind, since, revision, age_ms, reachable, returned, packed = fields
        return StoreNews(
            process=ProcessId(str(process)),
            kind=ObjectKind(kind),
            since=Revision(int(since)),
            revision=Revision(int(revision)),
            age_s=float(age_ms) / 1000,
            reachable=bool(reachable),
            returned=bool(returned),
            changes=_unpack(packed),
        )
    except (cbor2.CBORDecodeError, zlib.error, TypeError, ValueError) as error:
        raise StoreNewsError(str(error)) from error


def select_unseen(changes: Sequence[Change], known: Revision) -> tuple[Change, ...]:
    """Return the changes without those that are known by a revision.

    An object that was removed keeps its later changes: the revision of a removal isn't
    known, so it is taken again.
    """
    unseen = []
    removed: set[ObjectName] = set()
    for change in changes:
        if change.removed:
            removed.add(change.object.name)
        elif change.object.revision <= known and change.object.name not in removed:
            continue
        unseen.append(change)
    return tuple(unseen)


def _pack(changes: tuple[Change, ...] | None) -> bytes | None:
    if changes is None:
        return None
    rows = [
        [item.object.name, item.object.revision, item.removed, item.object.document]
        for item in changes
    ]
    packed = zlib.compress(cbor2.dumps(rows))
    return packed if len(packed) <= MAX_PACKED_BYTES else None


def _unpack(packed: bytes | None) -> tuple[Change, ...] | None:
    if packed is None:
        return None
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise StoreNewsError("the changes are too long or cut")
    return tuple(_decode_change(row) for row in cbor2.loads(data))


def _decode_change(row: Any) -> Change:
    name, revision, removed, document = row
    if not isinstance(document, dict):
        raise StoreNewsError("a document is no table")
    found = StoredObject(
        name=ObjectName(str(name)), revision=Revision(int(revision)), document=document
    )
    return Change(found, bool(removed))
