"""Exchange load and store updates with the other gateways.

Updates are sent as datagrams: a lost or late one only makes forecasts less accurate,
and its content is soon outdated.
"""

import asyncio
import math
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from typing import Any, Final, Protocol, TypeVar

import cbor2
from twisted.internet.protocol import DatagramProtocol

from bramleyport.core import ProcessId, StoreRevision, UpstreamId
from bramleyport.duties import Origin, WindowCounts
from bramleyport.fleet import (
    NO_ACCOUNT,
    Address,
    BegunStream,
    ConfigVersion,
    LeavingUpstream,
    UpdatePacing,
    Work,
    choose_store_watchers,
    is_watch_shared,
)
from bramleyport.gateway._account_facts import DutyStatus
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._configuration_chunks import ConfigurationChunk
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._datagram_sender import DatagramSender
from bramleyport.gateway._duty_messages import DutyMessages
from bramleyport.gateway._peer_batches import (
    make_updates,
    take_batch,
    take_crashes,
)
from bramleyport.gateway._peer_fields import MAX_CLOCK_AHEAD_MS, PeerMessageError
from bramleyport.gateway._peer_messages import (
    ENCODING_ERRORS,
    MAX_ITEMS,
    PeerMessage,
    decode_datagram,
    encode_message,
    make_limit_notice,
)
from bramleyport.gateway._shared_facts import ChangingEngine, LimitUpdate, WorkRef
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._store_updates import (
    StoreUpdate,
    StoreUpdateError,
    encode_store_update,
)
from bramleyport.gateway._work_tracker import (
    URGENT_BUSY_S,
    WorkTracker,
)
from bramleyport.platform import ObjectKind
from bramleyport.telemetry import events, gateway_events, log_event

# A gateway that has sent nothing for this long announces itself, so that its peers
# still count it.
ANNOUNCE_INTERVAL_S: Final = 2.0
# A peer that has sent nothing for this long is no longer counted.
PEER_TIMEOUT_S: Final = 6.0

# Time for which a gateway may not have read the configuration after its start.
STARTING_S: Final = 5.0

T = TypeVar("T")


class ChunkSource(Protocol):
    """Return the datagrams of the configuration for another gateway."""

    def __call__(
        self, process: ProcessId, version: ConfigVersion, *, is_starting: bool
    ) -> list[Any]:
        """Return them if it names an older version, and none otherwise."""


class PeerLink(DatagramProtocol):
    """Represent the link by which messages are exchanged with the other gateways."""

    # Twisted declares its transports as interfaces without their methods.
    transport: Any = None

    def __init__(
        self, state: GatewayState, tracker: WorkTracker, guard: CrashGuard
    ) -> None:
        self._state = state
        self._tracker = tracker
        self._guard = guard
        self._addresses: dict[ProcessId, Address] = {}
        self._last_received_s: dict[ProcessId, float] = {}
        # If the wall clock steps back across a restart, peers keep the work of the
        # earlier process until it expires.
        self._incarnation = time.time_ns() // 1_000_000
        self._incarnations: dict[ProcessId, int] = {}
        # When each gateway was first seen in the list of gateways.
        self._listed_s: dict[ProcessId, float] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._pacing = UpdatePacing()
        self._sent_s = 0.0
        self._sender = DatagramSender()
        self._update_handlers: dict[ObjectKind, Callable[[StoreUpdate], None]] = {}
        # Returns the datagrams of the configuration for a gateway that names an older
        # version, and receives those of others.
        self.list_chunks: ChunkSource | None = None
        # When each gateway was first heard, or started again.
        self._started_s: dict[ProcessId, float] = {}
        self.on_configuration: Callable[[ConfigurationChunk], None] | None = None
        self.duties = DutyMessages()
        tracker.on_updates_pending = self._schedule
        state.rate_limiter.on_changed = lambda: self._schedule(URGENT_BUSY_S)
        guard.on_updates_pending = lambda: self._schedule(URGENT_BUSY_S)
        state.on_leaving = lambda: self._schedule(URGENT_BUSY_S)
        state.on_ended = lambda: self._schedule(URGENT_BUSY_S)
        state.on_streams = lambda: self._schedule(URGENT_BUSY_S)
        state.on_shares = self.announce

    @property
    def process(self) -> ProcessId:
        """Return the name of this gateway."""
        return self._state.settings.process

    @property
    def incarnation(self) -> int:
        """Return the start of this process in Unix milliseconds."""
        return self._incarnation

    @property
    def heard(self) -> Collection[ProcessId]:
        """Return the other gateways that have sent something lately."""
        return self._last_received_s.keys()

    def send_usage(
        self, process: ProcessId, status: DutyStatus, counts: tuple[WindowCounts, ...]
    ) -> None:
        """Send usage counts to one gateway, in one datagram."""
        address = self._addresses.get(process)
        if address is not None:
            message = self._make_message(duty_status=(status,), usage=counts)
            self._write(encode_message(message), address)

    def subscribe(
        self, kind: ObjectKind, on_update: Callable[[StoreUpdate], None]
    ) -> None:
        """Register a handler of store updates for one kind of objects."""
        self._update_handlers[kind] = on_update

    def is_sharing(self) -> bool:
        """Return whether a few gateways watch the store on behalf of all."""
        return is_watch_shared(1 + len(self._last_received_s))

    def is_store_watcher(self) -> bool:
        """Return whether this gateway watches the store."""
        return self.process in choose_store_watchers(
            {self.process, *self._last_received_s}
        )

    def publish_update(self, update: StoreUpdate) -> None:
        """Send a store update to the other gateways."""
        try:
            data = cbor2.dumps(encode_store_update(update))
        except ENCODING_ERRORS as error:
            log_event(
                gateway_events.PEER_ITEM_NOT_SENT,
                kind=update.kind.value,
                reason=repr(error),
            )
            # The others read the changes from the store.
            data = cbor2.dumps(encode_store_update(replace(update, changes=None)))
        self._send_data(data)

    def set_addresses(
        self, addresses: dict[ProcessId, Address], *, restored: bool = False
    ) -> None:
        """Set the addresses of the other gateways.

        Those that are heard keep theirs: a restored store may lack their entries.
        """
        now_s = read_now()
        roster = self._state.roster
        roster.record_listed(addresses, now_s, restored=restored)
        heard = {
            process: address
            for process, address in self._addresses.items()
            if process in self._last_received_s
        }
        self._addresses = heard | addresses
        self._listed_s = {
            process: self._listed_s.get(process, now_s)
            for process in addresses
            if process in roster.gateways
        }

    def announce(self) -> None:
        """Tell the other gateways that this one is running."""
        self._send(self._make_message())

    def announce_if_idle(self) -> None:
        """Send pending updates, and announce this gateway if it has sent nothing."""
        self._flush()
        if read_now() - self._sent_s >= ANNOUNCE_INTERVAL_S:
            self.announce()

    def announce_leaving(self) -> None:
        """Tell the other gateways that this one is shutting down."""
        self._send(self._make_message(leaving=True))

    def is_first_by_name(self) -> bool:
        """Return whether this gateway is first by name among those that may be running.

        A gateway that was listed recently counts before its first message arrives.
        """
        now_s = read_now()
        new = {
            process
            for process, listed_s in self._listed_s.items()
            if now_s - listed_s < PEER_TIMEOUT_S
        }
        own = self.process
        return all(own < process for process in new | set(self._last_received_s))

    def announce_change(self, upstream: UpstreamId, until_s: float) -> None:
        """Stop all gateways from sending work to an engine until a point in time."""
        self._state.changing_until_s[upstream] = until_s
        duration_s = until_s - read_now()
        self._send(self._make_message(changing=(ChangingEngine(upstream, duration_s),)))

    def drop_unresponsive(self) -> None:
        """Remove the gateways that have sent nothing recently."""
        now_s = read_now()
        for process, last_received_s in list(self._last_received_s.items()):
            if now_s - last_received_s > PEER_TIMEOUT_S:
                self._remove_peer(process, "silent")
        self._state.roster.drop_silent(now_s)

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Apply a message of a peer."""
        now_s = read_now()
        try:
            message = decode_datagram(data, now_s)
        except (PeerMessageError, StoreUpdateError) as error:
            log_event(gateway_events.PEER_MESSAGE_INVALID, peer=addr, reason=str(error))
            return
        if isinstance(message, PeerMessage) and message.invalid:
            log_event(
                gateway_events.PEER_ITEM_INVALID,
                peer=message.process,
                count=len(message.invalid),
                reason=message.invalid[0],
            )
        if message.process == self.process:
            return
        if isinstance(message, ConfigurationChunk):
            if self.on_configuration is not None:
                self.on_configuration(message)
            return
        if isinstance(message, StoreUpdate):
            self._record_peer(message.process, addr, now_s)
            self._dispatch_store_update(message)
            return
        if message.leaving:
            self._remove_peer(message.process, "leaving")
            self._state.roster.record_left(message.process, now_s)
            return
        self._record_peer(message.process, addr, now_s)
        self._record_incarnation(message)
        self._apply(message, now_s)
        self._offer_configuration(message)

    def _offer_configuration(self, message: PeerMessage) -> None:
        address = self._addresses.get(message.process)
        if self.list_chunks is None or address is None:
            return
        started_s = self._started_s.get(message.process, -math.inf)
        chunks = self.list_chunks(
            message.process,
            message.version,
            is_starting=read_now() - started_s < STARTING_S,
        )
        for fields in chunks:
            self._write(cbor2.dumps(fields), address)

    def _dispatch_store_update(self, update: StoreUpdate) -> None:
        handler = self._update_handlers.get(update.kind)
        if handler is not None:
            _apply_each([update], handler)

    def _apply(self, message: PeerMessage, now_s: float) -> None:
        own = self._state.version
        self._state.version_gap.record_heard(message.version, own, now_s)
        origin = message.process
        accounts = {item.request: item.account for item in message.accounts}

        def apply_changing(item: ChangingEngine) -> None:
            self._state.changing_until_s[item.upstream] = now_s + item.duration_s

        def apply_limit(update: LimitUpdate) -> None:
            notice = make_limit_notice(update, origin, now_s)
            self._state.rate_limiter.apply_notice(notice, now_s)

        def apply_started(work: Work) -> None:
            account = accounts.get(work.request, NO_ACCOUNT)
            self._tracker.apply_started(replace(work, origin=origin, account=account))

        def apply_leaving(item: LeavingUpstream) -> None:
            self._state.record_leaving(item.upstream, item.started_ms, origin=origin)

        def apply_revision(revision: StoreRevision) -> None:
            self._state.shares_knowledge.record_told(origin, revision, now_s)

        def apply_stream(item: BegunStream) -> None:
            self._state.stream_versions.record_begun(item, now_s, is_own=False)

        _apply_each(
            message.duty_status, lambda item: self.duties.apply_status(origin, item)
        )
        counted = Origin(origin, message.incarnation)
        _apply_each(message.usage, lambda item: self.duties.apply_usage(counted, item))
        _apply_each(message.shares_revision, apply_revision)
        _apply_each(message.streams, apply_stream)
        _apply_each(message.changing, apply_changing)
        _apply_each(message.leaving_upstreams, apply_leaving)
        _apply_each(message.ended_processes, self._state.apply_ended)
        _apply_each(message.refused, self._apply_refused)
        self._apply_crashes(message)
        _apply_each(message.limits, apply_limit)
        _apply_each(message.started, apply_started)
        _apply_each(message.prefilled, self._apply_prefilled)
        _apply_each(message.ended, self._apply_ended)

    def _apply_refused(self, upstream: UpstreamId) -> None:
        self._tracker.apply_refused(upstream)
        self._guard.confirm_crash(upstream)

    def _apply_prefilled(self, ref: WorkRef) -> None:
        self._tracker.apply_prefilled(ref.upstream, ref.request)

    def _apply_ended(self, ref: WorkRef) -> None:
        self._tracker.apply_ended(ref.upstream, ref.request)

    def _apply_crashes(self, message: PeerMessage) -> None:
        guard, origin = self._guard, message.process
        _apply_each(message.harmless, guard.apply_harmless)
        _apply_each(message.reports, lambda item: guard.apply_report(item, origin))
        _apply_each(message.verdicts, lambda item: guard.apply_verdict(item, origin))

    def _record_peer(self, process: ProcessId, addr: Any, now_s: float) -> None:
        is_new = process not in self._last_received_s
        self._last_received_s[process] = now_s
        self._state.roster.record_heard(process, now_s)
        if is_new:
            log_event(gateway_events.PEER_JOINED, peer=process, address=addr)
            self._addresses.setdefault(process, Address(addr[0], addr[1]))
            self._send_known(self._addresses[process])

    def _record_incarnation(self, message: PeerMessage) -> None:
        if message.incarnation > time.time_ns() // 1_000_000 + MAX_CLOCK_AHEAD_MS:
            # It would hide all later restarts of the peer.
            return
        known = self._incarnations.get(message.process, 0)
        if message.incarnation > known:
            self._started_s[message.process] = read_now()
            age_s = (time.time_ns() // 1_000_000 - message.incarnation) / 1000
            self._state.roster.record_started(message.process, read_now() - age_s)
            self._incarnations[message.process] = message.incarnation
            self._tracker.drop_origin(message.process)
            address = self._addresses.get(message.process)
            if known and address is not None:
                self._send_known(address)

    def _make_message(self, **fields: Any) -> PeerMessage:
        shares_revision = self._state.shares_knowledge.own
        return PeerMessage(
            process=self.process,
            incarnation=self._incarnation,
            version=self._state.version,
            shares_revision=(shares_revision,) if shares_revision else (),
            **fields,
        )

    def _remove_peer(self, process: ProcessId, reason: str) -> None:
        self._tracker.drop_origin(process)
        if self._last_received_s.pop(process, None) is not None:
            log_event(gateway_events.PEER_LOST, peer=process, reason=reason)

    def _schedule(self, busy_s: float) -> None:
        """Send pending updates after a delay, or at once if peers need them."""
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
        self._record_delays(pending.started)
        pending.limits = self._state.rate_limiter.take_due_notices(read_now())
        pending.crashes = self._guard.take_updates()
        self._send_items("leaving_upstreams", self._state.pending_leaving, self._send)
        self._send_items("streams", self._state.pending_streams, self._send)
        self._send_items("ended_processes", self._state.pending_ended, self._send)
        while pending:
            self._send(self._make_message(**take_batch(pending)))

    def _record_delays(self, sent: Iterable[Work]) -> None:
        now_s = read_now()
        for work in sent:
            delay_s = now_s - work.started_s
            self._state.unseen_load.record_delay(work.prefill_s, delay_s)

    def _send_known(self, address: Address) -> None:
        """Send what is known of the fleet to a gateway that has started."""
        self._write(encode_message(self._make_message()), address)
        crashes = self._guard.list_known()
        while crashes:
            message = self._make_message(**take_crashes(crashes))
            self._write(encode_message(message), address)

        def send(message: PeerMessage) -> None:
            self._write(encode_message(message), address)

        state = self._state
        limits = list(make_updates(state.rate_limiter.list_notices()))
        self._send_items("limits", limits, send)
        self._send_items("leaving_upstreams", state.members.list_leaving(), send)
        now_s = read_now()
        streams = state.stream_versions.list_ambiguous(now_s)
        self._send_items("streams", streams, send)
        self._send_items("ended_processes", state.list_ended(now_s), send)

    def _send_items(
        self, field: str, items: list[Any], send: Callable[[PeerMessage], None]
    ) -> None:
        """Send items of one kind of fact, and remove them from the list."""
        while items:
            send(self._make_message(**{field: tuple(items[:MAX_ITEMS])}))
            del items[:MAX_ITEMS]

    def _send(self, message: PeerMessage) -> None:
        self._send_data(encode_message(self.duties.add_status(message)))

    def _send_data(self, data: bytes) -> None:
        if self.transport is None:
            return
        self._sent_s = read_now()
        for address in self._addresses.values():
            self._write(data, address)

    def _write(self, data: bytes, address: Address) -> None:
        if self.transport is None:
            return
        if not self._sender.send(self.transport, data, address):
            self._state.roster.record_unsent(read_now())


def _apply_each(items: Iterable[T], apply_item: Callable[[T], None]) -> None:
    """Apply each item; an unexpected error costs only the item that causes it."""
    for item in items:
        try:
            apply_item(item)
        except Exception as error:  # logged; the others are applied
            log_event(events.HANDLER_FAILED, step="apply peer item", error=repr(error))
