"""Options and state of TCP sockets, such as what detects unresponsive peers."""

import fcntl
import socket
import struct
import termios
from typing import Any, Final

# The kernel closes a connection whose sent data is not acknowledged within this time.
USER_TIMEOUT_MS: Final = 2_000
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# The kernel doubles it for its own use.
RECEIVE_BUFFER_BYTES: Final = 65_536


def enable_peer_timeout(transport: Any) -> None:
    """Make the kernel close a connection whose peer no longer acknowledges data."""
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def disable_write_delay(transport: Any) -> None:
    """Disable the delay of small writes (Nagle's algorithm)."""
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_receive_buffer(port: Any) -> None:
    """Limit what the kernel keeps of each connection that a port accepts.

    By itself it keeps up to 6 MB of a connection that nobody reads.
    """
    port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def count_unsent_bytes(transport: Any) -> int:
    """Return how many bytes a transport has not passed to the kernel."""
    unsent = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return int(unsent)


def count_unread_bytes(transport: Any) -> int:
    """Return how many written bytes the peer's host has not acknowledged."""
    return count_unsent_bytes(transport) + _count_outgoing_bytes(transport)


def count_unacknowledged_bytes(transport: Any) -> int:
    """Return how many bytes in the kernel the peer's host has not acknowledged.

    None are left of a connection that has broken.
    """
    handle = transport.getHandle()
    if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return 0
    return _count_outgoing_bytes(transport)


def _count_outgoing_bytes(transport: Any) -> int:
    try:
        descriptor = transport.getHandle().fileno()
        count = fcntl.ioctl(descriptor, termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):  # a closed socket has a negative descriptor
        return 0
    return int(struct.unpack("i", count)[0])
