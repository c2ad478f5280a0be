"""Provide stand-ins of the outside platform: its store, upstreams and callers."""

from tests.platform_standin._caller import (
    CallerAnswer,
    RawCaller,
)
from tests.platform_standin._crashes import (
    CrashingEngine,
    EngineCrash,
    list_parts,
)
from tests.platform_standin._http import (
    LOOPBACK,
    RawRequest,
    RawServer,
    read_request,
    render_response,
)
from tests.platform_standin._odd_entries import (
    ODD_FIELDS,
    ODD_METADATA,
    REFUSED_DEPTH,
    make_nested,
)
from tests.platform_standin._scripts import (
    ENDLESS_ANSWERS,
    answer_without_length,
    decline,
    fail,
    hang,
    lose_answer,
    make_misdirected_answer,
    make_stream_abort,
    script_first_request,
    truncate,
)
from tests.platform_standin._store import (
    RawJson,
    StoreCopy,
    StoreStandin,
)
from tests.platform_standin._upstream import (
    EVENT_COUNT,
    Script,
    UpstreamArrival,
    UpstreamRun,
    UpstreamStandin,
    answer_normally,
    make_stamp_headers,
    render_event,
    start_stream,
    stream_events,
    write_chunk,
)
from tests.platform_standin._versions import (
    EVENTS_BEFORE_BREAK,
    VersionedEngine,
    read_versions,
)

__all__ = [
    "ENDLESS_ANSWERS",
    "EVENTS_BEFORE_BREAK",
    "EVENT_COUNT",
    "LOOPBACK",
    "ODD_FIELDS",
    "ODD_METADATA",
    "REFUSED_DEPTH",
    "CallerAnswer",
    "CrashingEngine",
    "EngineCrash",
    "RawCaller",
    "RawJson",
    "RawRequest",
    "RawServer",
    "Script",
    "StoreCopy",
    "StoreStandin",
    "UpstreamArrival",
    "UpstreamRun",
    "UpstreamStandin",
    "VersionedEngine",
    "answer_normally",
    "answer_without_length",
    "decline",
    "fail",
    "hang",
    "list_parts",
    "lose_answer",
    "make_misdirected_answer",
    "make_nested",
    "make_stamp_headers",
    "make_stream_abort",
    "read_request",
    "read_versions",
    "render_event",
    "render_response",
    "script_first_request",
    "start_stream",
    "stream_events",
    "truncate",
    "write_chunk",
]
