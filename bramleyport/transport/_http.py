"""HTTP servers, and HTTP clients that connect by IP address."""

import asyncio
from typing import Any

import treq
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.error import CannotListenError
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from bramleyport.core import StepError
from bramleyport.listening import BACKLOG, close_port
from bramleyport.transport._connect_limit import LimitedEndpoint
from bramleyport.transport._connection_end import ConnectionEnd, RecordingEndpoint


@implementer(IAgentEndpointFactory)
class IpAddressEndpoints:
    """Represent a factory of endpoints that need no thread pool for name resolution."""

    def __init__(self, reactor: Any, end: ConnectionEnd | None = None) -> None:
        self._reactor = reactor
        self._end = end

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Return the endpoint for a URI whose host is an IP address."""
        host = uri.host.decode()
        unlimited = TCP4ClientEndpoint(
            self._reactor,
            host,
            uri.port,
            timeout=None,  # type: ignore[arg-type]
        )
        endpoint = LimitedEndpoint(self._reactor, unlimited)
        return RecordingEndpoint(endpoint, self._end) if self._end else endpoint


async def listen_http(site: Any, address: str, port: int) -> Any:
    """Serve a site on a port and return the listening port object.

    Raise StepError if the port can't be used.
    """
    from twisted.internet import reactor

    endpoint = TCP4ServerEndpoint(reactor, port, backlog=BACKLOG, interface=address)
    try:
        return await endpoint.listen(site).asFuture(asyncio.get_running_loop())
    except CannotListenError as error:
        cause = error.socketError
        reason = getattr(cause, "strerror", None) or repr(cause)
        raise StepError("listen", f"{address}:{port}", reason) from error


def stop_http(listener: Any) -> None:
    """Stop accepting connections; open ones stay open."""
    close_port(listener)


def make_http_client(
    *, persistent: bool, end: ConnectionEnd | None = None
) -> tuple[Any, HTTPConnectionPool]:
    """Return an HTTP client and the pool of its idle connections.

    The ends of its connections are recorded in `end`.
    """
    # Imported here, because the import installs the default reactor if there is none.
    from twisted.internet import reactor

    pool = HTTPConnectionPool(reactor, persistent=persistent)
    endpoints = IpAddressEndpoints(reactor, end)
    agent = Agent.usingEndpointFactory(reactor, endpoints, pool=pool)
    return treq.client.HTTPClient(agent), pool
