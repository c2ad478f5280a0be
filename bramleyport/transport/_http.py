"""HTTP clients that connect by IP address and start no resolver threads."""

from typing import Any, Final

import treq
from twisted.internet import reactor as _reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_S: Final = 2.0


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Connect to IP addresses without the thread pool that resolves host names."""

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode()
        return TCP4ClientEndpoint(_reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S)


def make_http_client(*, persistent: bool) -> tuple[Any, HTTPConnectionPool]:
    """Return an HTTP client and the pool that holds its idle connections."""
    pool = HTTPConnectionPool(_reactor, persistent=persistent)
    agent = Agent.usingEndpointFactory(_reactor, AddressEndpoints(), pool=pool)
    return treq.client.HTTPClient(agent), pool
