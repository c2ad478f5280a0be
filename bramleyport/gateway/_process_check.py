"""Check that the process that answers a stream is the one that is registered."""

import asyncio
from functools import partial
from typing import Final

from result import Err

from bramleyport.core import UpstreamId
from bramleyport.fleet import Registration
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._fresh_reads import FreshReads
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    MalformedDocumentError,
    ObjectKind,
    ObjectName,
    StoreClient,
    decode_registration,
)
from bramleyport.telemetry import gateway_events, log_event

# Time for which the events of an answer wait for the store.
CHECK_TIMEOUT_S: Final = 0.3


class ProcessChecker:
    """Read registrations anew after connections to their processes were lost.

    A process registers before it takes connections. So a registration that is read
    after an answer has begun is that of the process that answers, or of a later one.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._reads: dict[UpstreamId, FreshReads[Registration | None]] = {}

    async def is_registered(self, target: Registration, *, goes_on: bool) -> bool:
        """Return whether the process that answers now is the registered one.

        A stream that goes on is always checked: there may have been no connection to
        lose when the process was replaced. While the store does not tell, it is taken
        to be the registered one.
        """
        if not goes_on and target.upstream not in self._state.connections_lost_s:
            return True
        began_s = read_now()
        found = await self._read(target)
        if found is None:
            return True
        if (found.started_ms, found.version) == (target.started_ms, target.version):
            # A connection may have been lost since the read began.
            lost_s = self._state.connections_lost_s.get(target.upstream, began_s)
            if lost_s < began_s:
                del self._state.connections_lost_s[target.upstream]
            return True
        log_event(
            gateway_events.OTHER_PROCESS_ANSWERED,
            upstream=target.upstream,
            version=target.version,
            found=found.version,
        )
        self._state.record_ended(target.upstream, read_now())
        return False

    async def _read(self, target: Registration) -> Registration | None:
        reads = self._reads.get(target.upstream)
        if reads is None:
            read = partial(self._read_once, target.upstream)
            reads = self._reads[target.upstream] = FreshReads(read)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await reads.request()
        except TimeoutError:
            return None
        finally:
            if reads.idle:
                self._reads.pop(target.upstream, None)

    async def _read_once(self, upstream: UpstreamId) -> Registration | None:
        name = ObjectName(upstream)
        result = await self._store.get(ObjectKind.REGISTRATIONS, name)
        if isinstance(result, Err):
            log_event(
                gateway_events.PROCESS_NOT_CHECKED,
                upstream=upstream,
                reason=result.err_value.reason,
            )
            return None
        try:
            return decode_registration(name, result.ok_value.read_document())
        except MalformedDocumentError as error:
            log_event(
                gateway_events.PROCESS_NOT_CHECKED, upstream=upstream, reason=str(error)
            )
            return None
