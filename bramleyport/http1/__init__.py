"""HTTP/1.1 server and client with control over each byte and connection.

klein and treq hide what a gateway must know: whether an answer ended by its framing or
by the end of its connection, which bytes follow an answer, and when a caller has
disconnected. The server and the client therefore use the protocol library h11 on
Twisted's transports.
"""

from bramleyport.http1._caller_budget import CallerBudget, Release
from bramleyport.http1._caller_factory import CallerFactory
from bramleyport.http1._caller_messages import (
    CallerDisconnectedError,
    CallerRequest,
    ConnectionLimits,
)
from bramleyport.http1._client import HttpClient, UpstreamConnection
from bramleyport.http1._messages import (
    Answer,
    ExchangeError,
    ExchangeFailure,
    HttpRequest,
)
from bramleyport.http1._pool import ConnectionPool, PoolLimits
from bramleyport.http1._server import CallerConnection
from bramleyport.http1._socket_options import limit_receive_buffer

__all__ = [
    "Answer",
    "CallerBudget",
    "CallerConnection",
    "CallerDisconnectedError",
    "CallerFactory",
    "CallerRequest",
    "ConnectionLimits",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeFailure",
    "HttpClient",
    "HttpRequest",
    "PoolLimits",
    "Release",
    "UpstreamConnection",
    "limit_receive_buffer",
]
