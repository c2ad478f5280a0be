"""Read which prefixes the engines have cached after a restart of the gateway."""

import asyncio
from typing import TYPE_CHECKING

from bramleyport.fleet import Registration
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import ExchangeError, HttpRequest
from bramleyport.platform import (
    CACHE_LISTING_PATH,
    MalformedDocumentError,
    decode_cache_listing,
)
from bramleyport.telemetry import gateway_events, log_event

if TYPE_CHECKING:
    from bramleyport.core import UpstreamId


class CacheReader:
    """Track which engines' cache listings were read since a restart.

    Each listing is read once: later changes of the caches follow from the calls that
    the gateways send.
    """

    def __init__(self, state: GatewayState, exchanger: Exchanger) -> None:
        self._state = state
        self._exchanger = exchanger
        self._started: set[UpstreamId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def read_new(self) -> None:
        """Start reading the cache listings of engines that were not read yet."""
        if self._state.settings.first_start or self._state.configuration is None:
            return
        now_s = read_now()
        for registration in self._state.members.list_all():
            if registration.upstream in self._started or registration.stage is None:
                continue
            if registration.draining or self._state.pauses.is_paused(
                registration.upstream, now_s
            ):
                continue
            if not self._state.rate_limiter.has_permit(registration, now_s):
                # All gateways may have restarted, and each reads from each engine.
                continue
            self._started.add(registration.upstream)
            task = asyncio.ensure_future(self._read_cache(registration))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _read_cache(self, target: Registration) -> None:
        request = HttpRequest(method=b"GET", target=CACHE_LISTING_PATH, headers=[])
        try:
            answer = await self._exchanger.call(target, request)
            if answer.status != 200:
                raise MalformedDocumentError(f"status {answer.status}")
            listing = decode_cache_listing(answer.body)
        except (ExchangeError, MalformedDocumentError) as error:
            log_event(
                gateway_events.CACHES_NOT_READ,
                upstream=target.upstream,
                reason=str(error),
            )
            return
        parts = listing.parts
        capacity = self._state.find_cache_capacity(target)
        self._state.prefixes.add(target.upstream, parts, capacity)
        self._state.prefixes.confirm(target.upstream, parts)
        log_event(
            gateway_events.CACHES_READ,
            upstream=target.upstream,
            parts=len(parts),
            invalid_entries=listing.invalid_entries,
        )
