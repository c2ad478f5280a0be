"""Follow the service records and the host list in the object API."""

import asyncio
import json
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any, Final, Protocol

from result import Err

from bramleyport.core import Revision, is_encodable
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    StoredObject,
    StoreFailure,
    WatchEvent,
    WatchEventType,
)
from bramleyport.replication import Applied, Changes
from bramleyport.supervision import supervise
from bramleyport.telemetry import log_event, membership_events
from bramleyport.wire import ReplicaEntry

if TYPE_CHECKING:
    from bramleyport.links._hub import PeerHub

RETRY_INTERVAL_S: Final = 1.0
# Short enough for two answers within the time after which the store counts as stalled.
WATCH_TIMEOUT_S: Final = 2.0


class Updater(Protocol):
    """Represent a receiver of the listings and changes of one kind."""

    def apply_listing(self, revision: Revision, items: Iterable[StoredObject]) -> None:
        """Apply a listing of all objects."""
        ...

    def apply_changes(self, revision: Revision, events: Iterable[WatchEvent]) -> None:
        """Apply the changes up to a revision."""
        ...


class KindWatcher:
    """Represent a watch of all objects of one kind."""

    def __init__(
        self,
        client: ObjectClient,
        kind: Kind,
        updater: Updater,
        on_answer: Callable[[], None],
    ) -> None:
        self._client = client
        self._kind = kind
        self._updater = updater
        self._on_answer = on_answer

    async def run(self) -> None:
        """List the objects, then watch them; list again when the watch expires."""
        while True:
            listing = await self._client.list_all(self._kind)
            if isinstance(listing, Err):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._on_answer()
            revision = listing.ok_value.revision
            self._updater.apply_listing(revision, listing.ok_value.items)
            await self._follow(revision)

    async def _follow(self, revision: Revision) -> None:
        while True:
            batch = await self._client.watch(self._kind, revision, WATCH_TIMEOUT_S)
            if isinstance(batch, Err):
                if batch.err_value.failure is StoreFailure.EXPIRED:
                    return
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._on_answer()
            revision = batch.ok_value.revision
            self._updater.apply_changes(revision, batch.ok_value.events)


class RecordUpdater:
    """Represent the update of the replica from watched service records."""

    def __init__(self, hub: "PeerHub") -> None:
        self._hub = hub

    def apply_listing(self, revision: Revision, items: Iterable[StoredObject]) -> None:
        """Apply a listing of all records."""
        entries = [_make_entry(item) for item in items]
        store = self._hub.replica.records
        self._publish(store.update_from_listing(revision, entries))

    def apply_changes(self, revision: Revision, events: Iterable[WatchEvent]) -> None:
        """Apply the changed records up to a revision."""
        entries = [
            _make_entry(event.object, removed=event.type is WatchEventType.DELETED)
            for event in events
        ]
        store = self._hub.replica.records
        self._publish(store.update_from_changes(revision, entries))

    def _publish(self, result: object) -> None:
        if isinstance(result, Applied):
            sends = self._hub.replica.push()
            self._hub.apply(Changes(records=True, refused=result.refused, sends=sends))


class HostUpdater:
    """Represent the update of the replica from the watched host list."""

    def __init__(self, hub: "PeerHub") -> None:
        self._hub = hub
        self._objects: dict[str, StoredObject] = {}

    def apply_listing(self, revision: Revision, items: Iterable[StoredObject]) -> None:
        """Apply the complete host list."""
        known = self._objects
        self._objects = {}
        for item in items:
            self._keep(item, known.get(item.name))
        changed = [item.revision for item in self._objects.values()]
        self._update_hosts(max(changed, default=revision))

    def apply_changes(self, revision: Revision, events: Iterable[WatchEvent]) -> None:
        """Apply the changes of the host list up to a revision."""
        latest = Revision(0)
        for event in events:
            latest = max(latest, event.object.revision)
            if event.type is WatchEventType.DELETED:
                self._objects.pop(event.object.name, None)
            else:
                self._keep(event.object, self._objects.get(event.object.name))
        if latest:
            self._update_hosts(latest)

    def _keep(self, item: StoredObject, last_valid: StoredObject | None) -> None:
        """Replace an object by a new version, unless that one has no list."""
        if isinstance(item.spec.get("hosts", []), list):
            self._objects[item.name] = item
            return
        log_event(membership_events.HOST_LIST_REFUSED, name=item.name)
        if last_valid is not None:
            self._objects[item.name] = last_valid

    def _update_hosts(self, revision: Revision) -> None:
        rows: list[Any] = []
        for item in self._objects.values():
            rows.extend(_list_rows(item))
        store = self._hub.replica.hosts
        is_changed = store.update_from_rows(revision, rows)
        for name, reasons in store.refused.items():
            log_event(membership_events.HOST_ROW_INVALID, host=name, reasons=reasons)
        if is_changed:
            self._hub.apply(Changes(hosts=True, sends=self._hub.replica.push()))


class StoreFollower:
    """Represent the watches of the store, active while this entry is a watcher."""

    def __init__(self, client: ObjectClient, hub: "PeerHub") -> None:
        self._client = client
        self._hub = hub
        self._tasks: list[asyncio.Task[None]] = []

    def update(self) -> None:
        """Start or stop watching, depending on the topology."""
        assert self._hub.topology is not None
        watching = self._hub.topology.is_watching
        if watching and not self._tasks:
            log_event(membership_events.WATCH_STARTED)
            updaters: dict[Kind, Updater] = {
                Kind.SERVICES: RecordUpdater(self._hub),
                Kind.HOSTS: HostUpdater(self._hub),
            }
            self._tasks = [
                asyncio.ensure_future(supervise(self._make_watcher(*item).run))
                for item in updaters.items()
            ]
        elif not watching and self._tasks:
            log_event(membership_events.WATCH_STOPPED)
            self.stop()

    def _make_watcher(self, kind: Kind, updater: Updater) -> KindWatcher:
        on_answer = self._hub.record_store_answer
        return KindWatcher(self._client, kind, updater, on_answer)

    def stop(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._hub.stop_watching()


def _list_rows(item: StoredObject) -> Iterator[dict[str, Any]]:
    """Yield the rows of a host list that name a process."""
    for row in item.spec.get("hosts", []):
        name = row.get("process") if isinstance(row, dict) else None
        if isinstance(name, str) and name and is_encodable(name):
            yield row
        else:
            log_event(
                membership_events.HOST_ROW_INVALID,
                name=item.name,
                reasons=["the row names no process"],
            )


def _make_entry(item: StoredObject, *, removed: bool = False) -> ReplicaEntry:
    document = None if removed else _encode_spec(item)
    return ReplicaEntry(name=item.name, revision=item.revision, document=document)


def _encode_spec(item: StoredObject) -> bytes:
    try:
        return json.dumps(dict(item.spec)).encode()
    except RecursionError:
        # Refused as a document that is not JSON, and the last valid one is kept.
        return b""
