"""Check that the process that answers a stream is the one that is registered."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err

from bramleyport.fleet import Registration, SoftwareVersion
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._fresh_reads import MIN_INTERVAL_S, FreshReads
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import ExchangeError
from bramleyport.platform import (
    MalformedDocumentError,
    ObjectKind,
    ObjectName,
    StoreClient,
    decode_registration,
    decode_report,
    make_report_request,
)
from bramleyport.telemetry import gateway_events, log_event

if TYPE_CHECKING:
    from bramleyport.core import UpstreamId

# Time for which the events of an answer wait for the store and the upstream to tell.
CHECK_TIMEOUT_S: Final = 1.0
# Time after which the upstream is asked if the store has not told by then.
REPORT_DELAY_S: Final = 0.2
# Time between two requests for the report of one upstream, on many new connections.
REPORT_INTERVAL_S: Final = 0.01


@dataclass(frozen=True, slots=True)
class FoundProcess:
    """Describe the process that an upstream has now."""

    # Start of the process in Unix milliseconds; 0 if it does not say.
    started_ms: int
    # None if the process itself answered, which does not say it.
    version: SoftwareVersion | None

    def may_be(self, registration: Registration) -> bool:
        """Return whether nothing speaks against this being a registered process."""
        if self.version is None and 0 in (self.started_ms, registration.started_ms):
            return True
        return self.started_ms == registration.started_ms and (
            self.version is None or self.version == registration.version
        )


_Read = Callable[[Registration], Awaitable[FoundProcess | None]]


class _SharedReads:
    """Share the reads of what one source says of each upstream."""

    def __init__(self, read: _Read, interval_s: float) -> None:
        self._read = read
        self._interval_s = interval_s
        self._running: dict[UpstreamId, FreshReads[FoundProcess | None]] = {}

    async def request(self, target: Registration) -> FoundProcess | None:
        """Return the result of a read that all who ask meanwhile share."""
        reads = self._running.get(target.upstream)
        # One that all gave up waiting for may be of an earlier process.
        if reads is None or reads.idle:
            reads = FreshReads(partial(self._read, target), self._interval_s)
            self._running[target.upstream] = reads
        try:
            return await reads.request()
        finally:
            if reads.idle and self._running.get(target.upstream) is reads:
                del self._running[target.upstream]


class ProcessChecker:
    """Find out anew which process an upstream has, after a sign of another one.

    A process registers before it takes connections. So a registration that is read
    after an answer has begun is that of the process that answers, or of a later one.
    The same holds for what the upstream says of itself, which is asked for if the store
    does not tell.
    """

    def __init__(
        self, state: GatewayState, store: StoreClient, exchanger: Exchanger
    ) -> None:
        self._state = state
        self._store = store
        self._exchanger = exchanger
        self._registrations = _SharedReads(self._read_registration, MIN_INTERVAL_S)
        self._reports = _SharedReads(self._read_report, REPORT_INTERVAL_S)

    async def is_registered(self, target: Registration, *, goes_on: bool) -> bool:
        """Return whether the process that answers now is the registered one.

        A stream that goes on is always checked: there may have been no connection to
        lose when the process was replaced. If neither the store nor the upstream tells,
        the answer is used only if no connection was lost.
        """
        lost = target.upstream in self._state.connections_lost_s
        if not goes_on and not lost:
            return True
        began_s = read_now()
        found = await self._find_process(target)
        if found is None:
            _log_unread(target, "neither the store nor the upstream told in time")
            return not lost
        if found.may_be(target):
            # A connection may have been lost since the read began.
            lost_s = self._state.connections_lost_s.get(target.upstream, began_s)
            if lost_s < began_s:
                del self._state.connections_lost_s[target.upstream]
            return True
        log_event(
            gateway_events.OTHER_PROCESS_ANSWERED,
            upstream=target.upstream,
            version=target.version,
            found=found.version or "",
            started_ms=found.started_ms,
        )
        self._state.record_ended(target.upstream, read_now())
        return False

    async def read_process(self, target: Registration) -> FoundProcess | None:
        """Return which process answers at the address of an upstream now.

        The store is asked only if the upstream does not say it. An upstream whose rate
        is limited is not asked.
        """
        found = None
        if self._state.rate_limiter.find(target) is None:
            found = await self._reports.request(target)
        return found or await self.read_registration(target)

    async def has_returned(self, target: Registration) -> bool:
        """Return whether the registered process takes connections and says who it is.

        An upstream whose rate is limited is not asked.
        """
        if self._state.rate_limiter.find(target) is not None:
            return False
        if await self._exchanger.is_refusing(target):
            return False
        found = await self._reports.request(target)
        return found is not None and 0 < found.started_ms == target.started_ms

    async def read_registration(self, target: Registration) -> FoundProcess | None:
        """Return the process that is registered under an identifier now."""
        return await self._registrations.request(target)

    async def _find_process(self, target: Registration) -> FoundProcess | None:
        """Return the first that is told, by the store or else by the upstream."""
        until_s = read_now() + CHECK_TIMEOUT_S
        stored = asyncio.ensure_future(self.read_registration(target))
        sources = [stored]
        try:
            await asyncio.wait([stored], timeout=REPORT_DELAY_S)
            found = _get_result(stored)
            if found is None:
                sources.append(asyncio.ensure_future(self._reports.request(target)))
            waiting = {item for item in sources if not item.done()}
            while found is None and waiting and read_now() < until_s:
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=until_s - read_now(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                found = next(filter(None, map(_get_result, done)), None)
            return found
        finally:
            for item in sources:
                item.cancel()

    async def _read_registration(self, target: Registration) -> FoundProcess | None:
        name = ObjectName(target.upstream)
        result = await self._store.get(ObjectKind.REGISTRATIONS, name)
        if isinstance(result, Err):
            _log_unread(target, result.err_value.reason)
            return None
        try:
            found = decode_registration(name, result.ok_value.read_document())
        except MalformedDocumentError as error:
            _log_unread(target, str(error))
            return None
        return FoundProcess(found.started_ms, found.version)

    async def _read_report(self, target: Registration) -> FoundProcess | None:
        try:
            answer = await self._exchanger.call(target, make_report_request())
            found = decode_report(answer.body)
        except (ExchangeError, MalformedDocumentError) as error:
            _log_unread(target, str(error))
            return None
        return FoundProcess(found.started_ms, None)


def _get_result(source: asyncio.Future[FoundProcess | None]) -> FoundProcess | None:
    return source.result() if source.done() else None


def _log_unread(target: Registration, reason: str) -> None:
    log_event(
        gateway_events.PROCESS_NOT_CHECKED, upstream=target.upstream, reason=reason
    )
