"""HTTP clients that connect by IP address and start no resolver threads."""

from typing import Any, Final

import treq
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_S: Final = 2.0


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Connect to IP addresses without the thread pool that resolves host names."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode()
        return TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S
        )


def make_http_client(*, persistent: bool) -> tuple[Any, HTTPConnectionPool]:
    """Return an HTTP client and the pool that holds its idle connections."""
    # Importing the reactor installs the default one if none was chosen before.
    from twisted.internet import reactor

    pool = HTTPConnectionPool(reactor, persistent=persistent)
    endpoints = AddressEndpoints(reactor)
    agent = Agent.usingEndpointFactory(reactor, endpoints, pool=pool)
    return treq.client.HTTPClient(agent), pool
