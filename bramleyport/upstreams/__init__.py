"""Clients of engines and plain services."""

from bramleyport.upstreams._engine import (
    CacheEvent,
    Completion,
    Done,
    EngineClient,
    Token,
)
from bramleyport.upstreams._http import UpstreamError
from bramleyport.upstreams._plain import PlainClient, PlainResponse

__all__ = [
    "CacheEvent",
    "Completion",
    "Done",
    "EngineClient",
    "PlainClient",
    "PlainResponse",
    "Token",
    "UpstreamError",
]
