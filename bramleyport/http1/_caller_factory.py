"""Make the connections that callers open to one port."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from twisted.internet.protocol import Factory

from bramleyport.http1._caller_budget import CallerBudget
from bramleyport.http1._caller_messages import CallerRequest, ConnectionLimits
from bramleyport.http1._connection_turns import ConnectionTurns
from bramleyport.http1._server import CallerConnection

# Requests that were sent ahead and begin in one turn of the event loop. Other calls
# need several turns, which must stay short.
REQUESTS_AHEAD_PER_TURN: Final = 1

Handler = Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]


class CallerFactory(Factory):
    """Track the connections of one listening port."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], ConnectionLimits],
        budget: CallerBudget | None = None,
        *,
        privileged: bool = False,
    ) -> None:
        self.handler = handler
        self.read_limits = read_limits
        self.budget = budget or CallerBudget()
        # Whether its connections may use those that the budget reserves.
        self.privileged = privileged
        self.connections: set[CallerConnection] = set()
        # Connections whose next request was sent ahead.
        self.turns = ConnectionTurns(REQUESTS_AHEAD_PER_TURN)
        # If set, each answer tells its caller to close the connection.
        self.draining = False

    def buildProtocol(self, addr: Any) -> CallerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerConnection(self)
