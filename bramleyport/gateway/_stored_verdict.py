"""Combine what is known of a verdict with what the store has of it."""

from dataclasses import dataclass, replace

from bramleyport.core import StoreRevision
from bramleyport.platform import ObjectName, StoredObject, VerdictDocument


@dataclass(slots=True, kw_only=True)
class StoredVerdict:
    """Represent a verdict in the store, and what is known of it beyond that."""

    name: ObjectName
    document: VerdictDocument
    # What the store has. It has less only after it was restored from a copy.
    written: VerdictDocument
    revision: StoreRevision
    # When this gateway learned of the verdict or of its last trial.
    changed_s: float

    @property
    def is_complete(self) -> bool:
        """Return whether the store has all that is known."""
        return self.document == self.written


def merge_stored(
    known: StoredVerdict | None,
    written: VerdictDocument,
    item: StoredObject,
    now_s: float,
) -> StoredVerdict:
    """Return a stored verdict with what was known of it in an earlier era."""
    document = written
    if known is not None and (
        item.revision.era > known.revision.era or not known.is_complete
    ):
        document = _merge_documents(known.document, written)
    changed_s = now_s
    if known is not None and known.document.trials == document.trials:
        changed_s = known.changed_s
    return StoredVerdict(
        name=item.name,
        document=document,
        written=written,
        revision=item.revision,
        changed_s=changed_s,
    )


def _merge_documents(
    known: VerdictDocument, listed: VerdictDocument
) -> VerdictDocument:
    """Return what was found last: fewer companions, more crashes and more trials."""
    return VerdictDocument(
        verdict=replace(
            known.verdict,
            companions=known.verdict.companions & listed.verdict.companions,
            crashes=max(known.verdict.crashes, listed.verdict.crashes),
        ),
        trials=max(known.trials, listed.trials),
    )
