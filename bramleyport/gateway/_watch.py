"""Follow the configuration and the registrations in the store."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from result import Err

from bramleyport.core import Revision, UpstreamId
from bramleyport.fleet import Registration, RouteTable
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    ChangeBatch,
    Listing,
    MalformedDocumentError,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    StoreError,
    StoreFailure,
    decode_configuration,
    decode_registration,
)
from bramleyport.telemetry import gateway_events, log_event

# Part of the time for which an outage excuses old state. A watch that was sent into a
# silent outage is never answered, so only its timeout ends it once the store is back.
WATCH_PART: Final = 0.8
# A store that answers slowly needs this long beyond the wait that it was asked for.
ANSWER_S: Final = 0.7
MIN_WAIT_S: Final = 0.3
RETRY_FIRST_S: Final = 0.1
RETRY_MAX_S: Final = 0.5
# Part of the bound for drains or configurations for which changes are collected, so
# that they come with one call. Every gateway watches, and each call is paid for.
PAUSE_PART: Final = 0.3

CONFIGURATION_NAME: Final = ObjectName("main")


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """Hold how long the store holds a watch, and how long its answer may take then."""

    wait_s: float
    answer_s: float = ANSWER_S


def choose_watch_times(stable_s: float) -> WatchTimes:
    """Return times that end a watch before an outage is no excuse any more."""
    return WatchTimes(wait_s=max(MIN_WAIT_S, WATCH_PART * stable_s - ANSWER_S))


class Follower:
    """Keep one kind of objects up to date by list and watch."""

    def __init__(
        self,
        store: StoreClient,
        kind: ObjectKind,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[ChangeBatch], None],
        on_reachable: Callable[[bool], None],
        pause_s: float,
        times: WatchTimes,
    ) -> None:
        self._store = store
        self._kind = kind
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_reachable = on_reachable
        self._pause_s = pause_s
        self._times = times
        self._revision: Revision | None = None
        self._reachable = True
        self._retry_s = RETRY_FIRST_S

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            error = await self._step()
            if error is None:
                await asyncio.sleep(self._pause_s)
                continue
            if error.failure is StoreFailure.EXPIRED:
                log_event(gateway_events.WATCH_RESTARTED, kind=self._kind.value)
                self._revision = None
                continue
            self._note_lost(error)
            await asyncio.sleep(self._retry_s)
            self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    async def _step(self) -> StoreError | None:
        if self._revision is None:
            listing = await self._store.list_objects(self._kind)
            if isinstance(listing, Err):
                return listing.err_value
            self._revision = listing.ok_value.revision
            self._note_reachable()
            self._on_listing(listing.ok_value)
            return None
        batch = await self._store.watch(
            self._kind, self._revision, self._times.wait_s, self._times.answer_s
        )
        if isinstance(batch, Err):
            return batch.err_value
        self._revision = max(self._revision, batch.ok_value.revision)
        self._note_reachable()
        self._on_changes(batch.ok_value)
        return None

    def _note_reachable(self) -> None:
        self._retry_s = RETRY_FIRST_S
        if not self._reachable:
            self._reachable = True
            log_event(gateway_events.STORE_BACK, kind=self._kind.value)
        self._on_reachable(True)

    def _note_lost(self, error: StoreError) -> None:
        if self._reachable:
            self._reachable = False
            log_event(
                gateway_events.STORE_LOST,
                kind=self._kind.value,
                step=error.step,
                failure=error.failure.value,
                reason=error.reason,
            )
        self._on_reachable(False)


class ConfigurationFollower:
    """Apply each newer configuration of the store."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def take_listing(self, listing: Listing) -> None:
        """Apply the configuration of a complete list."""
        self._apply(listing.objects)

    def take_changes(self, batch: ChangeBatch) -> None:
        """Apply the configurations of changes."""
        self._apply(change.object for change in batch.changes if not change.removed)

    def _apply(self, objects: Iterable[StoredObject]) -> None:
        for item in objects:
            if item.name == CONFIGURATION_NAME:
                self._apply_one(item)

    def _apply_one(self, item: StoredObject) -> None:
        try:
            configuration = decode_configuration(item.document)
        except MalformedDocumentError as error:
            log_event(
                gateway_events.CONFIG_INVALID,
                revision=item.revision,
                reason=str(error),
            )
            return
        current = self._state.configuration
        # A version never goes back, whatever order answers arrive in.
        if current is not None and configuration.version <= current.version:
            return
        self._state.routes = RouteTable(configuration)
        log_event(
            gateway_events.CONFIG_APPLIED,
            version=configuration.version,
            revision=item.revision,
            routes=len(configuration.routes),
        )


class RegistrationFollower:
    """Keep the upstreams as the store lists them."""

    def __init__(
        self, state: GatewayState, on_gone: Callable[[UpstreamId], None]
    ) -> None:
        self._state = state
        self._on_gone = on_gone
        self._refused: dict[ObjectName, str] = {}

    def take_listing(self, listing: Listing) -> None:
        """Replace what is known by a complete list."""
        found = [self._decode(item) for item in listing.objects]
        listed = [registration for registration in found if registration is not None]
        now_s = read_now()
        before = {item.upstream for item in self._state.members.list_all()}
        for registration in listed:
            self._note_change(registration)
        self._state.members.replace_all(listed, now_s)
        after = {item.upstream for item in self._state.members.list_all()}
        for upstream in before - after:
            self._drop(upstream, "not listed")

    def take_changes(self, batch: ChangeBatch) -> None:
        """Apply changes."""
        now_s = read_now()
        for change in batch.changes:
            # A removed object still shows whether its upstream had said that it leaves.
            registration = self._decode(change.object)
            if registration is not None and (
                not change.removed or registration.draining
            ):
                self._note_change(registration)
                self._state.members.put(registration)
            if change.removed:
                self._remove(UpstreamId(change.object.name), now_s)

    def drop_missing(self) -> None:
        """Drop upstreams whose lapsed registration did not come back."""
        now_s = read_now()
        for upstream in self._state.members.drop_missing(now_s):
            self._drop(upstream, "lapsed")

    def _remove(self, upstream: UpstreamId, now_s: float) -> None:
        self._state.members.remove(upstream, now_s)
        if self._state.members.find(upstream) is None:
            self._drop(upstream, "removed")

    def _drop(self, upstream: UpstreamId, reason: str) -> None:
        log_event(gateway_events.UPSTREAM_LEFT, upstream=upstream, reason=reason)
        self._on_gone(upstream)

    def _note_change(self, registration: Registration) -> None:
        known = self._state.members.find(registration.upstream)
        if known == registration:
            return
        event = (
            gateway_events.UPSTREAM_JOINED
            if known is None
            else gateway_events.UPSTREAM_CHANGED
        )
        log_event(
            event,
            upstream=registration.upstream,
            service=registration.service,
            address=str(registration.address),
            zone=registration.zone,
            draining=registration.draining,
            stage=registration.stage.value if registration.stage else "",
        )
        if known is not None and (
            known.started_ms != registration.started_ms
            or known.address != registration.address
        ):
            self._on_gone(registration.upstream)

    def _decode(self, item: StoredObject) -> Registration | None:
        try:
            registration = decode_registration(item.name, item.document)
        except MalformedDocumentError as error:
            self._refuse(item, str(error))
            return None
        self._refused.pop(item.name, None)
        return registration

    def _refuse(self, item: StoredObject, reason: str) -> None:
        if self._refused.get(item.name) == reason:
            return
        self._refused[item.name] = reason
        log_event(
            gateway_events.REGISTRATION_INVALID,
            upstream=item.name,
            revision=item.revision,
            reason=reason,
        )
