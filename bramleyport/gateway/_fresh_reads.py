"""Share one read of an object among all that need what it is now."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Generic, TypeVar

from bramleyport.gateway._clock import read_now

# Time between two reads, so that many who ask in turn don't overload the store.
MIN_INTERVAL_S: Final = 0.1

T = TypeVar("T")


class FreshReads(Generic[T]):
    """Read something anew for callers, with one read for those that ask meanwhile.

    A read that had begun when a caller asks may miss what was written since, so the
    caller gets the result of the next one.
    """

    def __init__(
        self, read: Callable[[], Awaitable[T]], interval_s: float = MIN_INTERVAL_S
    ) -> None:
        self._read = read
        self.interval_s = interval_s
        self._running: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None
        self._began_s: float | None = None

    @property
    def idle(self) -> bool:
        """Return whether no read is running or waited for."""
        running = self._running is not None and not self._running.done()
        return self._next is None and not running

    async def request(self) -> T:
        """Return the result of a read that begins after this call."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_after(self._running))
        # A caller that gives up must not end the read of the others.
        return await asyncio.shield(self._next)

    async def _read_after(self, running: "asyncio.Task[T] | None") -> T:
        if running is not None:
            await asyncio.wait([running])
        if self._began_s is not None:
            await asyncio.sleep(self._began_s + self.interval_s - read_now())
        self._running, self._next = self._next, None
        self._began_s = read_now()
        return await self._read()
