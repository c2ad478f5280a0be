"""Choose at which software version a call begins its stream, or goes on with one."""

import asyncio
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, ServiceName, UpstreamId
from bramleyport.fleet import (
    BegunStream,
    Call,
    Choice,
    Registration,
    Repeatability,
    SoftwareVersion,
    Stage,
)
from bramleyport.gateway._call_context import CallContext, VersionSource
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState

# No gateway knows the version of a stream, so that it can't go on.
VERSION_UNKNOWN: Final = "version_unknown"
# No upstream of the version of a stream serves now.
VERSION_ABSENT: Final = "version_absent"
# An upstream that has crashed is usually back after this time.
RETRY_WHEN_ABSENT_S: Final = 1.0
# The first shares of a service are in the store within this time of the first start.
FIRST_SHARES_WAIT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.02
# Time after the first list of shares within which the other gateways answer a new one.
PEERS_WAIT_S: Final = 0.5
# Time after which a stream is told once more, as a datagram may be lost.
REPEAT_AFTER_S: Final = 0.2


class VersionChooser:
    """Decide which upstreams may write the events of a call."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        # Since when calls to a service have found no shares.
        self._missing_since_s: dict[ServiceName, float] = {}

    async def prepare(self, context: CallContext, last_event: int) -> Rejected | None:
        """Find the version of a stream, or return why it can't go on."""
        call = context.call
        if call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return None
        if last_event:
            return await self._require_version(context)
        await self._wait_for_shares(context)
        assert call.origin is not None
        context.preferred_version = self._state.stream_versions.choose(
            call.service, call.origin, read_now()
        )
        return None

    def list_excluded(self, context: CallContext) -> set[UpstreamId]:
        """Return the upstreams that must not write the events of a call."""
        call = context.call
        if call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return set()
        now_s = read_now()
        allowed = self._list_allowed(context)
        return {
            item.upstream
            for item in self._list_decoders(context)
            if item.version not in allowed or self._state.has_ended(item, now_s)
        }

    def list_others(self, context: CallContext) -> set[UpstreamId]:
        """Return the upstreams of versions at which a call begins only if it must."""
        version = context.preferred_version
        if version is None or context.version is not None:
            return set()
        return {
            item.upstream
            for item in self._list_decoders(context)
            if item.version != version
        }

    def is_lost(self, context: CallContext, now_s: float) -> bool:
        """Return whether no upstream of the version that a call prefers is left."""
        version = context.preferred_version
        own = [item for item in self._list_decoders(context) if item.version == version]
        names = [item.upstream for item in own]
        lost = self._state.reachability.find_unreachable(names, now_s)
        return all(
            item.upstream in lost or self._state.has_ended(item, now_s) for item in own
        )

    def find_obstacle(self, context: CallContext) -> Rejected | None:
        """Return the refusal of a call if no upstream of its version is left."""
        if context.version is None or any(
            item.version == context.version for item in self._list_decoders(context)
        ):
            return None
        return Rejected(
            Explanation(reason=VERSION_ABSENT, numbers={}), RETRY_WHEN_ABSENT_S
        )

    def record_begun(self, context: CallContext, choice: Choice) -> None:
        """Record that a stream has its first event, and so its version."""
        call = context.call
        if (
            context.version is not None
            or call.origin is None
            or call.route.repeatability is not Repeatability.STREAM_RESUMABLE
        ):
            return
        context.version = choice.upstream.version
        stream = BegunStream(
            origin=call.origin, service=call.service, version=context.version
        )
        if self._state.stream_versions.record_begun(stream, read_now()):
            self._state.tell_streams([stream])
            # Others may deduce another version if they are not told.
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_AFTER_S, self._state.tell_streams, [stream])

    def describe_source(self, context: CallContext, choice: Choice) -> str:
        """Return why a stream is sent to an upstream of this version."""
        if context.version is None and context.preferred_version is not None:
            is_preferred = choice.upstream.version == context.preferred_version
            source = VersionSource.SHARES if is_preferred else VersionSource.EXCEPTION
            return source.value
        return context.version_source.value

    async def _wait_for_peers(self) -> None:
        """Wait until the other gateways had time to tell what can't be deduced."""
        listed_s = self._state.versions_listed_s
        if listed_s is None:
            listed_s = read_now()
        remaining_s = listed_s + PEERS_WAIT_S - read_now()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    async def _require_version(self, context: CallContext) -> Rejected | None:
        """Find the version that began the stream that a caller takes up."""
        context.version_source = VersionSource.RECALLED
        context.version = self._recall_version(context.call)
        if context.version is None:
            await self._wait_for_peers()
            context.version = self._recall_version(context.call)
        if context.version is None and self._is_current():
            context.version_source = VersionSource.DEDUCED
            context.version = self._deduce_version(context)
        if context.version is not None:
            return None
        # It is ambiguous for at most as long as it may go on at all.
        explanation = Explanation(reason=VERSION_UNKNOWN, numbers={})
        return Rejected(explanation, RETRY_WHEN_ABSENT_S)

    def _recall_version(self, call: Call) -> SoftwareVersion | None:
        """Return the version of a stream that began here or was told."""
        if call.origin is None:
            return None
        known = self._state.stream_versions.find_stream(call.origin, read_now())
        if known is None or known.service != call.service:
            return None
        return known.version

    def _deduce_version(self, context: CallContext) -> SoftwareVersion | None:
        """Return the version that a stream must have had, if that is certain."""
        call = context.call
        versions = self._state.stream_versions
        registered = self._list_versions(context)
        if call.origin is not None:
            return versions.deduce(call.service, call.origin, registered)
        # The caller does not say which stream it is: there must have been one version.
        known = versions.list_versions(call.service)
        only = len(known) == 1 and known.issuperset(registered)
        return next(iter(known)) if only else None

    def _is_current(self) -> bool:
        """Return whether no version may have got streams that is not known here."""
        now_s = read_now()
        limit_s = self._state.settings.stable_s
        if now_s - self._state.registrations_confirmed_s <= limit_s:
            return True
        return self._state.roster.has_heard_most(now_s, limit_s)

    async def _wait_for_shares(self, context: CallContext) -> None:
        """Wait until the store knows the versions, unless there is only one."""
        service = context.call.service
        versions = self._state.stream_versions
        while not versions.list_versions(service):
            missing_since_s = self._missing_since_s.setdefault(service, read_now())
            is_late = read_now() - missing_since_s > FIRST_SHARES_WAIT_S
            if is_late or len(self._list_versions(context)) < 2:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _list_allowed(self, context: CallContext) -> frozenset[SoftwareVersion]:
        """Return the version of a stream; before it begins, those in the store."""
        if context.version is not None:
            return frozenset((context.version,))
        listed = self._state.stream_versions.list_versions(context.call.service)
        return listed or frozenset(self._list_versions(context))

    def _list_versions(self, context: CallContext) -> set[SoftwareVersion]:
        return {item.version for item in self._list_decoders(context)}

    def _list_decoders(self, context: CallContext) -> list[Registration]:
        return [
            item
            for item in self._state.members.list_ready(context.call.service)
            if item.stage is not Stage.PREFILL
        ]
