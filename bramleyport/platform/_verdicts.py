"""Encode and decode the stored objects that name what crashes upstreams."""

from dataclasses import dataclass

from bramleyport.fleet import TraitId, Verdict
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_count,
)
from bramleyport.platform._prefixes import decode_prefix


@dataclass(frozen=True, slots=True, kw_only=True)
class VerdictDocument:
    """Describe a stored verdict and the trials that its trait has had."""

    verdict: Verdict
    trials: int


def encode_verdict(verdict: Verdict, trials: int) -> Document:
    """Return the document of a verdict."""
    return {
        "part": verdict.trait,
        "companions": sorted(verdict.companions),
        "crashes": verdict.crashes,
        "trials": trials,
    }


def decode_verdict(document: Document) -> VerdictDocument:
    """Return the verdict in a document."""
    trait = _decode_trait(document.get("part"))
    return VerdictDocument(
        verdict=Verdict(
            trait=trait,
            companions=_decode_companions(document) | {trait},
            crashes=read_count(document, "crashes"),
        ),
        trials=read_count(document, "trials", 0),
    )


def _decode_companions(document: Document) -> frozenset[TraitId]:
    companions = document.get("companions")
    if not isinstance(companions, list):
        raise MalformedDocumentError(f"companions is no list: {describe(companions)}")
    return frozenset(_decode_trait(item) for item in companions)


def _decode_trait(value: object) -> TraitId:
    return TraitId(decode_prefix(value))
