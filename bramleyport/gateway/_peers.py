"""Tell the other gateways what is sent to upstreams, and hear it from them.

Datagrams suit this: what is lost or late only makes a forecast worse, and it is soon
out of date.
"""

import asyncio
import time
from dataclasses import replace
from typing import Any, Final

from result import Err
from twisted.internet.protocol import DatagramProtocol

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import Address
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_messages import (
    MAX_ITEMS,
    ChangingEngine,
    PeerMessage,
    PeerMessageError,
    WorkRef,
    decode_message,
    encode_message,
)
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._tracker import PendingNews, Tracker
from bramleyport.platform import (
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

# News are sent together at this interval, longer with many peers so that the datagrams
# of all gateways stay bounded.
FLUSH_S: Final = 0.03
FLUSH_PER_PEER_S: Final = 0.003
# A prompt that keeps an engine busy for more than this many intervals is announced at
# once: until they hear of it, the other gateways send theirs to the same idle engine.
LONG_FACTOR: Final = 2.0
# Without news a peer is greeted at this interval, so that it knows of this gateway.
GREETING_S: Final = 2.0
# A peer that is silent for this long doesn't count any more.
SILENT_S: Final = 6.0
# How often the list of gateways is read again; a stale read costs little.
LIST_S: Final = 5.0
LIST_RETRY_S: Final = 1.0
# Reads after a start that must be fresh.
FRESH_READS: Final = 2


class PeerLink(DatagramProtocol):
    """Exchange news with the other gateways."""

    # Twisted declares its transports as interfaces without their methods.
    transport: Any = None

    def __init__(self, state: GatewayState, tracker: Tracker) -> None:
        self._state = state
        self._tracker = tracker
        self._addresses: dict[ProcessId, Address] = {}
        self._heard_s: dict[ProcessId, float] = {}
        # The time of day may step back at a restart; then old work only lingers.
        self._incarnation = time.time_ns() // 1_000_000
        self._incarnations: dict[ProcessId, int] = {}
        # When each gateway was first seen in the list.
        self._listed_s: dict[ProcessId, float] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        tracker.on_pending = self._schedule

    def set_addresses(self, addresses: dict[ProcessId, Address]) -> None:
        """Take the addresses of the other gateways."""
        now_s = read_now()
        self._addresses = addresses
        self._listed_s = {
            process: self._listed_s.get(process, now_s) for process in addresses
        }

    def greet(self) -> None:
        """Tell the other gateways that this one is there."""
        self._send(self._make_message())

    def leave(self) -> None:
        """Tell the other gateways that this one is leaving."""
        self._send(self._make_message(leaving=True))

    def is_first(self) -> bool:
        """Return whether this gateway comes first among those that may be there.

        One that was listed just now counts before it is heard of.
        """
        now_s = read_now()
        new = {
            process
            for process, listed_s in self._listed_s.items()
            if now_s - listed_s < SILENT_S
        }
        own = self._state.settings.process
        return all(own < process for process in new | set(self._heard_s))

    def announce_change(self, upstream: UpstreamId, until_s: float) -> None:
        """Keep all gateways from sending work to an engine until a time."""
        self._state.changing_until_s[upstream] = until_s
        for_s = until_s - read_now()
        self._send(self._make_message(changing=(ChangingEngine(upstream, for_s),)))

    def drop_silent(self) -> None:
        """Stop counting gateways that were not heard of lately."""
        now_s = read_now()
        for process, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > SILENT_S:
                self._forget(process, "silent")

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Take the news of a peer."""
        now_s = read_now()
        try:
            message = decode_message(data, now_s)
        except PeerMessageError as error:
            log_event(gateway_events.PEER_MESSAGE_INVALID, peer=addr, reason=str(error))
            return
        if message.process == self._state.settings.process:
            return
        if message.leaving:
            self._forget(message.process, "leaving")
            return
        self._hear(message.process, addr, now_s)
        self._note_incarnation(message)
        self._apply(message, now_s)

    def _apply(self, message: PeerMessage, now_s: float) -> None:
        for item in message.changing:
            self._state.changing_until_s[item.upstream] = now_s + item.for_s
        for work in message.started:
            self._tracker.apply(replace(work, origin=message.process))
        for ref in message.read:
            self._tracker.apply_read(ref.upstream, ref.request)
        for ref in message.ended:
            self._tracker.apply_ended(ref.upstream, ref.request)

    def _hear(self, process: ProcessId, addr: Any, now_s: float) -> None:
        if process not in self._heard_s:
            log_event(gateway_events.PEER_JOINED, peer=process, address=addr)
            self._addresses.setdefault(process, Address(addr[0], addr[1]))
        self._heard_s[process] = now_s
        self._state.gateways = 1 + len(self._heard_s)

    def _note_incarnation(self, message: PeerMessage) -> None:
        known = self._incarnations.get(message.process, 0)
        if message.incarnation > known:
            self._incarnations[message.process] = message.incarnation
            self._tracker.drop_origin(message.process)

    def _make_message(self, **fields: Any) -> PeerMessage:
        process = self._state.settings.process
        return PeerMessage(process=process, incarnation=self._incarnation, **fields)

    def _forget(self, process: ProcessId, reason: str) -> None:
        self._tracker.drop_origin(process)
        if self._heard_s.pop(process, None) is not None:
            self._state.gateways = 1 + len(self._heard_s)
            log_event(gateway_events.PEER_LOST, peer=process, reason=reason)

    def _schedule(self, busy_s: float) -> None:
        """Send news after a while, or at once if others would choose wrongly."""
        if not self._addresses:
            return
        delay_s = FLUSH_S + FLUSH_PER_PEER_S * len(self._addresses)
        if busy_s > LONG_FACTOR * delay_s:
            self._flush()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(delay_s, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        pending = self._tracker.take_pending()
        while pending:
            self._send(self._take_some(pending))

    def _take_some(self, pending: PendingNews) -> PeerMessage:
        message = self._make_message(
            started=tuple(pending.started[:MAX_ITEMS]),
            read=_make_refs(pending.read[:MAX_ITEMS]),
            ended=_make_refs(pending.ended[:MAX_ITEMS]),
        )
        del pending.started[:MAX_ITEMS]
        del pending.read[:MAX_ITEMS]
        del pending.ended[:MAX_ITEMS]
        return message

    def _send(self, message: PeerMessage) -> None:
        if self.transport is None:
            return
        data = encode_message(message)
        for address in self._addresses.values():
            self.transport.write(data, (address.host, address.port))


class PeerDirectory:
    """Find the other gateways through the store."""

    def __init__(
        self, settings: NodeSettings, store: StoreClient, link: PeerLink
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._listed = False

    async def run(self) -> None:
        """Keep this gateway listed and know the others until cancelled."""
        reads = 0
        while True:
            if not self._listed:
                self._listed = await self._list_self()
            # Gateways that start together are not in a list that is seconds old.
            found = await self._read(stale=reads >= FRESH_READS)
            reads += found
            settled = self._listed and reads >= FRESH_READS
            await asyncio.sleep(LIST_S if settled else LIST_RETRY_S)

    async def leave(self) -> None:
        """Remove this gateway from the list."""
        self._link.leave()
        if self._listed:
            await self._store.remove(ObjectKind.GATEWAYS, self._name)

    @property
    def _name(self) -> ObjectName:
        return ObjectName(self._settings.process)

    async def _list_self(self) -> bool:
        address = Address(self._settings.host, self._settings.peer_port)
        document = encode_gateway(address)
        kind = ObjectKind.GATEWAYS
        result: Any = await self._store.create(kind, self._name, document)
        if isinstance(result, Err) and (
            result.err_value.failure is StoreFailure.CONFLICT
        ):
            # An earlier process of this host left its entry behind.
            result = await self._store.replace(kind, self._name, document)
        if isinstance(result, Err):
            log_event(
                gateway_events.GATEWAY_NOT_LISTED,
                failure=result.err_value.failure.value,
                reason=result.err_value.reason,
            )
            return False
        return True

    async def _read(self, *, stale: bool) -> bool:
        listing = await self._store.list_objects(ObjectKind.GATEWAYS, stale=stale)
        if isinstance(listing, Err):
            return False
        addresses = {}
        for item in listing.ok_value.objects:
            if item.name == self._name:
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


def _make_refs(pairs: list[tuple[UpstreamId, Any]]) -> tuple[WorkRef, ...]:
    return tuple(WorkRef(upstream, request) for upstream, request in pairs)
