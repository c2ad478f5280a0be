"""Read the counts of all entries from the store for the status page."""

import asyncio
import time
from collections.abc import Mapping
from typing import Final

from result import Ok

from bramleyport.core import ServiceName
from bramleyport.objectapi import Kind, ObjectClient, StoredObject
from bramleyport.records import RecordStatus, read_status

# A page that is reloaded constantly causes one list call in this time.
MAX_AGE_S: Final = 10.0
# If the store does not answer within this time, the page has the previous counts.
READ_TIMEOUT_S: Final = 0.5


class StatusTotals:
    """Track the latest status of each record as read from the store."""

    def __init__(self, client: ObjectClient) -> None:
        self.statuses: Mapping[ServiceName, RecordStatus] = {}
        self._client = client
        self._read_s: float | None = None
        self._read_task: asyncio.Task[None] | None = None

    @property
    def age_s(self) -> float | None:
        """Return the time since the store was read, or None if it was not read yet."""
        return None if self._read_s is None else time.monotonic() - self._read_s

    async def refresh(self) -> None:
        """Read the store unless the latest status is recent."""
        if self._read_task is None or self._read_task.done():
            if self.age_s is not None and self.age_s < MAX_AGE_S:
                return
            self._read_task = asyncio.ensure_future(self._read())
        await asyncio.wait({self._read_task}, timeout=READ_TIMEOUT_S)

    async def _read(self) -> None:
        listing = await self._client.list_all(Kind.SERVICES)
        if isinstance(listing, Ok):
            self._read_s = time.monotonic()
            found = {
                ServiceName(i.name): _decode_status(i) for i in listing.ok_value.items
            }
            self.statuses = {n: s for n, s in found.items() if s is not None}


def _decode_status(item: StoredObject) -> RecordStatus | None:
    try:
        return read_status(item.status)
    except Exception:  # an invalid status, such as one written by hand, is not shown
        return None
