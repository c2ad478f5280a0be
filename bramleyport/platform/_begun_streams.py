"""Encode and decode the stored versions of streams that a gateway has begun."""

from collections import defaultdict
from collections.abc import Iterable

from bramleyport.core import RequestId, ServiceName
from bramleyport.fleet import BegunStream, SoftwareVersion
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_mappings,
    read_string,
)


def encode_begun_streams(streams: Iterable[BegunStream]) -> Document:
    """Return the document of streams, with those of one version beside each other."""
    groups: dict[tuple[ServiceName, SoftwareVersion], list[RequestId]] = defaultdict(
        list
    )
    for stream in streams:
        groups[stream.service, stream.version].append(stream.origin)
    return {
        "groups": [
            {"service": service, "version": version, "requests": requests}
            for (service, version), requests in groups.items()
        ]
    }


def decode_begun_streams(document: Document) -> list[BegunStream]:
    """Return the streams in a document."""
    return [
        stream
        for group in read_mappings(document, "groups")
        for stream in _decode_group(group)
    ]


def _decode_group(group: Document) -> list[BegunStream]:
    requests = group.get("requests")
    if not isinstance(requests, list):
        raise MalformedDocumentError(f"requests is no list: {describe(requests)}")
    service = ServiceName(read_string(group, "service"))
    version = SoftwareVersion(read_string(group, "version"))
    return [
        BegunStream(origin=_decode_request(item), service=service, version=version)
        for item in requests
    ]


def _decode_request(item: object) -> RequestId:
    if not isinstance(item, str):
        raise MalformedDocumentError(f"request is no text: {describe(item)}")
    return RequestId(item)
