"""Time limit of connecting that counts only the time in which this process runs."""

from typing import Any, Final

from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.python.failure import Failure
from zope.interface import implementer

CONNECT_TIMEOUT_S: Final = 2.0
# Polls within the limit. Each counts at most its share of the limit.
POLLS: Final = 20


@implementer(IStreamClientEndpoint)
class LimitedEndpoint:
    """Represent an endpoint whose attempts to connect end after the limit.

    The endpoint within it must have no limit of its own.
    """

    def __init__(self, reactor: Any, endpoint: Any) -> None:
        self._reactor = reactor
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connect, or fail with a time-out that is a ConnectError."""
        connecting = self._endpoint.connect(factory)
        limit = _ConnectLimit(self._reactor, connecting)
        return connecting.addBoth(limit.end)


class _ConnectLimit:
    """Cancel one attempt to connect after a number of polls.

    A process that stood still finds its timers due before it has seen which
    connections were established meanwhile. Such a time counts as one poll.
    """

    def __init__(self, reactor: Any, connecting: Any) -> None:
        self._reactor = reactor
        self._connecting = connecting
        self._polls_left = POLLS
        self._timer = self._schedule()

    def end(self, result: Any) -> Any:
        """Stop the timer and return the result of the attempt."""
        if self._timer.active():
            self._timer.cancel()
        if isinstance(result, Failure) and not self._polls_left:
            return Failure(ConnectTimeoutError())
        return result

    def _schedule(self) -> Any:
        return self._reactor.callLater(CONNECT_TIMEOUT_S / POLLS, self._poll)

    def _poll(self) -> None:
        self._polls_left -= 1
        if self._polls_left:
            self._timer = self._schedule()
        else:
            self._connecting.cancel()
