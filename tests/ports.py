"""Ports for processes that are told their port before they bind it."""

import itertools
import os
import socket

# Linux gives outgoing connections ports from 32768 up. A port of that range, found
# free and closed again, was taken by a connection before its process bound it in 1 of
# 90 starts of a fleet.
LOWEST_PORT = 20_000
PORT_COUNT = 12_000
PORTS_PER_PROCESS = 200

_offsets = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def find_port() -> int:
    """Return a free port that no outgoing connection and no earlier call was given."""
    for offset in _offsets:
        port = LOWEST_PORT + offset % PORT_COUNT
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return port
    raise AssertionError("the offsets are endless")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
