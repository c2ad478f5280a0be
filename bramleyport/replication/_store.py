"""Records and hosts in force in one process, by revision, never going back."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import Revision, ServiceName, make_strict_converter
from bramleyport.membership import Host
from bramleyport.records import ServiceRecord, parse_record
from bramleyport.replication._revisions import Outcome, RevisionedSet
from bramleyport.wire import ReplicaEntry, ReplicaPart

_converter = make_strict_converter()


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold the documents of all records at one revision."""

    revision: Revision
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """Report that a snapshot took force and which documents were refused."""

    revision: Revision
    refused: Mapping[str, list[str]]


@dataclass(frozen=True, slots=True)
class Ignored:
    """Report that a snapshot is not newer than the one in force."""

    revision: Revision


class RecordStore:
    """Hold the records in force and the revision they belong to."""

    def __init__(self) -> None:
        self.held = RevisionedSet(_check_record)
        self.records: dict[ServiceName, ServiceRecord] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.held.revision

    @property
    def snapshot(self) -> Snapshot:
        """Return the documents in force."""
        documents = tuple(
            item.document
            for _, item in sorted(self.held.items.items())
            if item.document is not None
        )
        return Snapshot(revision=self.revision, documents=documents)

    def offer(self, snapshot: Snapshot) -> Applied | Ignored:
        """Put a snapshot into force if it is newer."""
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
        return self.offer_listing(snapshot.revision, items)

    def offer_listing(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Applied | Ignored:
        """Take a complete listing of the store."""
        return self._finish(self.held.apply_listing(revision, items))

    def offer_change(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Applied | Ignored:
        """Take the changes that a watch reported."""
        return self._finish(self.held.apply_change(revision, items))

    def merge(self, part: ReplicaPart) -> Applied | Ignored:
        """Take what a peer has in force."""
        return self._finish(self.held.merge(part))

    def _finish(self, outcome: Outcome) -> Applied | Ignored:
        if not outcome.changed:
            return Ignored(self.revision)
        records: dict[ServiceName, ServiceRecord] = {}
        for item in self.held.items.values():
            result = _parse_record(item.document or b"")
            if isinstance(result, Ok):
                records[result.ok_value.name] = result.ok_value
        self.records = records
        return Applied(revision=self.revision, refused=outcome.refused)


class HostStore:
    """Hold the platform's host list as this process knows it."""

    def __init__(self) -> None:
        # The list lags anyway, and an unneeded exchange of all hosts is large.
        self.held = RevisionedSet(_check_host, follow_coverage=False)

    @property
    def revision(self) -> Revision:
        """Return the revision of the list."""
        return self.held.revision

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts on the list."""
        found = [_parse_host(item.document or b"") for item in self.held.items.values()]
        return tuple(result.ok_value for result in found if isinstance(result, Ok))

    def offer(self, revision: Revision, rows: Iterable[Mapping[str, Any]]) -> bool:
        """Take the rows of the store's list and return whether any changed."""
        documents = {
            str(row.get("process", "")): json.dumps(row, sort_keys=True).encode()
            for row in rows
        }
        held = self.held.items
        # Only changed rows get the new revision, so that deltas stay small.
        changed = [
            ReplicaEntry(name=name, revision=revision, document=document)
            for name, document in documents.items()
            if name not in held or held[name].document != document
        ]
        if self.revision == 0:
            return self.held.apply_listing(revision, changed).changed
        changed += [
            ReplicaEntry(name=name, revision=revision)
            for name in held
            if name not in documents
        ]
        return self.held.apply_change(revision, changed).changed

    def merge(self, part: ReplicaPart) -> bool:
        """Take a peer's list and return whether it changed this one."""
        return self.held.merge(part).changed


def _read_name(document: bytes) -> str:
    try:
        value = json.loads(document)
    except ValueError:
        return ""
    return str(value.get("name", "")) if isinstance(value, dict) else ""


# A change of one record or host leaves the others as they were parsed before.
@lru_cache(maxsize=4096)
def _parse_record(document: bytes) -> Result[ServiceRecord, list[str]]:
    try:
        value = json.loads(document)
    except ValueError as error:
        return Err([f"not JSON: {error}"])
    if not isinstance(value, dict):
        return Err(["not an object"])
    return parse_record(value).map_err(
        lambda problems: [problem.describe() for problem in problems]
    )


@lru_cache(maxsize=8192)
def _parse_host(document: bytes) -> Result[Host, list[str]]:
    try:
        return Ok(_converter.structure(json.loads(document), Host))
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err([f"malformed host: {type(error).__name__}"])


def _check_record(document: bytes) -> list[str]:
    return _parse_record(document).err() or []


def _check_host(document: bytes) -> list[str]:
    return _parse_host(document).err() or []
