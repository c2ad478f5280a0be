"""Find the other gateways through the store."""

import asyncio
from typing import Any, Final

from result import Err

from bramleyport.core import ProcessId
from bramleyport.fleet import Address
from bramleyport.gateway._peers import PeerLink
from bramleyport.platform import (
    Document,
    MalformedDocumentError,
    NodeSettings,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoreFailure,
    decode_gateway,
    encode_gateway,
)
from bramleyport.telemetry import gateway_events, log_event

# How often the list of gateways is read again. Those that start greet all that they
# find in it, so a read only makes up for greetings that were lost.
LIST_S: Final = 15.0
LIST_RETRY_S: Final = 1.0


class PeerDirectory:
    """Keep this gateway listed, and know the others."""

    def __init__(
        self, settings: NodeSettings, store: StoreClient, link: PeerLink
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._listed = False
        # Set once a list was read that shows all gateways listed before this one.
        self._read = False

    async def run(self) -> None:
        """Keep this gateway listed and know the others until cancelled."""
        if self._settings.first_start:
            # Of two gateways that start together, one is listed before the other reads.
            self._listed = await self._write()
        while True:
            await self._step()
            settled = self._listed and self._read
            await asyncio.sleep(LIST_S if settled else LIST_RETRY_S)

    async def leave(self) -> None:
        """Remove this gateway from the list."""
        self._link.leave()
        if self._listed:
            await self._store.remove(ObjectKind.GATEWAYS, self._name)

    @property
    def _name(self) -> ObjectName:
        return ObjectName(self._settings.process)

    @property
    def _document(self) -> Document:
        return encode_gateway(Address(self._settings.host, self._settings.peer_port))

    async def _step(self) -> None:
        if not await self._read_list(stale=self._read):
            return
        self._read = True
        if not self._listed and await self._write():
            self._listed = True
            await self._read_list(stale=False)

    async def _write(self) -> bool:
        kind = ObjectKind.GATEWAYS
        result: Any = await self._store.create(kind, self._name, self._document)
        if isinstance(result, Err) and (
            result.err_value.failure is StoreFailure.CONFLICT
        ):
            # An earlier process of this host left its entry behind.
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
        addresses = {}
        for item in listing.ok_value.objects:
            if item.name == self._name:
                # After a restart the entry of the process before may serve on.
                self._listed = self._listed or item.document == self._document
                continue
            try:
                addresses[ProcessId(item.name)] = decode_gateway(item.document)
            except MalformedDocumentError as error:
                log_event(
                    gateway_events.PEER_MESSAGE_INVALID,
                    peer=item.name,
                    reason=str(error),
                )
        self._link.set_addresses(addresses)
        self._link.greet()
        return True
