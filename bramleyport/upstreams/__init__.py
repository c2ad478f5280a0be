"""Clients of model engines and plain services."""

from bramleyport.upstreams._engine import (
    CacheEvent,
    Completion,
    CompletionEnd,
    EngineClient,
    Token,
)
from bramleyport.upstreams._http import UpstreamError
from bramleyport.upstreams._plain import PlainClient, PlainResponse

__all__ = [
    "CacheEvent",
    "Completion",
    "CompletionEnd",
    "EngineClient",
    "PlainClient",
    "PlainResponse",
    "Token",
    "UpstreamError",
]
