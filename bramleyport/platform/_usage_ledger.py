"""Encode and decode the settled usage windows in the store."""

from bramleyport.core import AccountId, StoreEra
from bramleyport.duties import Counts, LedgerDocument, WindowId
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_count,
    read_mapping,
)


def encode_ledger(ledger: LedgerDocument) -> Document:
    """Return the document of settled windows."""
    return {
        "next_window": ledger.next_window,
        "first_unsent": ledger.first_unsent,
        "era": ledger.era,
        "windows": {str(key): dict(value) for key, value in ledger.windows.items()},
    }


def decode_ledger(document: Document) -> LedgerDocument:
    """Return the settled windows in a document."""
    windows = read_mapping(document, "windows")
    return LedgerDocument(
        next_window=WindowId(read_count(document, "next_window")),
        first_unsent=WindowId(read_count(document, "first_unsent")),
        windows={
            _decode_window(name): _decode_counts(read_mapping(windows, name))
            for name in windows
        },
        era=StoreEra(read_count(document, "era")),
    )


def _decode_window(name: str) -> WindowId:
    if not name.isdecimal() or len(name) > 18:
        raise MalformedDocumentError(f"no window: {describe(name)}")
    return WindowId(int(name))


def _decode_counts(document: Document) -> Counts:
    return {AccountId(name): read_count(document, name) for name in document}
