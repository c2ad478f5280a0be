"""Websocket connections between the system's processes."""

from bramleyport.transport._connection import Connection, Handler, Identity
from bramleyport.transport._endpoint import listen, open_connection

__all__ = ["Connection", "Handler", "Identity", "listen", "open_connection"]
