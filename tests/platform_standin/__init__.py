"""Stand-ins of the users' platform: its store, its upstreams and its callers."""

from tests.platform_standin._caller import (
    CallerAnswer,
    RawCaller,
)
from tests.platform_standin._http import (
    LOOPBACK,
    RawRequest,
    RawServer,
    read_request,
    render,
)
from tests.platform_standin._scripts import (
    ENDLESS,
    answer_without_length,
    decline,
    fail,
    hang,
    lose_answer,
    make_break_off,
    make_extra,
    script_first,
    truncate,
)
from tests.platform_standin._store import (
    StoreStandin,
)
from tests.platform_standin._upstream import (
    EVENT_COUNT,
    Run,
    Script,
    UpstreamStandin,
    answer_events,
    answer_whole,
    render_event,
    sign,
    start_stream,
    write_chunk,
)

__all__ = [
    "ENDLESS",
    "EVENT_COUNT",
    "LOOPBACK",
    "CallerAnswer",
    "RawCaller",
    "RawRequest",
    "RawServer",
    "Run",
    "Script",
    "StoreStandin",
    "UpstreamStandin",
    "answer_events",
    "answer_whole",
    "answer_without_length",
    "decline",
    "fail",
    "hang",
    "lose_answer",
    "make_break_off",
    "make_extra",
    "read_request",
    "render",
    "render_event",
    "script_first",
    "sign",
    "start_stream",
    "truncate",
    "write_chunk",
]
