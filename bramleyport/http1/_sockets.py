"""Set the options of TCP sockets that detect peers which have gone silent."""

import socket
from typing import Any, Final

# Unacknowledged data closes the connection after this time.
USER_TIMEOUT_MS: Final = 2_000
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def watch_peer(transport: Any) -> None:
    """Make the kernel close a connection whose peer stops acknowledging."""
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def send_promptly(transport: Any) -> None:
    """Send small writes at once instead of waiting for more."""
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
