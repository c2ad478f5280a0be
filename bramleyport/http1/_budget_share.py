"""Count what one connection to a caller holds, and make it give way to others."""

import weakref
from typing import Any, Protocol

from bramleyport.http1._caller_budget import CallerBudget, ClosingCost
from bramleyport.http1._caller_messages import CallerRequest
from bramleyport.http1._connection_state import ConnectionState
from bramleyport.http1._request_parser import RequestParser, weigh_request
from bramleyport.http1._socket_options import count_unsent_bytes


class SharingConnection(Protocol):
    """Represent a connection that shares the budget with others."""

    transport: Any
    state: ConnectionState
    since_s: float

    @property
    def idle(self) -> bool:
        """Return whether no request is being read or served."""

    @property
    def writable(self) -> bool:
        """Return whether little of what was written waits to be sent."""

    def abort(self) -> None:
        """Close the connection at once."""

    def refuse_for_memory(self) -> None:
        """Refuse the request that is being read, which has not run."""

    def discard_queue(self) -> None:
        """Discard the requests behind the one that is served."""

    def close_idle(self) -> bool:
        """Close the connection unless a request arrives; return whether it did."""


class BudgetShare:
    """Represent the share of one connection in the budget of all."""

    def __init__(
        self, connection: SharingConnection, parser: RequestParser, budget: CallerBudget
    ) -> None:
        # A cycle would keep what a closed connection holds until the next collection.
        self._connection: SharingConnection = weakref.proxy(connection)
        self._parser = parser
        self._budget = budget
        self._running_bytes = 0

    def open(self, *, privileged: bool) -> bool:
        """Return whether there is room for the connection, and count it."""
        return self._budget.add(self, privileged=privileged)

    def close(self) -> None:
        """Release everything."""
        self._budget.remove(self)

    def start_request(self, request: CallerRequest) -> None:
        """Count a request that begins to run."""
        self._running_bytes = weigh_request(request)

    def end_request(self) -> None:
        """Release the request that has run."""
        self._running_bytes = 0
        self.report()

    def report(self) -> None:
        """Report what is held; this may refuse a request or close a connection."""
        if self._connection.state is not ConnectionState.CLOSED:
            self._budget.hold(self, self.held_bytes)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes the connection holds."""
        return self._parser.held_bytes + self._running_bytes + self._unsent_bytes

    @property
    def _unsent_bytes(self) -> int:
        if self._connection.writable:
            return 0
        return count_unsent_bytes(self._connection.transport)

    @property
    def releasable_bytes(self) -> int:
        """Return how many bytes it would release by giving way."""
        if self._connection.state.has_request:
            return max(self._parser.queued_bytes, self._unsent_bytes)
        return self._parser.held_bytes + self._unsent_bytes

    @property
    def closing_cost(self) -> ClosingCost | None:
        """Return what closing it costs; None while its request may run."""
        state = self._connection.state
        if state.has_request:
            return None
        if state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return ClosingCost.CLOSING
        if state is ConnectionState.WAITING:
            return ClosingCost.UNREAD
        return ClosingCost.IDLE if self._connection.idle else ClosingCost.READING

    @property
    def since_s(self) -> float:
        """Return since when it is in its state."""
        return self._connection.since_s

    @property
    def state_name(self) -> str:
        """Return its state, for logs."""
        return "idle" if self._connection.idle else self._connection.state.value

    def give_way(self) -> None:
        """Release bytes, since the memory for callers is used up."""
        state = self._connection.state
        has_ended = state in (ConnectionState.CLOSING, ConnectionState.CLOSED)
        if has_ended or self._unsent_bytes > self._parser.queued_bytes:
            self._connection.abort()
        elif state.has_request:
            self._connection.discard_queue()
        else:
            self._connection.refuse_for_memory()
        self.report()

    def close_now(self) -> bool:
        """Close at once, since the connections for callers are used up."""
        if self._connection.idle and self._connection.writable:
            return self._connection.close_idle()
        self._connection.abort()
        return True
