"""HTTP server of the stand-ins."""

import asyncio
from typing import Final

from klein import Klein
from twisted.internet import endpoints, reactor as _reactor
from twisted.internet.tcp import Port
from twisted.web.server import Site

LOOPBACK: Final = "127.0.0.1"


async def serve_app(app: Klein, port: int, address: str = LOOPBACK) -> Port:
    """Start to serve on a port; 0 selects a free one."""
    endpoint = endpoints.TCP4ServerEndpoint(_reactor, port, interface=address)
    site = Site(app.resource())
    listening: Port = await endpoint.listen(site).asFuture(asyncio.get_running_loop())
    return listening


def read_port(listening: Port) -> int:
    """Return the port number of a listening port."""
    return int(listening.getHost().port)


async def stop_listening(listening: Port) -> None:
    """Stop accepting connections."""
    stopped = listening.stopListening()
    if stopped is not None:
        await stopped.asFuture(asyncio.get_running_loop())
