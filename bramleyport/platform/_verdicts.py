"""Encode and decode the stored objects that name prompt parts which crash upstreams."""

from dataclasses import dataclass

from bramleyport.fleet import PrefixId, Verdict
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_count,
)
from bramleyport.platform._prefixes import decode_prefix


@dataclass(frozen=True, slots=True, kw_only=True)
class VerdictDocument:
    """Describe a stored verdict and the trials that its part has had."""

    verdict: Verdict
    trials: int


def encode_verdict(verdict: Verdict, trials: int) -> Document:
    """Return the document of a verdict."""
    return {
        "part": verdict.part,
        "companions": sorted(verdict.companions),
        "crashes": verdict.crashes,
        "trials": trials,
    }


def decode_verdict(document: Document) -> VerdictDocument:
    """Return the verdict in a document."""
    part = decode_prefix(document.get("part"))
    return VerdictDocument(
        verdict=Verdict(
            part=part,
            companions=_decode_companions(document) | {part},
            crashes=read_count(document, "crashes"),
        ),
        trials=read_count(document, "trials", 0),
    )


def _decode_companions(document: Document) -> frozenset[PrefixId]:
    companions = document.get("companions")
    if not isinstance(companions, list):
        raise MalformedDocumentError(f"companions is no list: {describe(companions)}")
    return frozenset(decode_prefix(item) for item in companions)
