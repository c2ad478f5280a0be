"""Encode and decode the stored objects by which gateways discover each other."""

from bramleyport.fleet import Address
from bramleyport.platform._documents import Document, read_address


def encode_gateway(address: Address) -> Document:
    """Return the document that registers a gateway."""
    return {"address": str(address)}


def decode_gateway(document: Document) -> Address:
    """Return the address at which a gateway receives messages of its peers."""
    return read_address(document, "address")
