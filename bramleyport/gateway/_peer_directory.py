"""Discover the other gateways through the store."""

import asyncio
from typing import Any, Final

from result import Err

from bramleyport.core import ProcessId
from bramleyport.fleet import Address
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._peers import PeerLink
from bramleyport.platform import (
    Document,
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
    """List this gateway in the store, and track the other gateways."""

    def __init__(
        self, settings: NodeSettings, store: StoreClient, link: PeerLink
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._guard = ObjectGuard(gateway_events.PEER_MESSAGE_INVALID)
        self._addresses: dict[ProcessId, Address] = {}
        self._is_listed = False
        # Set once a list was read, which shows all gateways listed before this one.
        self._has_read_list = False

    async def run(self) -> None:
        """Write the entry of this gateway and read the list of all until cancelled."""
        if self._settings.first_start:
            # Writing before reading ensures that of two gateways that start together
            # at least one finds the other in the list.
            self._is_listed = await self._write_entry()
        while True:
            await self._synchronize()
            settled = self._is_listed and self._has_read_list
            await asyncio.sleep(LISTING_INTERVAL_S if settled else LISTING_RETRY_S)

    async def leave(self) -> None:
        """Remove this gateway from the list."""
        self._link.announce_leaving()
        if self._is_listed:
            await self._store.remove(ObjectKind.GATEWAYS, self._name)

    @property
    def _name(self) -> ObjectName:
        return ObjectName(self._settings.process)

    @property
    def _document(self) -> Document:
        return encode_gateway(Address(self._settings.host, self._settings.peer_port))

    async def _synchronize(self) -> None:
        if not await self._read_list(stale=self._has_read_list):
            return
        self._has_read_list = True
        if not self._is_listed and await self._write_entry():
            self._is_listed = True
            await self._read_list(stale=False)

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
        return True

    async def _read_list(self, *, stale: bool) -> bool:
        listing = await self._store.list_objects(ObjectKind.GATEWAYS, stale=stale)
        if isinstance(listing, Err):
            return False
        self._guard.report_nameless(listing.ok_value.nameless)
        self._guard.retain({item.name for item in listing.ok_value.objects})
        addresses = {}
        for item in listing.ok_value.objects:
            if item.name == self._name:
                # After a restart the entry of the earlier process may still be valid.
                self._is_listed = self._is_listed or item.document == self._document
                continue
            process = ProcessId(item.name)
            # The last valid address of a gateway whose entry is odd is kept.
            address = self._guard.decode(item, _decode) or self._addresses.get(process)
            if address is not None:
                addresses[process] = address
        self._addresses = addresses
        self._link.set_addresses(addresses)
        self._link.announce()
        return True


def _decode(item: StoredObject) -> Address:
    return decode_gateway(item.read_document())
