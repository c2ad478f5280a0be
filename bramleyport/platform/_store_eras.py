"""Track the era of the platform's store across its answers."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from bramleyport.core import StoreEra
from bramleyport.telemetry import events, log_event

# Applies until an answer names an era, and to stores that name none.
FIRST_ERA: Final = StoreEra(0)


class StoreEras:
    """Track the newest era, and end the watches that wait in an older one."""

    def __init__(self) -> None:
        self._newest: StoreEra | None = None
        self._was_restored = False
        self._watches: set[asyncio.Timeout] = set()
        # Called with the new era when the store was restored from a copy.
        self.on_restored: list[Callable[[StoreEra], None]] = []

    @property
    def newest(self) -> StoreEra:
        """Return the newest era that an answer has named."""
        return FIRST_ERA if self._newest is None else self._newest

    @property
    def named(self) -> StoreEra | None:
        """Return the newest era, or None if no answer has named one."""
        return self._newest

    @property
    def was_restored(self) -> bool:
        """Return whether answers have named more than one era."""
        return self._was_restored

    def record(self, named: StoreEra | None, known: StoreEra | None = None) -> StoreEra:
        """Record the era that an answer names and return the era of the answer.

        An answer of an older era is late, unless the newest one was `known` when its
        request was sent: then no later era has begun, and the answer that named one
        was wrong.
        """
        if named is None:
            return self.newest
        if self._newest is None:
            self._newest = named
        elif named > self._newest or named < self._newest == known:
            self._newest = named
            self._was_restored = True
            self._end_watches()
            self._notify(named)
        return named

    @contextmanager
    def guard_watch(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Let the limit of a watch expire as soon as a later era begins."""
        self._watches.add(limit)
        try:
            yield
        finally:
            self._watches.discard(limit)

    def _end_watches(self) -> None:
        for limit in self._watches:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())

    def _notify(self, era: StoreEra) -> None:
        for notify in self.on_restored:
            try:
                notify(era)
            except Exception as error:  # the others have to learn of the era
                log_event(events.HANDLER_FAILED, step="new era", error=repr(error))
