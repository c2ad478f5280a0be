"""Records and hosts in effect in one process; their revisions never decrease."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import (
    MalformedJsonError,
    Revision,
    ServiceName,
    make_strict_converter,
    parse_json,
)
from bramleyport.membership import Host, list_host_problems
from bramleyport.records import ServiceRecord, parse_record
from bramleyport.replication._revisions import Outcome, RevisionedSet
from bramleyport.wire import ReplicaEntry, ReplicaPart

_converter = make_strict_converter()


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Describe the documents of all records at one revision."""

    revision: Revision
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """Report that an update took effect and which documents were rejected."""

    revision: Revision
    refused: Mapping[str, list[str]]


@dataclass(frozen=True, slots=True)
class Ignored:
    """Report that an update is not newer than what is in effect."""

    revision: Revision


class RecordStore:
    """Track the records in effect and their revision."""

    def __init__(self) -> None:
        self.document_set = RevisionedSet(_validate_record)
        self.records: dict[ServiceName, ServiceRecord] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in effect."""
        return self.document_set.revision

    @property
    def snapshot(self) -> Snapshot:
        """Return the documents in effect."""
        documents = tuple(
            item.document
            for _, item in sorted(self.document_set.items.items())
            if item.document is not None
        )
        return Snapshot(revision=self.revision, documents=documents)

    def update_from_snapshot(self, snapshot: Snapshot) -> Applied | Ignored:
        """Apply a snapshot if it is newer."""
        if snapshot.revision <= self.revision:
            return Ignored(self.revision)
        items = [
            ReplicaEntry(
                name=_read_name(document),
                revision=snapshot.revision,
                document=document,
            )
            for document in snapshot.documents
        ]
        return self.update_from_listing(snapshot.revision, items)

    def update_from_listing(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Applied | Ignored:
        """Apply a complete listing of the store."""
        return self._finish(self.document_set.apply_listing(revision, items))

    def update_from_changes(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Applied | Ignored:
        """Apply the changes that a watch reported."""
        return self._finish(self.document_set.apply_change(revision, items))

    def merge(self, part: ReplicaPart) -> Applied | Ignored:
        """Apply what a peer has in effect."""
        return self._finish(self.document_set.merge(part))

    def _finish(self, outcome: Outcome) -> Applied | Ignored:
        if not outcome.changed:
            return Ignored(self.revision)
        records: dict[ServiceName, ServiceRecord] = {}
        for item in self.document_set.items.values():
            result = _parse_record(item.document or b"")
            if isinstance(result, Ok):
                records[result.ok_value.name] = result.ok_value
        self.records = records
        return Applied(revision=self.revision, refused=outcome.refused)


class HostStore:
    """Track the platform's host list as known to this process."""

    def __init__(self) -> None:
        # Coverage is not tracked: it can make peers send each other all hosts, a large
        # message, and the list is delayed anyway.
        self.document_set = RevisionedSet(_validate_host, follow_coverage=False)
        # Why rows of the last update are not in effect.
        self.refused: Mapping[str, list[str]] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision of the list."""
        return self.document_set.revision

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts on the list."""
        found = [
            _parse_host(item.document or b"")
            for item in self.document_set.items.values()
        ]
        return tuple(result.ok_value for result in found if isinstance(result, Ok))

    def update_from_rows(
        self, revision: Revision, rows: Iterable[Mapping[str, Any]]
    ) -> bool:
        """Apply the rows of the store's list and return whether any changed."""
        documents = {str(row.get("process", "")): _encode_row(row) for row in rows}
        known = self.document_set.items
        # Only changed rows are given the new revision, which keeps deltas small.
        changed = [
            ReplicaEntry(name=name, revision=revision, document=document)
            for name, document in documents.items()
            if name not in known or known[name].document != document
        ]
        if self.revision == 0:
            return self._finish(self.document_set.apply_listing(revision, changed))
        changed += [
            ReplicaEntry(name=name, revision=revision)
            for name in known
            if name not in documents
        ]
        return self._finish(self.document_set.apply_change(revision, changed))

    def merge(self, part: ReplicaPart) -> bool:
        """Apply a peer's list and return whether it changed this one."""
        return self._finish(self.document_set.merge(part))

    def _finish(self, outcome: Outcome) -> bool:
        self.refused = outcome.refused
        return outcome.changed


def _encode_row(row: Mapping[str, Any]) -> bytes:
    try:
        return json.dumps(row, sort_keys=True).encode()
    except RecursionError:
        # Refused as a document that is not JSON, and the last valid one is kept.
        return b""


def _read_name(document: bytes) -> str:
    try:
        value = parse_json(document)
    except MalformedJsonError:
        return ""
    return str(value.get("name", "")) if isinstance(value, dict) else ""


# Most documents are unchanged between updates, so parsed ones are cached.
@lru_cache(maxsize=4096)
def _parse_record(document: bytes) -> Result[ServiceRecord, list[str]]:
    try:
        value = parse_json(document)
    except MalformedJsonError as error:
        return Err([str(error)])
    if not isinstance(value, dict):
        return Err(["not an object"])
    return parse_record(value).map_err(
        lambda problems: [problem.describe() for problem in problems]
    )


@lru_cache(maxsize=8192)
def _parse_host(document: bytes) -> Result[Host, list[str]]:
    try:
        host = _converter.structure(parse_json(document), Host)
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err([f"malformed host: {type(error).__name__}"])
    reasons = list_host_problems(host)
    return Err(reasons) if reasons else Ok(host)


def _validate_record(document: bytes) -> list[str]:
    return _parse_record(document).err() or []


def _validate_host(document: bytes) -> list[str]:
    return _parse_host(document).err() or []
