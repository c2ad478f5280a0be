"""Encode and decode the stored shares of software versions."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import ServiceName
from bramleyport.fleet import SoftwareVersion, VersionShares
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_mappings,
    read_positive,
    read_string,
)

MAX_SHARES: Final = 64


@dataclass(frozen=True, slots=True)
class SharesDocument:
    """Describe the shares of a service, and earlier ones that streams may have."""

    service: ServiceName
    # The newest ones last.
    shares: tuple[VersionShares, ...]


def encode_shares(document: SharesDocument) -> Document:
    """Return the document of the shares of a service."""
    return {
        "service": document.service,
        "epochs": [
            {
                "shares": [
                    {"version": version, "share": share}
                    for version, share in item.shares
                ]
            }
            for item in document.shares
        ],
    }


def decode_shares(document: Document) -> SharesDocument:
    """Return the shares in a document."""
    epochs = read_mappings(document, "epochs")
    if not 0 < len(epochs) <= MAX_SHARES:
        raise MalformedDocumentError(f"no epochs: {describe(epochs)}")
    return SharesDocument(
        ServiceName(read_string(document, "service")),
        tuple(_decode_epoch(item) for item in epochs),
    )


def _decode_epoch(document: Document) -> VersionShares:
    shares = read_mappings(document, "shares")
    if not 0 < len(shares) <= MAX_SHARES:
        raise MalformedDocumentError(f"no shares: {describe(shares)}")
    return VersionShares(
        tuple(
            (
                SoftwareVersion(read_string(item, "version")),
                float(read_positive(item, "share")),
            )
            for item in shares
        )
    )
