"""Decode the objects of the platform's store, their lists and their changes."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from bramleyport.core import Revision
from bramleyport.platform._documents import (
    Document,
    parse_document,
    read_count,
    read_flag,
    read_mapping,
    read_mappings,
    read_string,
)

ObjectName = NewType("ObjectName", str)


class ObjectKind(str, Enum):
    """Represent the kinds of objects that gateways read or write."""

    CONFIGURATION = "config"
    REGISTRATIONS = "servers"
    GATEWAYS = "gateways"
    LEASES = "leases"
    VERDICTS = "verdicts"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """Represent one object of the store."""

    name: ObjectName
    revision: Revision
    document: Document


@dataclass(frozen=True, slots=True)
class Listing:
    """Represent all objects of a kind at one revision."""

    revision: Revision
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """Represent a changed object, or the last state of a removed one."""

    object: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Represent the changes of a watch up to a revision."""

    revision: Revision
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ListPage:
    """Represent one page of a list of objects."""

    listing: Listing
    has_more: bool


def decode_page(body: bytes) -> ListPage:
    """Return one page of the objects of a kind."""
    document = parse_document(body)
    objects = tuple(_decode_object(item) for item in read_mappings(document, "items"))
    revision = Revision(read_count(document, "current_rev"))
    return ListPage(
        Listing(revision, objects), has_more=read_flag(document, "has_more", False)
    )


def decode_changes(body: bytes) -> ChangeBatch:
    """Return the changes that a watch has answered."""
    document = parse_document(body)
    changes = tuple(
        Change(
            _decode_object(read_mapping(event, "object")),
            read_flag(event, "deleted", False),
        )
        for event in read_mappings(document, "events")
    )
    return ChangeBatch(Revision(read_count(document, "current_rev")), changes)


def decode_answered_object(body: bytes) -> StoredObject:
    """Return the object that a call has read or written."""
    return _decode_object(parse_document(body))


def _decode_object(document: Document) -> StoredObject:
    metadata = read_mapping(document, "metadata")
    spec = document.get("spec")
    return StoredObject(
        name=ObjectName(read_string(metadata, "name")),
        revision=Revision(read_count(metadata, "revision")),
        document=spec if isinstance(spec, dict) else {},
    )
