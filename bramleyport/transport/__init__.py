"""Websocket connections between processes, and HTTP servers and clients."""

from bramleyport.transport._connection import Connection, Handler, Identity
from bramleyport.transport._connection_end import ConnectionEnd
from bramleyport.transport._deferred import run_as_deferred
from bramleyport.transport._endpoint import listen, open_connection
from bramleyport.transport._http import listen_http, make_http_client, stop_http
from bramleyport.transport._tls import TlsContexts, build_tls, is_loopback

__all__ = [
    "Connection",
    "ConnectionEnd",
    "Handler",
    "Identity",
    "TlsContexts",
    "build_tls",
    "is_loopback",
    "listen",
    "listen_http",
    "make_http_client",
    "open_connection",
    "run_as_deferred",
    "stop_http",
]
