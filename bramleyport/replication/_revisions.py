"""A set of named documents that moves forward by revision only."""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Revision
from bramleyport.wire import ReplicaEntry, ReplicaPart

# Removals older than this many are forgotten; a peer that is further behind gets
# everything instead of a delta.
REMOVALS: Final = 4096


@dataclass(frozen=True, slots=True)
class Outcome:
    """Report whether anything changed and which documents were refused."""

    changed: bool
    refused: dict[str, list[str]]


Check = Callable[[bytes], list[str]]  # returns the reasons for a refusal


class RevisionedSet:
    """Hold the valid documents in force and compute deltas for peers."""

    def __init__(self, check: Check, *, follow_coverage: bool = True) -> None:
        self.revision = Revision(0)
        self.items: dict[str, ReplicaEntry] = {}
        self.invalid: dict[str, Revision] = {}
        self._refused: dict[str, bytes] = {}
        self._check = check
        self._follow_coverage = follow_coverage
        self._removed: dict[str, Revision] = {}
        # Deltas can be computed from this revision on.
        self._floor = Revision(0)
        # The store has been read up to here; nothing of this kind is missing below.
        self._covered = Revision(0)
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Return a short digest of what is in force."""
        if self._digest is None:
            state = hashlib.blake2b(digest_size=8)
            for name in sorted(self.items):
                state.update(name.encode() + b"\0" + (self.items[name].document or b""))
            self._digest = int.from_bytes(state.digest(), "big")
        return self._digest

    def apply_listing(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Outcome:
        """Take a complete listing of the store."""
        if revision < self.revision:
            return Outcome(False, {})
        listed = {item.name: item for item in items}
        newer = any(self._is_news(item) for item in listed.values())
        gone = (set(self.items) | set(self.invalid)) - set(listed)
        self.note_covered(revision)
        if self.revision == 0 and listed:
            # The revision of the last change is what running peers have as well; the
            # store's own would make the whole fleet ask for what it already holds.
            revision = max(item.revision for item in listed.values())
        elif not newer and not gone and self.revision:
            return Outcome(False, {})
        refused = self._take_all(listed.values())
        for name in gone:
            self._remove(name, revision)
        return self._advance(revision, refused, floor=revision)

    def apply_change(
        self, revision: Revision, items: Iterable[ReplicaEntry]
    ) -> Outcome:
        """Take the changes that a watch of the store reported."""
        self.note_covered(revision)
        fresh = [
            item
            for item in items
            if item.revision > self.revision and self._differs(item)
        ]
        if not fresh:
            return Outcome(False, {})
        refused = self._take_all(fresh)
        return self._advance(max(item.revision for item in fresh), refused)

    def merge(self, part: ReplicaPart) -> Outcome:
        """Take what a peer has in force; older revisions never displace newer ones."""
        if part.revision <= self.revision or part.revision < self._covered:
            return self._fill_gaps(part)
        if part.after is not None and part.after > self.revision:
            return Outcome(False, {})
        refused = self._take_all(
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
        """Return what a peer at a revision lacks."""
        invalid = tuple(name for name in self.invalid if name not in self.items)
        if after == 0 or after < self._floor:
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

    def adopt(self, revision: Revision, digest: int) -> bool:
        """Take over a peer's higher revision if the same documents are in force."""
        if revision <= self.revision or digest != self.digest or not self.revision:
            return False
        self.revision = revision
        return True

    def cover(self, revision: Revision) -> bool:
        """Raise the revision when a peer's is higher but the store was read beyond it.

        Such a peer holds documents that were removed since; it must get everything.
        """
        if not self.revision < revision <= self._covered:
            return False
        self.revision = self._floor = self._covered
        return True

    def note_covered(self, revision: Revision) -> None:
        """Record that the store has been read up to a revision."""
        if self._follow_coverage:
            self._covered = max(self._covered, revision)

    def _is_news(self, item: ReplicaEntry) -> bool:
        seen = max(
            self._get_revision(item.name), self.invalid.get(item.name, Revision(0))
        )
        return item.revision > seen and self._differs(item)

    def _differs(self, item: ReplicaEntry) -> bool:
        # Writes of a record's status raise its revision and leave the document as it
        # is; they come every few seconds and must not make every process exchange it.
        if item.name in self.invalid:
            return item.document != self._refused.get(item.name)
        held = self.items.get(item.name)
        return item.document != (held.document if held else None)

    def _get_revision(self, name: str) -> Revision:
        item = self.items.get(name)
        return item.revision if item else self._removed.get(name, Revision(0))

    def _fill_gaps(self, part: ReplicaPart) -> Outcome:
        # At the same revision, a peer may have seen a valid version that was already
        # replaced by an invalid one when this process first read the store.
        if part.revision != self.revision:
            return Outcome(False, {})
        missing = [
            item
            for item in part.entries
            if item.name in self.invalid
            and item.revision > self._get_revision(item.name)
        ]
        refused = self._take_all(missing)
        return Outcome(bool(missing), refused)

    def _take_all(self, items: Iterable[ReplicaEntry]) -> dict[str, list[str]]:
        refused: dict[str, list[str]] = {}
        for item in items:
            if item.document is None:
                self._remove(item.name, item.revision)
                continue
            reasons = self._check(item.document)
            if reasons:
                refused[item.name] = reasons
                self.invalid[item.name] = item.revision
                self._refused[item.name] = item.document
                continue
            held = self.items.get(item.name)
            if held is not None and held.revision >= item.revision:
                continue
            if item.revision >= self.invalid.get(item.name, Revision(0)):
                self.invalid.pop(item.name, None)
            self._removed.pop(item.name, None)
            self.items[item.name] = item
            self._digest = None
        return refused

    def _remove(self, name: str, revision: Revision) -> None:
        if self.items.pop(name, None) is not None:
            self._digest = None
        self.invalid.pop(name, None)
        self._removed.pop(name, None)
        self._removed[name] = revision
        while len(self._removed) > REMOVALS:
            oldest = next(iter(self._removed))
            self._floor = max(self._floor, self._removed.pop(oldest))

    def _advance(
        self,
        revision: Revision,
        refused: dict[str, list[str]],
        floor: Revision | None = None,
    ) -> Outcome:
        self.revision = max(self.revision, revision)
        if floor is not None:
            self._floor = floor
        return Outcome(True, refused)
