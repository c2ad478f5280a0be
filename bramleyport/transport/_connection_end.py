"""Record how the connections of an HTTP client end."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from zope.interface import implementer


@dataclass(slots=True)
class ConnectionEnd:
    """Describe how the connections of an HTTP client ended.

    Twisted's HTTP client does not tell whether a body without length was ended by a
    close or by a reset.
    """

    reset: bool = False


class _RecordingProtocol(ProtocolWrapper):
    """Represent a connection whose end is recorded before its HTTP client sees it."""

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: N802, B008
        """Record the end of the connection."""
        if not reason.check(ConnectionDone):
            self.factory.end.reset = True
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class _RecordingFactory(WrappingFactory):
    """Represent a factory of connections whose end is recorded."""

    protocol = _RecordingProtocol
    noisy = False

    def __init__(self, factory: Any, end: ConnectionEnd) -> None:
        super().__init__(factory)  # type: ignore[no-untyped-call]
        self.end = end


@implementer(IStreamClientEndpoint)
class RecordingEndpoint:
    """Represent an endpoint that records the ends of its connections."""

    def __init__(self, endpoint: Any, end: ConnectionEnd) -> None:
        self._endpoint = endpoint
        self._end = end

    def connect(self, factory: Any) -> Any:
        """Connect and return the protocol that the factory builds."""
        recording: Any = _RecordingFactory(factory, self._end)
        connected = self._endpoint.connect(recording)
        return connected.addCallback(lambda protocol: protocol.wrappedProtocol)
