"""Callers that send many requests ahead and leave their answers unread.

Arguments: host, port for callers, port for the question whether it is ready, number of
callers, seconds. Each request is proper and stays within the limits of the configuration.
Half of the callers ask for the path that says ready, the others for a path that no route
has.
"""

import asyncio
import sys

HEADERS = b"".join(b"x%d: y\r\n" % number for number in range(1000))
READY = b"GET /-/ready HTTP/1.1\r\nHost: calls.example\r\n" + HEADERS + b"\r\n"
UNKNOWN = b"GET /nothing/here HTTP/1.1\r\nHost: calls.example\r\n" + HEADERS + b"\r\n"
AHEAD = 16


async def call(host, port, request):
    while True:
        try:
            _, writer = await asyncio.open_connection(host, port)
            writer.transport.pause_reading()
            while True:
                writer.write(request * AHEAD)
                await writer.drain()
        except OSError:
            await asyncio.sleep(0.5)


async def run(host, port, ready_port, count, seconds):
    assert max(len(READY), len(UNKNOWN)) < 16384
    kinds = ((port, UNKNOWN), (ready_port, READY))
    tasks = [asyncio.ensure_future(call(host, *kinds[index % 2])) for index in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()


asyncio.run(run(sys.argv[1], *map(int, sys.argv[2:5]), float(sys.argv[5])))
