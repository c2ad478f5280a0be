"""Limit what a caller leaves unread before its next request begins."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from bramleyport.http1._socket_options import count_unread_bytes

# In the kernel and in this process, whose part has a budget for all connections, too.
MAX_UNREAD_BYTES: Final = 1_048_576
MIN_POLL_INTERVAL_S: Final = 0.01
MAX_POLL_INTERVAL_S: Final = 0.32


class UnreadAnswers:
    """Represent the answers that were written and that the caller has not read.

    What the caller's host has acknowledged counts as read. The kernel does not tell
    when this changes, so it is asked again, less often while nothing changes.
    """

    def __init__(self) -> None:
        # The unread bytes, or more.
        self._bound = 0
        self._next_poll: asyncio.TimerHandle | None = None

    def add(self, size: int) -> None:
        """Count bytes that were written."""
        self._bound += size

    def exceed_limit(self, transport: Any) -> bool:
        """Return whether the caller has to read before its next request begins."""
        if self._bound > MAX_UNREAD_BYTES:
            self._bound = count_unread_bytes(transport)
        return self._bound > MAX_UNREAD_BYTES

    def wait(
        self,
        transport: Any,
        on_progress: Callable[[], None],
        on_read: Callable[[], None],
        delay_s: float = MIN_POLL_INTERVAL_S,
    ) -> None:
        """Call back when some bytes were read, and once enough were."""

        def check() -> None:
            before = self._bound
            if not self.exceed_limit(transport):
                self._next_poll = None
                on_read()
                return
            if self._bound < before:
                on_progress()
                self.wait(transport, on_progress, on_read)
                return
            later_s = min(2 * delay_s, MAX_POLL_INTERVAL_S)
            self.wait(transport, on_progress, on_read, later_s)

        self._next_poll = asyncio.get_running_loop().call_later(delay_s, check)

    def stop(self) -> None:
        """Stop waiting."""
        if self._next_poll is not None:
            self._next_poll.cancel()
            self._next_poll = None
