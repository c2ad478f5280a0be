"""HTTP interface for callers."""

from bramleyport.callers._app import CallerApp, CallerHandler, send_error
from bramleyport.callers._channel import CallerSite, make_site
from bramleyport.callers._render import (
    ChunkRenderer,
    render_complete_answer,
    render_error_event,
    render_stream_end,
)
from bramleyport.callers._request import CallerRequest
from bramleyport.callers._status_page import EntryState
from bramleyport.callers._stream import CallerDisconnectedError, CallerStream

__all__ = [
    "CallerApp",
    "CallerDisconnectedError",
    "CallerHandler",
    "CallerRequest",
    "CallerSite",
    "CallerStream",
    "ChunkRenderer",
    "EntryState",
    "make_site",
    "render_complete_answer",
    "render_error_event",
    "render_stream_end",
    "send_error",
]
