"""Measure the cost of an upstream that never stops sending bytes.

Run manually with `python -m tests.hostile_cost KIND`, one process for each kind.
Prints the peak memory in MB and the longest time that the event loop was blocked.
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
BLOCK_BYTES: Final = 65_536
HEAD: Final = b"HTTP/1.1 200 OK\r\n"
FOREIGN: Final = HEAD + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS: Final = {
    "body": (HEAD + b"\r\n", b"x" * BLOCK_BYTES),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * BLOCK_BYTES + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "foreign": (b"", FOREIGN * 1_000),
}


def serve(listener: socket.socket, kind: str) -> None:
    """Send bytes to the first client until it disconnects."""
    connection, _ = listener.accept()
    connection.recv(BLOCK_BYTES)
    first, rest = KINDS[kind]
    try:
        connection.sendall(first)
        while True:
            connection.sendall(rest)
    except OSError:
        return


async def call(address: Address) -> float:
    """Call the server and return the longest time that the event loop was blocked."""
    from twisted.internet import reactor

    from bramleyport.http1 import HttpClient, HttpRequest

    blocked_s = 0.0

    async def tick() -> None:
        nonlocal blocked_s
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            blocked_s = max(blocked_s, time.monotonic() - before_s - TICK_S)

    connection = await HttpClient(reactor).connect(address, 1.0)
    ticking = asyncio.ensure_future(tick())
    request = HttpRequest(method=b"GET", target=b"/x", headers=[])
    connection.send(request, lambda answer: sys.argv[1] != "foreign")
    try:
        async with asyncio.timeout(CALL_S):
            await connection.read_head()
            await connection.read_body()
    except Exception as error:  # any error ends the measurement and is printed
        print(repr(error)[:100])
    connection.abort()
    ticking.cancel()
    return blocked_s


def main() -> None:
    """Measure one kind of endless answer."""
    install_reactor()
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    child = os.fork()
    if child == 0:
        serve(listener, sys.argv[1])
        os._exit(0)
    loop = asyncio.get_event_loop()
    blocked_s = loop.run_until_complete(call(Address("127.0.0.1", port)))
    os.kill(child, 9)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"{sys.argv[1]}: peak {peak_mb:.0f} MB, loop blocked {blocked_s * 1000:.0f} ms"
    )


if __name__ == "__main__":
    main()
