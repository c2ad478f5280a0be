"""Measure what an upstream that sends bytes without end costs a gateway.

Run by hand: `python -m tests.hostile_cost KIND`, in a process of its own each time.
Prints the peak memory in MB and the longest time for which the loop was held, in ms.
"""

import asyncio
import os
import resource
import socket
import sys
import time
from typing import Final

from bramleyport.cli._runtime import install_reactor
from bramleyport.fleet import Address

CALL_S: Final = 3.0
TICK_S: Final = 0.001
PIECE: Final = 65_536
HEAD: Final = b"HTTP/1.1 200 OK\r\n"
FOREIGN: Final = HEAD + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS: Final = {
    "body": (HEAD + b"\r\n", b"x" * PIECE),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * PIECE + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "foreign": (b"", FOREIGN * 1_000),
}


def serve(listener: socket.socket, kind: str) -> None:
    """Send bytes without end to whoever connects."""
    connection, _ = listener.accept()
    connection.recv(PIECE)
    first, rest = KINDS[kind]
    try:
        connection.sendall(first)
        while True:
            connection.sendall(rest)
    except OSError:
        return


async def call(address: Address) -> float:
    """Call the server and return for how long the loop was held at most."""
    from twisted.internet import reactor

    from bramleyport.http1 import HttpClient, HttpRequest

    held_s = 0.0

    async def tick() -> None:
        nonlocal held_s
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            held_s = max(held_s, time.monotonic() - before_s - TICK_S)

    connection = await HttpClient(reactor).connect(address, 1.0)
    ticking = asyncio.ensure_future(tick())
    request = HttpRequest(method=b"GET", target=b"/x", headers=[])
    connection.send(request, lambda answer: sys.argv[1] != "foreign")
    try:
        async with asyncio.timeout(CALL_S):
            await connection.read_head()
            await connection.read_body()
    except Exception as error:  # whatever ends the call is printed
        print(repr(error)[:100])
    connection.abort()
    ticking.cancel()
    return held_s


def main() -> None:
    """Play one kind."""
    install_reactor()
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    child = os.fork()
    if child == 0:
        serve(listener, sys.argv[1])
        os._exit(0)
    loop = asyncio.get_event_loop()
    held_s = loop.run_until_complete(call(Address("127.0.0.1", port)))
    os.kill(child, 9)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"{sys.argv[1]}: peak {peak_mb:.0f} MB, loop held {held_s * 1000:.0f} ms")


if __name__ == "__main__":
    main()
