"""Decode the registrations of upstreams in the store."""

from bramleyport.core import ServiceName, UpstreamId, ZoneName
from bramleyport.fleet import Registration, SoftwareVersion, Stage
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    read_address,
    read_count,
    read_string,
)
from bramleyport.platform._engines import decode_stage
from bramleyport.platform._list_cursors import is_plain_name

_STATES = {"ready": False, "draining": True}


def decode_registration(name: str, document: Document) -> Registration:
    """Return the registration in the spec of a stored object.

    The name goes into headers, messages and logs, and names no upstream if another
    writer has chosen it.
    """
    if not is_plain_name(name):
        raise MalformedDocumentError(f"not the name of an upstream: {describe(name)}")
    state = read_string(document, "state")
    if state not in _STATES:
        raise MalformedDocumentError(f"unknown state: {describe(state)}")
    return Registration(
        upstream=UpstreamId(name),
        service=ServiceName(read_string(document, "service")),
        address=read_address(document, "addr"),
        zone=ZoneName(read_string(document, "zone")),
        slots=read_count(document, "slots"),
        draining=_STATES[state],
        started_ms=read_count(document, "born", 0),
        stage=_decode_stage(document),
        version=SoftwareVersion(read_string(document, "version")),
        # In an engine's report, this wire name means the count of orders.
        sequence=read_count(document, "seq", 0),
    )


def _decode_stage(document: Document) -> Stage | None:
    if document.get("stage") is None:
        return None
    stage = read_string(document, "stage")
    # Plain services register an empty string as their stage.
    return decode_stage(stage) if stage else None
