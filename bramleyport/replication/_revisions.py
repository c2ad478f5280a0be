"""A set of named documents whose revision never decreases."""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Revision
from bramleyport.wire import ReplicaEntry, ReplicaPart

# Only this many removals are remembered; a peer that lacks an older one is sent all
# documents instead of a delta.
MAX_REMOVALS: Final = 4096


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe whether anything changed and which documents were rejected."""

    changed: bool
    refused: dict[str, list[str]]


Validator = Callable[[bytes], list[str]]  # returns the reasons for a rejection


class RevisionedSet:
    """Track the valid documents in effect and compute deltas for peers."""

    def __init__(self, validate: Validator, *, follow_coverage: bool = True) -> None:
        self.revision = Revision(0)
        self.items: dict[str, ReplicaEntry] = {}
        self.invalid: dict[str, Revision] = {}
        self._refused: dict[str, bytes] = {}
        self._validate = validate
        self._follow_coverage = follow_coverage
        self._removed: dict[str, Revision] = {}
        # Peers at an older revision are sent all documents instead of a delta.
        self._delta_floor = Revision(0)
        # The store has been read up to this revision: all changes of this kind up to
        # it are known.
        self._covered = Revision(0)
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Return a digest of the names and documents in effect."""
        if self._digest is None:
            state = hashlib.blake2b(digest_size=8)
            for name in sorted(self.items):
                state.update(name.encode() + b"\0" + (self.items[name].document or b""))
            self._digest = int.from_bytes(state.digest(), "big")
        return self._digest

    def apply_listing(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Outcome:
        """Apply a complete listing of the store."""
        if revision < self.revision:
            return Outcome(False, {})
        listed = {item.name: item for item in items}
        has_new_versions = any(self._is_new_version(item) for item in listed.values())
        missing_names = (set(self.items) | set(self.invalid)) - set(listed)
        self.record_coverage(revision)
        if self.revision == 0 and listed:
            # Running peers are at the revision of the last change. The revision of the
            # store may be higher and would make all of them request documents that they
            # already have.
            revision = max(item.revision for item in listed.values())
        elif not has_new_versions and not missing_names and self.revision:
            return Outcome(False, {})
        refused = self._apply_entries(listed.values())
        for name in missing_names:
            self._remove(name, revision)
        return self._advance(revision, refused, floor=revision)

    def apply_change(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Outcome:
        """Apply the changes that a watch of the store reported."""
        self.record_coverage(revision)
        changed_items = [
            item
            for item in items
            if item.revision > self.revision and self._differs(item)
        ]
        if not changed_items:
            return Outcome(False, {})
        refused = self._apply_entries(changed_items)
        return self._advance(max(item.revision for item in changed_items), refused)

    def merge(self, part: ReplicaPart) -> Outcome:
        """Apply what a peer has in effect, except documents older than those here."""
        if part.revision <= self.revision or part.revision < self._covered:
            return self._fill_gaps(part)
        if part.after is not None and part.after > self.revision:
            return Outcome(False, {})
        refused = self._apply_entries(
            item
            for item in part.entries
            if item.revision > self._get_revision(item.name)
        )
        if part.after is not None:
            return self._advance(part.revision, refused)
        named = {item.name for item in part.entries} | set(part.invalid)
        for name in (set(self.items) | set(self.invalid)) - named:
            self._remove(name, part.revision)
        for name in part.invalid:
            self.invalid[name] = part.revision
        return self._advance(part.revision, refused, floor=part.revision)

    def build_part(self, after: Revision) -> ReplicaPart:
        """Return the changes after a revision, or all documents if it is too old."""
        invalid = tuple(name for name in self.invalid if name not in self.items)
        if after == 0 or after < self._delta_floor:
            return ReplicaPart(
                revision=self.revision,
                after=None,
                entries=tuple(self.items.values()),
                invalid=invalid,
            )
        items = [item for item in self.items.values() if item.revision > after]
        items += [
            ReplicaEntry(name=name, revision=revision)
            for name, revision in self._removed.items()
            if revision > after
        ]
        return ReplicaPart(revision=self.revision, after=after, entries=tuple(items))

    def adopt_revision(self, revision: Revision, digest: int) -> bool:
        """Adopt a peer's higher revision if the same documents are in effect."""
        if revision <= self.revision or digest != self.digest or not self.revision:
            return False
        self.revision = revision
        return True

    def raise_to_covered(self, revision: Revision) -> bool:
        """Raise the revision if a peer's is higher but the store was read beyond it.

        Such a peer still has documents that were removed since, so it is sent all
        documents instead of a delta.
        """
        if not self.revision < revision <= self._covered:
            return False
        self.revision = self._delta_floor = self._covered
        return True

    def record_coverage(self, revision: Revision) -> None:
        """Record that the store has been read up to a revision."""
        if self._follow_coverage:
            self._covered = max(self._covered, revision)

    def _is_new_version(self, item: ReplicaEntry) -> bool:
        seen = max(
            self._get_revision(item.name), self.invalid.get(item.name, Revision(0))
        )
        return item.revision > seen and self._differs(item)

    def _differs(self, item: ReplicaEntry) -> bool:
        # Writing a record's status raises its revision without changing its document.
        # This happens every few seconds and must not cause an exchange between peers.
        if item.name in self.invalid:
            return item.document != self._refused.get(item.name)
        current = self.items.get(item.name)
        return item.document != (current.document if current else None)

    def _get_revision(self, name: str) -> Revision:
        item = self.items.get(name)
        return item.revision if item else self._removed.get(name, Revision(0))

    def _fill_gaps(self, part: ReplicaPart) -> Outcome:
        # At the same revision, a peer may have a valid version of a document that was
        # already replaced by an invalid one when this process first read the store.
        if part.revision != self.revision:
            return Outcome(False, {})
        missing = [
            item
            for item in part.entries
            if item.name in self.invalid
            and item.revision > self._get_revision(item.name)
        ]
        refused = self._apply_entries(missing)
        return Outcome(bool(missing), refused)

    def _apply_entries(self, items: Iterable[ReplicaEntry]) -> dict[str, list[str]]:
        refused: dict[str, list[str]] = {}
        for item in items:
            if item.document is None:
                self._remove(item.name, item.revision)
                continue
            reasons = self._validate(item.document)
            if reasons:
                refused[item.name] = reasons
                self.invalid[item.name] = item.revision
                self._refused[item.name] = item.document
                continue
            current = self.items.get(item.name)
            if current is not None and current.revision >= item.revision:
                continue
            if item.revision >= self.invalid.get(item.name, Revision(0)):
                self._forget_invalid(item.name)
            self._removed.pop(item.name, None)
            self.items[item.name] = item
            self._digest = None
        return refused

    def _remove(self, name: str, revision: Revision) -> None:
        if self.items.pop(name, None) is not None:
            self._digest = None
        self._forget_invalid(name)
        self._removed.pop(name, None)
        self._removed[name] = revision
        while len(self._removed) > MAX_REMOVALS:
            oldest = next(iter(self._removed))
            self._delta_floor = max(self._delta_floor, self._removed.pop(oldest))

    def _forget_invalid(self, name: str) -> None:
        self.invalid.pop(name, None)
        self._refused.pop(name, None)

    def _advance(
        self,
        revision: Revision,
        refused: dict[str, list[str]],
        floor: Revision | None = None,
    ) -> Outcome:
        self.revision = max(self.revision, revision)
        if floor is not None:
            self._delta_floor = floor
        return Outcome(True, refused)
