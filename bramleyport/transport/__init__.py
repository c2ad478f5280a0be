"""Websocket connections between the system's processes."""

from bramleyport.transport._connection import Connection, Handler, Identity
from bramleyport.transport._deferred import run_as_deferred
from bramleyport.transport._endpoint import listen, open_connection
from bramleyport.transport._http import make_http_client

__all__ = [
    "Connection",
    "Handler",
    "Identity",
    "listen",
    "make_http_client",
    "open_connection",
    "run_as_deferred",
]
