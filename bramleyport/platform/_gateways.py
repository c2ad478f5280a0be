"""Encode and decode the entries by which gateways find each other."""

from bramleyport.fleet import Address
from bramleyport.platform._wire import Document, read_address


def encode_gateway(address: Address) -> Document:
    """Return the document that lists a gateway."""
    return {"address": str(address)}


def decode_gateway(document: Document) -> Address:
    """Return the address under which a gateway hears its peers."""
    return read_address(document, "address")
