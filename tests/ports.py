"""Find ports for processes that get their port in their settings."""

import fcntl
import itertools
import os
import socket
import tempfile
from collections import deque
from pathlib import Path

# Linux gives outgoing connections ports from 32768 up. In 1 of 90 starts of a fleet, an
# outgoing connection took a free port of that range before its process bound it.
LOWEST_PORT = 20_000
PORT_COUNT = 12_000
PORTS_PER_PROCESS = 200
# One test or soak takes fewer; several processes share all ports.
RESERVED_PORTS = 2_000
# Of the ports of a test that has ended: what it left behind may still call them.
KEPT_PORTS = 200

_offsets = itertools.count(os.getpid() * PORTS_PER_PROCESS)
# One byte for each port; its lock reserves the port and ends with the process.
_reservations = (Path(tempfile.gettempdir()) / "bramleyport-test-ports").open("wb")
_reserved: deque[int] = deque()


def find_port() -> int:
    """Reserve a free port against other processes of the tests, and return it."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = LOWEST_PORT + offset % PORT_COUNT
        if port not in _reserved and _reserve(port):
            return port
    raise RuntimeError(f"none of {PORT_COUNT} ports is free")


def release_ports() -> None:
    """Give back the ports of ended tests, except for the latest ones."""
    _release_beyond(KEPT_PORTS)


def _release_beyond(count: int) -> None:
    while len(_reserved) > count:
        fcntl.lockf(_reservations, fcntl.LOCK_UN, 1, _reserved.popleft())


def _reserve(port: int) -> bool:
    """Return whether no other process reserves or uses a port, and reserve it."""
    try:
        fcntl.lockf(_reservations, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except BlockingIOError:
        return False
    _reserved.append(port)
    _release_beyond(RESERVED_PORTS)
    return _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM)


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
