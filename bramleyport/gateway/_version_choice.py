"""Choose at which software version a call begins its stream, or goes on with one."""

import asyncio
from enum import Enum
from typing import Final, Protocol

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, RequestId, ServiceName, UpstreamId
from bramleyport.fleet import (
    UNKNOWN_VERSION,
    BegunStream,
    Call,
    Registration,
    Repeatability,
    ServingGroup,
    ServingScope,
    SoftwareVersion,
    writes_answers,
)
from bramleyport.gateway._call_context import CallContext, VersionSource
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._serving import find_serving_group
from bramleyport.gateway._state import GatewayState
from bramleyport.telemetry import gateway_events, log_event

# No gateway knows the version of a stream, so that it can't go on.
VERSION_UNKNOWN: Final = "version_unknown"
# No upstream of the version of a stream serves now.
VERSION_ABSENT: Final = "version_absent"
# An upstream that has crashed is usually back after this time.
RETRY_WHEN_ABSENT_S: Final = 1.0
# The first shares of a service are in the store within this time of the first start.
FIRST_SHARES_WAIT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.02
# Time for which a stream waits for shares that give it a version that serves.
CHANGED_SHARES_WAIT_S: Final = 0.5
# Time after the first list of shares within which the other gateways answer a new one.
PEERS_WAIT_S: Final = 0.5
# Time for which a stream that is taken up waits for the store and then for the peers,
# which send updates of their calls all the time.
PEERS_CONFIRM_S: Final = 1.5
# Time after which a stream is told once more, as a datagram may be lost.
REPEAT_AFTER_S: Final = 0.2


class Confirmation(Enum):
    """Define who has shown that no newer shares exist than those known here."""

    NONE = "none"
    PEERS = "peers"
    STORE = "store"


class SharesSource(Protocol):
    """Represent the shares of versions in the store."""

    def can_change(self, service: ServiceName) -> bool:
        """Return whether the store has not refused a change lately."""

    def request_change(self, service: ServiceName) -> None:
        """Write shares without the versions that are lost."""

    def may_lack_shares(self) -> bool:
        """Return whether the store may have lost shares that streams still follow."""

    async def confirm(self, service: ServiceName) -> bool:
        """Read the shares; return whether those that are known now are current."""


class StreamSource(Protocol):
    """Represent the versions of streams in the store."""

    async def find_version(
        self, service: ServiceName, origin: RequestId
    ) -> SoftwareVersion | None:
        """Return the version of a stream that any gateway has written, read anew."""


class VersionChooser:
    """Decide which upstreams may write the events of a call.

    A stream begins only at a version that shares in the store give it. So whoever has
    read these since then can tell at which versions it may have begun.
    """

    def __init__(
        self, state: GatewayState, shares: SharesSource, streams: StreamSource
    ) -> None:
        self._state = state
        self._shares = shares
        self._streams = streams
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
        return None

    async def settle(self, context: CallContext) -> None:
        """Find the version at which a stream begins.

        If none of the upstreams of its version is left, this waits for shares that
        give it another one. While they may be back soon, the shares stay: a change
        makes streams ambiguous that began at gateways which were killed since.
        """
        call = context.call
        if (
            context.version is not None
            or call.route.repeatability is not Repeatability.STREAM_RESUMABLE
        ):
            return
        until_s = min(read_now() + CHANGED_SHARES_WAIT_S, call.deadline_s)
        while not self._set_preferred(context):
            if self._may_return(context, context.find_change_time()):
                return
            if not self._can_wait(context, until_s):
                return
            self._shares.request_change(call.service)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _may_return(self, context: CallContext, until_s: float) -> bool:
        """Return whether the preferred version of a stream may be back in time."""
        now_s = read_now()
        group = self.find_group(context, now_s)
        due_s = group.find_due_s(now_s)
        return group.is_returning and due_s is not None and due_s < until_s

    def _set_preferred(self, context: CallContext) -> bool:
        """Set the version that the shares give a stream; return whether it serves.

        Otherwise the stream may wait until the version is back.
        """
        call, now_s = context.call, read_now()
        assert call.origin is not None
        versions = self._state.stream_versions
        live = find_serving_group(
            self._state, ServingScope(call.service), now_s
        ).versions
        # If nothing is left, other shares would not help.
        lost = versions.list_versions(call.service) - live if live else frozenset()
        chosen = versions.choose(call.service, call.origin, now_s, lost)
        usual = versions.choose(call.service, call.origin, now_s)
        context.preferred_version = usual if chosen is None else chosen
        context.version_source = (
            VersionSource.SHARES
            if context.preferred_version == usual
            else VersionSource.FALLBACK
        )
        return chosen is not None

    def _can_wait(self, context: CallContext, until_s: float) -> bool:
        service = context.call.service
        is_known = bool(self._state.stream_versions.list_versions(service))
        return is_known and read_now() < until_s and self._shares.can_change(service)

    def find_scope(self, context: CallContext) -> ServingScope:
        """Return which upstreams may write the answer of a call."""
        call = context.call
        if call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return ServingScope(call.service)
        return ServingScope(call.service, self._list_allowed(context))

    def find_group(self, context: CallContext, now_s: float) -> ServingGroup:
        """Return the upstreams that can write the answer of a call now, or soon."""
        return find_serving_group(self._state, self.find_scope(context), now_s)

    def list_excluded(self, context: CallContext) -> set[UpstreamId]:
        """Return the upstreams that must not write the events of a call."""
        call = context.call
        if call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return set()
        usable = self.find_group(context, read_now()).names
        return {
            item.upstream
            for item in self._list_decoders(context)
            if item.upstream not in usable
        }

    def find_obstacle(
        self, context: CallContext, group: ServingGroup
    ) -> Rejected | None:
        """Return the refusal of a call if no upstream of its version is left."""
        if context.call.route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return None
        if group.ready or group.absent:
            return None
        is_unknown = context.version == UNKNOWN_VERSION
        reason = VERSION_UNKNOWN if is_unknown else VERSION_ABSENT
        return Rejected(Explanation(reason=reason, numbers={}), RETRY_WHEN_ABSENT_S)

    def record_begun(self, context: CallContext, version: SoftwareVersion) -> None:
        """Record that a stream has its first event, and so its version."""
        call = context.call
        if (
            context.version is not None
            or call.origin is None
            or call.route.repeatability is not Repeatability.STREAM_RESUMABLE
        ):
            return
        context.version = version
        stream = BegunStream(
            origin=call.origin, service=call.service, version=context.version
        )
        if self._state.stream_versions.record_begun(stream, read_now()):
            # Others may deduce another version if they are not told.
            self._tell(stream)

    def correct_begun(
        self, context: CallContext, upstream: UpstreamId, version: SoftwareVersion
    ) -> None:
        """Record that another process began a stream than the one that was meant."""
        call = context.call
        log_event(
            gateway_events.VERSION_CORRECTED,
            request=call.request,
            upstream=upstream,
            version=context.version or "",
            found=version,
        )
        context.version = version
        if call.origin is None:
            return
        stream = BegunStream(origin=call.origin, service=call.service, version=version)
        self._state.stream_versions.record_begun(stream, read_now())
        # Others may have been told the version that was meant.
        self._tell(stream)

    def _tell(self, stream: BegunStream) -> None:
        """Tell the other gateways of a stream, twice, as a datagram may be lost."""
        self._state.tell_streams([stream])
        loop = asyncio.get_running_loop()
        loop.call_later(REPEAT_AFTER_S, self._state.tell_streams, [stream])

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
        if context.version is not None:
            return None
        confirmed_by = await self._confirm(context.call.service)
        context.version = self._recall_version(context.call)
        if context.version is None and confirmed_by is not Confirmation.NONE:
            context.version_source = VersionSource.DEDUCED
            context.version = self._deduce_version(context, confirmed_by)
        if context.version is None and context.call.origin is not None:
            context.version_source = VersionSource.STORED
            context.version = await self._streams.find_version(
                context.call.service, context.call.origin
            )
        if context.version is not None:
            return None
        log_event(
            gateway_events.VERSION_NOT_KNOWN,
            request=context.call.request,
            origin=context.call.origin or "",
        )
        # It is ambiguous for at most as long as it may go on at all.
        known = self._state.stream_versions.list_shares(context.call.service)
        is_current = confirmed_by is not Confirmation.NONE
        unshared = self._list_unshared(context, confirmed_by)
        numbers = {
            "is_current": float(is_current),
            "shares": float(len(known)),
            "unshared": float(len(unshared)),
        }
        explanation = Explanation(reason=VERSION_UNKNOWN, numbers=numbers)
        return Rejected(explanation, RETRY_WHEN_ABSENT_S)

    def _recall_version(self, call: Call) -> SoftwareVersion | None:
        """Return the version of a stream that began here or was told."""
        if call.origin is None:
            return None
        known = self._state.stream_versions.find_stream(call.origin, read_now())
        if known is None or known.service != call.service:
            return None
        return known.version

    def _deduce_version(
        self, context: CallContext, confirmed_by: Confirmation
    ) -> SoftwareVersion | None:
        """Return the version that a stream must have had, if that is certain."""
        call = context.call
        versions = self._state.stream_versions
        unshared = self._list_unshared(context, confirmed_by)
        if call.origin is not None:
            return versions.deduce(call.service, call.origin, unshared)
        # The caller does not say which stream it is: there must have been one version.
        known = versions.list_versions(call.service)
        return next(iter(known)) if len(known) == 1 and not unshared else None

    def _list_unshared(
        self, context: CallContext, confirmed_by: Confirmation
    ) -> set[SoftwareVersion]:
        """Return the versions that may have streams by shares not known here.

        A version that has no share in the store has no streams, unless a restored store
        has lost its share. What the other gateways know need not be all.
        """
        if confirmed_by is Confirmation.STORE and not self._shares.may_lack_shares():
            return set()
        shared = self._state.stream_versions.list_versions(context.call.service)
        return self._list_versions(context) - shared

    async def _confirm(self, service: ServiceName) -> Confirmation:
        """Find out whether streams have begun by shares that are not known here.

        Without the store, what the peers tell from now on has to be enough.
        """
        began_s = read_now()
        if await self._shares.confirm(service):
            return Confirmation.STORE
        while not self._is_confirmed_by_peers(began_s):
            if read_now() - began_s > PEERS_CONFIRM_S:
                return Confirmation.NONE
            await asyncio.sleep(POLL_INTERVAL_S)
        return Confirmation.PEERS

    def _is_confirmed_by_peers(self, since_s: float) -> bool:
        state = self._state
        if state.roster.count is None:
            return False
        others = state.roster.gateways - {state.settings.process}
        return state.shares_knowledge.is_current(others, since_s)

    async def _wait_for_shares(self, context: CallContext) -> None:
        """Wait until the store knows the versions."""
        service = context.call.service
        versions = self._state.stream_versions
        while not versions.list_versions(service):
            missing_since_s = self._missing_since_s.setdefault(service, read_now())
            if read_now() - missing_since_s > FIRST_SHARES_WAIT_S:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _list_allowed(self, context: CallContext) -> frozenset[SoftwareVersion]:
        """Return the version of a stream, or at which it may begin."""
        call = context.call
        versions = self._state.stream_versions
        if context.preferred_version is None and call.origin is not None:
            # The first shares may have come since the call was placed.
            chosen = versions.choose(call.service, call.origin, read_now())
            context.preferred_version = chosen
        version = context.version or context.preferred_version
        if version is not None:
            return frozenset((version,))
        known = versions.list_versions(call.service)
        registered = frozenset(self._list_versions(context))
        # A service that has no shares can't be served otherwise while the store takes
        # no writes. If they were not read yet, another gateway may have written some.
        is_alone = self._state.roster.count == 1
        may_know = is_alone or self._state.versions_listed_s is not None
        is_only = may_know and not known and len(registered) == 1
        return registered if is_only else frozenset()

    def _list_versions(self, context: CallContext) -> set[SoftwareVersion]:
        return {item.version for item in self._list_decoders(context)}

    def _list_decoders(self, context: CallContext) -> list[Registration]:
        return [
            item
            for item in self._state.members.list_ready(context.call.service)
            if writes_answers(item)
        ]
