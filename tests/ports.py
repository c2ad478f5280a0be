"""Find ports for processes that get their port in their settings."""

import itertools
import os
import socket

# Linux gives outgoing connections ports from 32768 up. In 1 of 90 starts of a fleet, an
# outgoing connection took a free port of that range before its process bound it.
LOWEST_PORT = 20_000
PORT_COUNT = 12_000
PORTS_PER_PROCESS = 200

_offsets = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def find_port() -> int:
    """Return a free port that outgoing connections and earlier calls don't use."""
    for offset in _offsets:
        port = LOWEST_PORT + offset % PORT_COUNT
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return port
    raise AssertionError("unreachable: the offsets never end")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
