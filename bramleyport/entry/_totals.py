"""The counts of all entries, read from the store for the status page."""

import asyncio
import time
from collections.abc import Mapping
from typing import Final

from result import Ok

from bramleyport.core import ServiceName
from bramleyport.objectapi import Kind, ObjectClient, StoredObject
from bramleyport.records import RecordStatus, read_status

# A page that is reloaded all the time causes one list call in that many seconds.
FRESH_S: Final = 10.0
# The page is shown without new counts when the store does not answer within this time.
WAIT_S: Final = 0.5


class StatusTotals:
    """Hold the latest status of each record that this process has read."""

    def __init__(self, client: ObjectClient) -> None:
        self.statuses: Mapping[ServiceName, RecordStatus] = {}
        self._client = client
        self._read_s: float | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def age_s(self) -> float | None:
        """Return how long ago the store was read, or None if it never was."""
        return None if self._read_s is None else time.monotonic() - self._read_s

    async def refresh(self) -> None:
        """Read the store unless that was done lately."""
        if self._reading is None or self._reading.done():
            if self.age_s is not None and self.age_s < FRESH_S:
                return
            self._reading = asyncio.ensure_future(self._read())
        await asyncio.wait({self._reading}, timeout=WAIT_S)

    async def _read(self) -> None:
        listing = await self._client.list_all(Kind.SERVICES)
        if isinstance(listing, Ok):
            self._read_s = time.monotonic()
            found = {ServiceName(i.name): _read(i) for i in listing.ok_value.items}
            self.statuses = {n: s for n, s in found.items() if s is not None}


def _read(item: StoredObject) -> RecordStatus | None:
    try:
        return read_status(item.status)
    except Exception:  # a status written by hand is not shown
        return None
