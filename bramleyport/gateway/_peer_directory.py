"""Discover the other gateways through the store."""

import asyncio
from typing import Any, Final

from result import Err

from bramleyport.core import ProcessId, StoreEra
from bramleyport.fleet import Address, GatewayRoster
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._peers import PeerLink
from bramleyport.gateway._repair_queue import RepairQueue
from bramleyport.platform import (
    Document,
    Listing,
    NodeSettings,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    StoreFailure,
    decode_gateway,
    encode_gateway,
)
from bramleyport.telemetry import gateway_events, log_event

# A starting gateway announces itself to all listed gateways, so reading the list again
# only makes up for lost announcements.
LISTING_INTERVAL_S: Final = 15.0
LISTING_RETRY_S: Final = 1.0


class PeerDirectory:
    """List this gateway in the store, and track the other gateways.

    A store that is restored from a copy may lack this gateway and list some that have
    left. Its entry is written again at once, and theirs are removed again.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: StoreClient,
        link: PeerLink,
        roster: GatewayRoster,
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._roster = roster
        self._guard = ObjectGuard(gateway_events.PEER_MESSAGE_INVALID)
        self._addresses: dict[ProcessId, Address] = {}
        self._is_listed = False
        # Set once a list was read in the newest era. The first list shows all gateways
        # that were listed before this one.
        self._has_read_list = False
        # The era of the last list.
        self._era: StoreEra | None = None
        self._has_entry = False
        self._is_leaving = False
        self._entries: set[ProcessId] = set()
        # Listed gateways that have left.
        self._repairs = RepairQueue(settings.process, roster)
        self._restored = asyncio.Event()
        store.eras.on_restored.append(self._record_restored)

    async def run(self) -> None:
        """Write the entry of this gateway and read the list of all until cancelled."""
        if self._settings.first_start:
            # Writing before reading ensures that of two gateways that start together
            # at least one finds the other in the list.
            self._is_listed = await self._write_entry()
        while True:
            self._restored.clear()
            await self._remove_left()
            await self._synchronize()
            await self._wait()

    async def leave(self) -> None:
        """Remove this gateway from the list."""
        self._is_leaving = True
        self._link.announce_leaving()
        if self._has_entry:
            await self._store.remove(ObjectKind.GATEWAYS, self._name)

    @property
    def _name(self) -> ObjectName:
        return ObjectName(self._settings.process)

    @property
    def _document(self) -> Document:
        return encode_gateway(Address(self._settings.host, self._settings.peer_port))

    def _record_restored(self, _: StoreEra) -> None:
        self._is_listed = self._has_read_list = False
        self._restored.set()

    async def _wait(self) -> None:
        """Wait until a list or a removal is due, or a new era begins."""
        settled = self._is_listed and self._has_read_list
        wait_s = LISTING_INTERVAL_S if settled else LISTING_RETRY_S
        due_s = read_now() + wait_s
        repair_s = self._repairs.find_next()
        try:
            async with asyncio.timeout_at(min(due_s, repair_s or due_s)):
                await self._restored.wait()
        except TimeoutError:
            return

    async def _synchronize(self) -> None:
        if not await self._read_list(stale=self._has_read_list):
            return
        if self._is_listed or self._is_leaving:
            return
        if await self._write_entry():
            self._is_listed = True
            await self._read_list(stale=False)

    async def _remove_left(self) -> None:
        """Remove entries of gateways that have left and are listed all the same."""
        due = self._repairs.take_due(read_now())
        if due and not await self._read_list(stale=False):
            due_again_s = read_now() + LISTING_RETRY_S
            for name in due:
                self._repairs.postpone(name, due_again_s)
            return
        for name in due:
            process = ProcessId(name)
            if process not in self._entries:
                continue
            if self._roster.has_left(process, read_now()):
                await self._store.remove(ObjectKind.GATEWAYS, ObjectName(name))
                log_event(gateway_events.LEFT_GATEWAY_REMOVED, gateway=name)

    async def _write_entry(self) -> bool:
        kind = ObjectKind.GATEWAYS
        result: Any = await self._store.create(kind, self._name, self._document)
        if isinstance(result, Err) and (
            result.err_value.failure is StoreFailure.CONFLICT
        ):
            # An earlier process on this host has left its entry.
            result = await self._store.replace(kind, self._name, self._document)
        if isinstance(result, Err):
            log_event(
                gateway_events.GATEWAY_NOT_LISTED,
                failure=result.err_value.failure.value,
                reason=result.err_value.reason,
            )
            return False
        self._has_entry = True
        return True

    async def _read_list(self, *, stale: bool) -> bool:
        listing = await self._store.list_objects(ObjectKind.GATEWAYS, stale=stale)
        if isinstance(listing, Err):
            return False
        addresses = self._decode_addresses(listing.ok_value)
        era = listing.ok_value.revision.era
        restored = self._era is not None and era > self._era
        self._era = era
        self._link.set_addresses(addresses, restored=restored)
        self._record_own(listing.ok_value, stale=stale)
        if restored:
            for process in addresses:
                if self._roster.has_left(process, read_now()):
                    self._repairs.add(process, read_now())
        if not self._is_leaving:
            self._link.announce()
        return True

    def _decode_addresses(self, listing: Listing) -> dict[ProcessId, Address]:
        """Return the addresses of the other gateways."""
        self._guard.record_listing(listing)
        # Gateways on pages that could not be read keep their addresses.
        addresses = {} if listing.is_complete else dict(self._addresses)
        for item in listing.objects:
            if item.name == self._name:
                continue
            process = ProcessId(item.name)
            # The last valid address of a gateway whose entry is odd is kept.
            address = self._guard.decode(item, _decode) or self._addresses.get(process)
            if address is not None:
                addresses[process] = address
        self._addresses = addresses
        self._entries = set(addresses)
        return addresses

    def _record_own(self, listing: Listing, *, stale: bool) -> None:
        """Record whether this gateway is listed.

        Only a fresh and complete list can deny it.
        """
        own = [item.document for item in listing.objects if item.name == self._name]
        if own == [self._document]:
            # After a restart the entry of the earlier process may still be valid.
            self._is_listed = self._has_entry = self._has_read_list = True
            return
        if not listing.is_complete:
            self._has_read_list = True
        elif stale:
            self._has_read_list = not self._is_listed
        else:
            self._has_read_list, self._is_listed = True, False


def _decode(item: StoredObject) -> Address:
    return decode_gateway(item.read_document())
