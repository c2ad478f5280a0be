"""Follow the service records and the host list in the object API."""

import asyncio
import json
from collections.abc import Callable, Iterable
from typing import Any, Final

from cattrs import BaseValidationError
from result import Err

from bramleyport.core import Revision, make_strict_converter
from bramleyport.membership import Host
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    StoredObject,
    StoreFailure,
    WatchEventType,
)
from bramleyport.replication import Ignored, RecordStore, Snapshot
from bramleyport.telemetry import events, log_event

RETRY_S: Final = 1.0

_converter = make_strict_converter()


class KindWatcher:
    """Keep a copy of all objects of one kind."""

    def __init__(
        self,
        client: ObjectClient,
        kind: Kind,
        on_change: Callable[[Revision, Iterable[StoredObject]], None],
    ) -> None:
        self._client = client
        self._kind = kind
        self._on_change = on_change
        self._objects: dict[str, StoredObject] = {}

    async def run(self) -> None:
        """List once, then watch, and list again whenever the watch expires."""
        while True:
            listing = await self._client.list_all(self._kind)
            if isinstance(listing, Err):
                await asyncio.sleep(RETRY_S)
                continue
            self._objects = {item.name: item for item in listing.ok_value.items}
            revision = listing.ok_value.revision
            self._on_change(revision, self._objects.values())
            await self._follow(revision)

    async def _follow(self, revision: Revision) -> None:
        while True:
            batch = await self._client.watch(self._kind, revision)
            if isinstance(batch, Err):
                if batch.err_value.failure is StoreFailure.EXPIRED:
                    return
                await asyncio.sleep(RETRY_S)
                continue
            revision = batch.ok_value.revision
            for event in batch.ok_value.events:
                if event.type is WatchEventType.DELETED:
                    self._objects.pop(event.object.name, None)
                else:
                    self._objects[event.object.name] = event.object
            if batch.ok_value.events:
                self._on_change(revision, self._objects.values())


def make_record_handler(
    store: RecordStore, on_applied: Callable[[], None]
) -> Callable[[Revision, Iterable[StoredObject]], None]:
    """Return the handler that puts watched records into force."""

    def apply(revision: Revision, objects: Iterable[StoredObject]) -> None:
        documents = tuple(
            json.dumps(dict(item.spec)).encode()
            for item in sorted(objects, key=lambda item: item.name)
        )
        result = store.offer(Snapshot(revision=revision, documents=documents))
        if isinstance(result, Ignored):
            return
        for name, reasons in result.refused.items():
            log_event(events.RECORD_INVALID, record=name, reasons=reasons)
        log_event(events.RECORDS_APPLIED, revision=revision, records=len(store.records))
        on_applied()

    return apply


def make_host_handler(
    on_hosts: Callable[[list[Host]], None],
) -> Callable[[Revision, Iterable[StoredObject]], None]:
    """Return the handler that reads the watched host list."""

    def apply(revision: Revision, objects: Iterable[StoredObject]) -> None:
        hosts: list[Host] = []
        for item in objects:
            rows: Any = item.spec.get("hosts", [])
            try:
                hosts.extend(_converter.structure(rows, list[Host]))
            except BaseValidationError as error:
                log_event(events.STORE_CALL_FAILED, step="hosts", reason=repr(error))
                return
        on_hosts(hosts)

    return apply
