"""Encode the updates that share the results of store watches among gateways."""

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import cbor2

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision
from bramleyport.platform import (
    Change,
    ObjectKind,
    ObjectName,
    StoredObject,
    decode_object_name,
)

FORMAT: Final = 2
# A datagram above the usual path MTU is fragmented, and the loss of one fragment loses
# all of it.
MAX_PACKED_BYTES: Final = 1_200
# Bounds the decompressed size of a datagram that may be malformed.
MAX_UNPACKED_BYTES: Final = 262_144
MAX_REASON_CHARS: Final = 160
# No store gives out a higher revision or era.
MAX_COUNT: Final = 2**53 - 1
# Before the first answer of the store.
NO_REVISION: Final = StoreRevision(StoreEra(0), Revision(0))


class StoreUpdateError(ValueError):
    """Report a store update that cannot be decoded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUpdate:
    """Describe what one gateway has read of one kind of objects in the store."""

    process: ProcessId
    kind: ObjectKind
    # The update covers the changes after `since`, up to and including `revision`.
    since: StoreRevision = NO_REVISION
    revision: StoreRevision = NO_REVISION
    # Seconds that may have passed since the store sent its answer.
    age_s: float = 0.0
    # False while the store does not answer the sender.
    reachable: bool = True
    # Set in the first update after calls of the sender failed, for gateways of earlier
    # versions.
    returned: bool = False
    # None if they can't be encoded, or not within a datagram, and have to be read from
    # the store.
    changes: tuple[Change, ...] | None = None


def encode_store_update(update: StoreUpdate) -> list[Any]:
    """Return an update as the fields of a datagram."""
    return [
        FORMAT,
        update.process,
        update.kind.value,
        update.since.number,
        update.revision.number,
        round(update.age_s * 1000),
        update.reachable,
        update.returned,
        _pack(update.changes),
        update.revision.era,
    ]


def decode_store_update(fields: Sequence[Any]) -> StoreUpdate:
    """Return the update that the fields of a datagram describe."""
    try:
        _, process, kind, since, revision, age_ms, reachable, returned, *rest = fields
        # Updates of earlier versions name no era.
        packed, named_era = rest if rest[1:] else (*rest, 0)
        era = StoreEra(_decode_count(named_era))
        return StoreUpdate(
            process=ProcessId(str(process)),
            kind=ObjectKind(kind),
            since=StoreRevision(era, Revision(_decode_count(since))),
            revision=StoreRevision(era, Revision(_decode_count(revision))),
            age_s=_decode_age(age_ms),
            reachable=bool(reachable),
            returned=bool(returned),
            changes=_unpack(packed, era),
        )
    except (
        cbor2.CBORDecodeError,
        zlib.error,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS]
        raise StoreUpdateError(reason) from error


def _decode_count(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise StoreUpdateError(f"not a count: {type(value).__name__}")
    return value


def select_unseen(
    changes: Sequence[Change], known: StoreRevision
) -> tuple[Change, ...]:
    """Return the changes that are not part of the known revision.

    The revision of a removal is not known, so removals are always returned, together
    with the later changes of the removed objects.
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


def _decode_age(age_ms: Any) -> float:
    """Return the age of an update in seconds."""
    age_s = float(age_ms) / 1000
    if not math.isfinite(age_s) or age_s < 0:
        raise StoreUpdateError("the age is out of range")
    return age_s


def _pack(changes: tuple[Change, ...] | None) -> bytes | None:
    if changes is None:
        return None
    if any(item.object.fault for item in changes):
        return None
    rows = [
        [
            item.object.name,
            item.object.revision.number,
            item.removed,
            item.object.document,
        ]
        for item in changes
    ]
    try:
        packed = zlib.compress(cbor2.dumps(rows))
    except (cbor2.CBOREncodeError, ValueError, RecursionError):
        # A document may hold what JSON permits and CBOR does not.
        return None
    return packed if len(packed) <= MAX_PACKED_BYTES else None


def _unpack(packed: bytes | None, era: StoreEra) -> tuple[Change, ...] | None:
    if packed is None:
        return None
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise StoreUpdateError("the changes are truncated or too long")
    return tuple(_decode_change(row, era) for row in cbor2.loads(data))


def _decode_change(row: Any, era: StoreEra) -> Change:
    name, revision, removed, document = row
    if not isinstance(document, dict):
        raise StoreUpdateError("a document is not a mapping")
    found = StoredObject(
        name=decode_object_name(name),
        revision=StoreRevision(era, Revision(int(revision))),
        document=document,
    )
    return Change(found, bool(removed))
