"""Records in force in one process, by revision, never going back."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from result import Err

from bramleyport.core import Revision, ServiceName
from bramleyport.records import ServiceRecord, parse_record


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
        self.snapshot = Snapshot(revision=Revision(0), documents=())
        self.records: dict[ServiceName, ServiceRecord] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.snapshot.revision

    def offer(self, snapshot: Snapshot) -> Applied | Ignored:
        """Put a snapshot into force if it is newer."""
        if snapshot.revision <= self.revision:
            return Ignored(self.revision)
        accepted: dict[ServiceName, ServiceRecord] = {}
        refused: dict[str, list[str]] = {}
        for raw in snapshot.documents:
            self._add(json.loads(raw), accepted, refused)
        self.records = accepted
        self.snapshot = snapshot
        return Applied(revision=snapshot.revision, refused=refused)

    def _add(
        self,
        document: Mapping[str, Any],
        accepted: dict[ServiceName, ServiceRecord],
        refused: dict[str, list[str]],
    ) -> None:
        result = parse_record(document)
        if isinstance(result, Err):
            name = ServiceName(str(document.get("name", "")))
            refused[name] = [item.describe() for item in result.err_value]
            if name in self.records:
                accepted[name] = self.records[name]
            return
        accepted[result.ok_value.name] = result.ok_value
