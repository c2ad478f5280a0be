"""Tell gateways through the store at which versions streams began."""

import asyncio
import math
from dataclasses import dataclass
from typing import Final, TypeVar

from result import Err, Result

from bramleyport.core import RequestId, ServiceName, StoreEra
from bramleyport.fleet import SILENT_AFTER_S, BegunStream, SoftwareVersion
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._fresh_reads import FreshReads
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    StoreError,
    StoreFailure,
    decode_begun_streams,
    encode_begun_streams,
)
from bramleyport.telemetry import Event, gateway_events, log_event

KIND: Final = ObjectKind.BEGUN_STREAMS
CHECK_INTERVAL_S: Final = 0.1
RETRY_INTERVAL_S: Final = 1.0
# Least time between two reads, and fraction of the store's rate of reads that all
# gateways together may use for this.
READ_INTERVAL_S: Final = 0.1
READS_FRACTION: Final = 0.1
# Time for which a stream that is taken up waits for the store.
READ_TIMEOUT_S: Final = 0.5
# Streams in one object at most; the newest ones are kept.
MAX_STORED: Final = 512


@dataclass(frozen=True, slots=True)
class WritePace:
    """Define how often streams are written."""

    # Least time between two writes of one gateway.
    interval_s: float
    # Fraction of the store's rate of writes that all gateways together may use.
    fraction: float


# The store is the only way to tell gateways that hear nothing; the others need it only
# after many were killed at once.
SILENT_PACE: Final = WritePace(interval_s=0.25, fraction=0.25)
USUAL_PACE: Final = WritePace(interval_s=0.5, fraction=0.1)

T = TypeVar("T")
Streams = dict[RequestId, BegunStream]


class BegunStreamStore:
    """Keep in the store at which versions streams began that can't be deduced.

    There are none unless shares have changed lately. Peers are told of them, too, but
    one may hear nothing, and all that were told may be killed at once. Each gateway has
    one object, which it removes when no stream in it may go on any more.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._guard = ObjectGuard(gateway_events.STREAMS_INVALID)
        self._name = ObjectName(state.settings.process)
        # The object of this gateway as it was last read or written.
        self._own: StoredObject | None = None
        self._has_read_own = False
        self._written: Streams = {}
        # Streams of an earlier process on this host, and until when they may go on.
        self._inherited: Streams = {}
        self._inherited_until_s = -math.inf
        self._written_s = -math.inf
        self._retry_s = -math.inf
        self._reads = FreshReads(self._read_all, READ_INTERVAL_S)
        store.eras.on_restored.append(self._record_restored)

    async def run(self) -> None:
        """Write and remove the object of this gateway until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = read_now()
            if now_s < self._retry_s:
                continue
            if not self._has_read_own:
                await self._read_own()
                continue
            await self._update(now_s)

    async def find_version(
        self, service: ServiceName, origin: RequestId
    ) -> SoftwareVersion | None:
        """Return the version of a stream that any gateway has written, read anew."""
        self._reads.interval_s = max(
            READ_INTERVAL_S,
            self._compute_interval(
                READS_FRACTION, self._state.settings.store.reads_per_s
            ),
        )
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                listed = await self._reads.request()
        except TimeoutError:
            return None
        stream = listed.get(origin)
        if stream is None or stream.service != service:
            return None
        return stream.version

    def _record_restored(self, _: StoreEra) -> None:
        # The copy may lack what was written.
        self._has_read_own = False

    def _compute_interval(self, fraction: float, calls_per_s: float) -> float:
        """Return the time between two calls by which all gateways keep to a rate."""
        return len(self._state.roster.gateways) / (fraction * calls_per_s)

    async def _update(self, now_s: float) -> None:
        """Write streams that are missing, or remove the object if none is needed."""
        if now_s - self._written_s < self._choose_interval(now_s):
            return
        wanted = self._list_wanted(now_s)
        is_missing = not wanted.keys() <= self._written.keys()
        if is_missing or self._is_outdated(now_s):
            await self._write(wanted)
        elif self._written and not self._written.keys() & wanted.keys():
            await self._remove()

    def _list_wanted(self, now_s: float) -> Streams:
        """Return the streams of this gateway that others may have to know."""
        versions = self._state.stream_versions
        inherited = self._inherited if now_s < self._inherited_until_s else {}
        own = {item.origin: item for item in versions.list_ambiguous(now_s)}
        newest = list((inherited | own).items())[-MAX_STORED:]
        return dict(newest)

    def _is_outdated(self, now_s: float) -> bool:
        """Return whether the version of a written stream was corrected since."""
        versions = self._state.stream_versions
        return any(
            found is not None and found.version != stream.version
            for stream in self._written.values()
            for found in [versions.find_stream(stream.origin, now_s)]
        )

    async def _write(self, streams: Streams) -> None:
        document = encode_begun_streams(streams.values())
        if self._own is None:
            result = await self._store.create(KIND, self._name, document)
        else:
            revision = self._own.revision
            result = await self._store.replace(KIND, self._name, document, revision)
        stored = self._check(result, gateway_events.STREAMS_NOT_WRITTEN)
        if stored is None:
            # A call without an answer may have been executed.
            self._has_read_own = False
            return
        self._own, self._written = stored, streams
        self._written_s = read_now()

    async def _remove(self) -> None:
        result = await self._store.remove(KIND, self._name)
        if isinstance(result, Err) and (
            result.err_value.failure is not StoreFailure.NOT_FOUND
        ):
            self._retry_s = read_now() + RETRY_INTERVAL_S
            return
        self._own, self._written = None, {}
        self._written_s = read_now()

    async def _read_own(self) -> None:
        """Read what this gateway, or an earlier process on this host, has written."""
        result = await self._store.get(KIND, self._name)
        if isinstance(result, Err) and (
            result.err_value.failure is StoreFailure.NOT_FOUND
        ):
            self._own, self._written, self._has_read_own = None, {}, True
            return
        stored = self._check(result, gateway_events.STREAMS_NOT_READ)
        if stored is None:
            return
        self._own, self._has_read_own = stored, True
        self._written = self._decode(stored)
        now_s = read_now()
        versions = self._state.stream_versions
        if now_s >= self._inherited_until_s:
            self._inherited = {}
        self._inherited |= {
            origin: stream
            for origin, stream in self._written.items()
            if versions.find_stream(origin, now_s) is None
        }
        self._inherited_until_s = now_s + versions.keep_s

    async def _read_all(self) -> Streams:
        """Return what all gateways have written; nothing if the store doesn't tell."""
        listing = self._check(
            await self._store.list_objects(KIND), gateway_events.STREAMS_NOT_READ
        )
        if listing is None:
            return {}
        self._guard.record_listing(listing)
        listed: Streams = {}
        for item in listing.objects:
            listed |= self._decode(item)
        return listed

    def _decode(self, item: StoredObject) -> Streams:
        streams = self._guard.decode(item, _decode) or []
        return {stream.origin: stream for stream in streams}

    def _check(self, result: Result[T, StoreError], event: Event) -> T | None:
        """Return what the store answered, or log why it did not."""
        if not isinstance(result, Err):
            return result.ok_value
        error = result.err_value
        log_event(event, failure=error.failure.value, reason=error.reason)
        self._retry_s = read_now() + RETRY_INTERVAL_S
        return None

    def _choose_interval(self, now_s: float) -> float:
        """Return the time between two writes of this gateway."""
        is_silent = self._state.roster.may_miss_messages(now_s - SILENT_AFTER_S)
        pace = SILENT_PACE if is_silent else USUAL_PACE
        rate = self._state.settings.store.writes_per_s
        return max(pace.interval_s, self._compute_interval(pace.fraction, rate))


def _decode(item: StoredObject) -> list[BegunStream]:
    return decode_begun_streams(item.read_document())
