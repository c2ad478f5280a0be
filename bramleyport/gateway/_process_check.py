"""Check that the process that answers a stream is the one that is registered."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from result import Err

from bramleyport.core import UpstreamId
from bramleyport.fleet import Registration, SoftwareVersion
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._fresh_reads import FreshReads
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

# Time for which the events of an answer wait for the store, and then for the upstream.
CHECK_TIMEOUT_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class _FoundProcess:
    """Describe the process that an upstream has now."""

    # Start of the process in Unix milliseconds.
    started_ms: int
    # None if the process itself answered, which does not say it.
    version: SoftwareVersion | None

    def is_registered_by(self, registration: Registration) -> bool:
        """Return whether a registration is that of this process."""
        return self.started_ms == registration.started_ms and (
            self.version is None or self.version == registration.version
        )


_Read = Callable[[Registration], Awaitable[_FoundProcess | None]]
_SharedReads = dict[UpstreamId, FreshReads[_FoundProcess | None]]


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
        self._registrations: _SharedReads = {}
        self._reports: _SharedReads = {}

    async def is_registered(self, target: Registration, *, goes_on: bool) -> bool:
        """Return whether the process that answers now is the registered one.

        A stream that goes on is always checked: there may have been no connection to
        lose when the process was replaced. If neither the store nor the upstream tells,
        it is taken to be the registered one.
        """
        if not goes_on and target.upstream not in self._state.connections_lost_s:
            return True
        began_s = read_now()
        found = await self._find_process(target)
        if found is None:
            return True
        if found.is_registered_by(target):
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

    async def _find_process(self, target: Registration) -> _FoundProcess | None:
        found = await self._share(self._registrations, target, self._read_registration)
        if found is None:
            found = await self._share(self._reports, target, self._read_report)
        return found

    async def _share(
        self, running: _SharedReads, target: Registration, read: _Read
    ) -> _FoundProcess | None:
        """Return the result of a read that all who ask meanwhile share."""
        reads = running.get(target.upstream)
        if reads is None:
            reads = running[target.upstream] = FreshReads(partial(read, target))
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await reads.request()
        except TimeoutError:
            return None
        finally:
            if reads.idle:
                running.pop(target.upstream, None)

    async def _read_registration(self, target: Registration) -> _FoundProcess | None:
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
        return _FoundProcess(found.started_ms, found.version)

    async def _read_report(self, target: Registration) -> _FoundProcess | None:
        try:
            answer = await self._exchanger.call(target, make_report_request())
            found = decode_report(answer.body)
        except (ExchangeError, MalformedDocumentError) as error:
            _log_unread(target, str(error))
            return None
        if not found.started_ms or not target.started_ms:
            _log_unread(target, "start of the process unknown")
            return None
        return _FoundProcess(found.started_ms, None)


def _log_unread(target: Registration, reason: str) -> None:
    log_event(
        gateway_events.PROCESS_NOT_CHECKED, upstream=target.upstream, reason=reason
    )
