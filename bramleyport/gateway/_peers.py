"""Tell the other gateways what is sent to upstreams, and hear it from them.

Datagrams suit this: what is lost or late only makes a forecast worse, and it is soon
out of date.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

import cbor2
from twisted.internet.protocol import DatagramProtocol

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    Address,
    UpdatePacing,
    choose_store_watchers,
    is_watch_shared,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._peer_messages import (
    MAX_ITEMS,
    ChangingEngine,
    PeerMessage,
    PeerMessageError,
    WorkRef,
    decode_datagram,
    encode_message,
)
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._store_news import StoreNews, StoreNewsError, encode_news
from bramleyport.gateway._tracker import PendingNews, Tracker
from bramleyport.platform import ObjectKind
from bramleyport.telemetry import gateway_events, log_event

# Peers that were told nothing for this long are greeted, so that they know of this
# gateway.
GREETING_S: Final = 2.0
# A peer that is silent for this long doesn't count any more.
SILENT_S: Final = 6.0


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
        self._pacing = UpdatePacing()
        self._sent_s = 0.0
        self._news_readers: dict[ObjectKind, Callable[[StoreNews], None]] = {}
        tracker.on_pending = self._schedule

    @property
    def process(self) -> ProcessId:
        """Return this gateway's name."""
        return self._state.settings.process

    def subscribe(self, kind: ObjectKind, on_news: Callable[[StoreNews], None]) -> None:
        """Hand the news of a kind of objects to a reader."""
        self._news_readers[kind] = on_news

    def is_sharing(self) -> bool:
        """Return whether the gateways share what a few of them watch."""
        return is_watch_shared(1 + len(self._heard_s))

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the store."""
        return self.process in choose_store_watchers({self.process, *self._heard_s})

    def publish(self, news: StoreNews) -> None:
        """Tell the other gateways what a watch of the store has returned."""
        self._send_data(cbor2.dumps(encode_news(news)))

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

    def greet_if_quiet(self) -> None:
        """Greet the other gateways unless they have heard something of late."""
        if read_now() - self._sent_s >= GREETING_S:
            self.greet()

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
        own = self.process
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
            message = decode_datagram(data, now_s)
        except (PeerMessageError, StoreNewsError) as error:
            log_event(gateway_events.PEER_MESSAGE_INVALID, peer=addr, reason=str(error))
            return
        if message.process == self.process:
            return
        if isinstance(message, StoreNews):
            self._hear(message.process, addr, now_s)
            self._take_news(message)
            return
        if message.leaving:
            self._forget(message.process, "leaving")
            return
        self._hear(message.process, addr, now_s)
        self._note_incarnation(message)
        self._apply(message, now_s)

    def _take_news(self, news: StoreNews) -> None:
        reader = self._news_readers.get(news.kind)
        if reader is not None:
            reader(news)

    def _apply(self, message: PeerMessage, now_s: float) -> None:
        for item in message.changing:
            self._state.changing_until_s[item.upstream] = now_s + item.for_s
        for upstream in message.refused:
            self._tracker.apply_refused(upstream)
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
        return PeerMessage(
            process=self.process, incarnation=self._incarnation, **fields
        )

    def _forget(self, process: ProcessId, reason: str) -> None:
        self._tracker.drop_origin(process)
        if self._heard_s.pop(process, None) is not None:
            self._state.gateways = 1 + len(self._heard_s)
            log_event(gateway_events.PEER_LOST, peer=process, reason=reason)

    def _schedule(self, busy_s: float) -> None:
        """Send news after a while, or at once if others would choose wrongly."""
        peers = len(self._addresses)
        if not peers:
            return
        if self._pacing.allow_now(peers, busy_s, read_now()):
            self._flush()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            delay_s = self._pacing.choose_delay(peers)
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
            refused=tuple(pending.refused[:MAX_ITEMS]),
        )
        del pending.started[:MAX_ITEMS]
        del pending.read[:MAX_ITEMS]
        del pending.ended[:MAX_ITEMS]
        del pending.refused[:MAX_ITEMS]
        return message

    def _send(self, message: PeerMessage) -> None:
        self._send_data(encode_message(message))

    def _send_data(self, data: bytes) -> None:
        if self.transport is None:
            return
        self._sent_s = read_now()
        for address in self._addresses.values():
            self.transport.write(data, (address.host, address.port))


def _make_refs(pairs: list[tuple[UpstreamId, Any]]) -> tuple[WorkRef, ...]:
    return tuple(WorkRef(upstream, request) for upstream, request in pairs)
