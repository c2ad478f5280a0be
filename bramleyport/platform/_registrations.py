"""Decode what upstreams register in the store."""

from bramleyport.core import ServiceName, UpstreamId, ZoneName
from bramleyport.fleet import Registration, Stage
from bramleyport.platform._engines import decode_stage
from bramleyport.platform._wire import (
    Document,
    MalformedDocumentError,
    read_address,
    read_count,
    read_text,
)

_STATES = {"ready": False, "draining": True}


def decode_registration(name: str, document: Document) -> Registration:
    """Return the registration that an object of the store holds."""
    state = read_text(document, "state")
    if state not in _STATES:
        raise MalformedDocumentError(f"state is unknown: {state!r:.60}")
    return Registration(
        upstream=UpstreamId(name),
        service=ServiceName(read_text(document, "service")),
        address=read_address(document, "addr"),
        zone=ZoneName(read_text(document, "zone")),
        slots=read_count(document, "slots"),
        draining=_STATES[state],
        started_ms=read_count(document, "born", 0),
        stage=_decode_stage(document),
    )


def _decode_stage(document: Document) -> Stage | None:
    if document.get("stage") is None:
        return None
    stage = read_text(document, "stage")
    # Plain services register an empty stage.
    return decode_stage(stage) if stage else None
