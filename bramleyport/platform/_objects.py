"""Decode the objects of the platform's store, their lists and their changes."""

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Final, NewType

from bramleyport.core import Revision, StoreEra, StoreRevision
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    parse_document,
    read_count,
    read_flag,
    read_mapping,
)
from bramleyport.platform._json_slices import (
    UnparsedSlice,
    parse_entries,
    parse_members,
)

ObjectName = NewType("ObjectName", str)

# The field of each list and of each batch of changes that names its revision.
REVISION_FIELD: Final = "current_rev"
# Names are sent in headers.
_NAME: Final = re.compile("[ -~]{1,256}")


class ObjectKind(str, Enum):
    """Represent the kinds of objects that gateways read or write."""

    CONFIGURATION = "config"
    REGISTRATIONS = "servers"
    GATEWAYS = "gateways"
    LEASES = "leases"
    VERDICTS = "verdicts"
    VERSIONS = "stream-versions"
    BEGUN_STREAMS = "begun-streams"
    USAGE = "usage"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """Represent one object of the store."""

    name: ObjectName
    revision: StoreRevision
    document: Document
    # Why the object can't be read, if its name can.
    fault: str = ""

    def read_document(self) -> Document:
        """Return the document, or raise MalformedDocumentError if it is unreadable."""
        if self.fault:
            raise MalformedDocumentError(self.fault)
        return self.document


@dataclass(frozen=True, slots=True)
class NamelessObject:
    """Describe an entry of which not even the name can be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class Listing:
    """Represent the objects of a kind at one revision.

    If it is not complete, the store has objects that could not be listed.
    """

    revision: StoreRevision
    objects: tuple[StoredObject, ...]
    nameless: tuple[NamelessObject, ...] = ()
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Change:
    """Represent a changed object, or the last state of a removed one."""

    object: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Represent the changes of a watch up to a revision."""

    revision: StoreRevision
    changes: tuple[Change, ...]
    nameless: tuple[NamelessObject, ...] = ()


@dataclass(frozen=True, slots=True)
class ListPage:
    """Represent one page of a list of objects."""

    listing: Listing
    has_more: bool
    # Names as the entries give them, in their order, also those of no valid object.
    names: tuple[str, ...]


def decode_object_name(value: object) -> ObjectName:
    """Return the name of an object."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise MalformedDocumentError(f"not a name: {describe(value)}")
    return ObjectName(value)


def decode_page(body: bytes, era: StoreEra) -> ListPage:
    """Return one page of the objects of a kind."""
    page = parse_entries(body, "items", REVISION_FIELD)
    revision = _read_revision(page.fields, REVISION_FIELD, era)
    objects = []
    nameless = []
    for entry in page.entries:
        item = _decode_entry(entry, revision)
        if isinstance(item, NamelessObject):
            nameless.append(item)
        else:
            objects.append(item)
    return ListPage(
        Listing(revision, tuple(objects), tuple(nameless)),
        has_more=read_flag(page.fields, "has_more", False),
        names=tuple(filter(None, map(_read_raw_name, page.entries))),
    )


def join_pages(pages: Sequence[ListPage]) -> Listing:
    """Return the list in its pages, of which a later one may repeat objects."""
    objects = {item.name: item for page in pages for item in page.listing.objects}
    nameless = dict.fromkeys(item for page in pages for item in page.listing.nameless)
    return Listing(
        revision=pages[0].listing.revision,
        objects=tuple(objects.values()),
        nameless=tuple(nameless),
        is_complete=not pages[-1].has_more,
    )


def decode_changes(body: bytes, era: StoreEra) -> ChangeBatch:
    """Return the changes that a watch has answered."""
    batch = parse_entries(body, "events", REVISION_FIELD)
    revision = _read_revision(batch.fields, REVISION_FIELD, era)
    changes = []
    nameless = []
    for entry in batch.entries:
        change = _decode_change(entry, revision)
        if isinstance(change, NamelessObject):
            nameless.append(change)
        else:
            changes.append(change)
    return ChangeBatch(revision, tuple(changes), tuple(nameless))


def decode_answered_object(body: bytes, era: StoreEra) -> StoredObject:
    """Return the object that a call has read or written."""
    return _decode_object(parse_document(body), era)


def _decode_change(entry: Any, latest: StoreRevision) -> Change | NamelessObject:
    try:
        event = _read_members(entry)
    except MalformedDocumentError as error:
        return NamelessObject(str(error))
    item = _decode_entry(event.get("object"), latest)
    if isinstance(item, NamelessObject):
        return item
    if isinstance(entry, UnparsedSlice) and not item.fault:
        # What looks whole may be a part of it, up to a bracket too many.
        item = replace(item, fault=entry.reason)
    try:
        return Change(item, read_flag(event, "deleted", False))
    except MalformedDocumentError as error:
        return Change(replace(item, fault=str(error)), removed=False)


def _decode_entry(entry: Any, latest: StoreRevision) -> StoredObject | NamelessObject:
    """Return the object in an entry; it has a fault if it can't be read."""
    try:
        if isinstance(entry, UnparsedSlice):
            raise MalformedDocumentError(entry.reason)
        return _decode_object(_read_members(entry), latest.era)
    except MalformedDocumentError as error:
        return _decode_unreadable(entry, latest, str(error))


def _decode_unreadable(
    entry: Any, latest: StoreRevision, reason: str
) -> StoredObject | NamelessObject:
    try:
        metadata = _read_members(_read_members(entry).get("metadata"))
        name = decode_object_name(metadata.get("name"))
    except MalformedDocumentError as error:
        return NamelessObject(f"{reason}; {error}")
    # Its revision may be odd, too; it is not newer than what was read with it.
    return StoredObject(name=name, revision=latest, document={}, fault=reason)


def _read_raw_name(entry: Any) -> str:
    """Return the name that an entry gives itself; empty if it is no text."""
    try:
        name = _read_members(_read_members(entry).get("metadata")).get("name")
    except MalformedDocumentError:
        return ""
    return name if isinstance(name, str) else ""


def _decode_object(document: Document, era: StoreEra) -> StoredObject:
    metadata = read_mapping(document, "metadata")
    spec = document.get("spec")
    return StoredObject(
        name=decode_object_name(metadata.get("name")),
        revision=_read_revision(metadata, "revision", era),
        document=spec if isinstance(spec, dict) else {},
    )


def _read_members(value: Any) -> Document:
    if isinstance(value, UnparsedSlice):
        return parse_members(value)
    if not isinstance(value, Mapping):
        raise MalformedDocumentError(f"not a mapping: {describe(value)}")
    return value


def _read_revision(document: Document, name: str, era: StoreEra) -> StoreRevision:
    return StoreRevision(era, Revision(read_count(document, name)))
