"""Refusal of work while the upstream changes or the agent stops."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bramleyport.answers import AttemptLedger
from bramleyport.wire import Message, Refused

if TYPE_CHECKING:
    from bramleyport.agent._attempt import AgentAttempt
    from bramleyport.core import AttemptId
    from bramleyport.queueing import QueuePolicy
    from bramleyport.transport import Connection


class WorkGate:
    """Track refused attempts and whether a change keeps new work from the upstream."""

    def __init__(
        self,
        queue: "QueuePolicy",
        attempts: "dict[AttemptId, AgentAttempt]",
        running: "set[AttemptId]",
        connections: "Callable[[], set[Connection]]",
        post_description: Callable[[], None],
        count_refusal: Callable[[str], None],
    ) -> None:
        self.ledger = AttemptLedger()
        self.changing = False
        self._queue = queue
        self._attempts = attempts
        self._running = running
        self._connections = connections
        self._post_description = post_description
        self._count_refusal = count_refusal

    def refuse(
        self,
        connection: "Connection",
        attempt: "AttemptId",
        reason: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """Refuse an attempt for good: it was not run and never will be."""
        self.ledger.refuse(attempt)
        self._count_refusal(reason)
        connection.post(
            Refused(attempt=attempt, reason=reason, retry_after_s=retry_after_s)
        )

    def begin_change(self) -> None:
        """Refuse new and queued work; running work continues."""
        self.changing = True
        self.refuse_queued("changing")
        self._post_description()

    def refuse_queued(self, reason: str) -> "list[AttemptId]":
        """Refuse all queued work, so that entries send it to another upstream.

        A refused attempt is no longer held, so its resumption is answered as well.
        """
        refused = [item for item in self._attempts if self._queue.cancel(item)]
        for attempt_id in refused:
            connection = self._attempts.pop(attempt_id).connection
            self.refuse(connection, attempt_id, reason)
        return refused

    def is_idle(self) -> bool:
        """Return whether no work is running on the upstream."""
        return not self._running

    def end_change(self) -> None:
        """Accept new work again."""
        if self.changing:
            self.changing = False
            self._post_description()

    def post_all(self, message: Message) -> None:
        """Send a message to every connected peer."""
        for connection in list(self._connections()):
            connection.post(message)
