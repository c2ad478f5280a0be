"""Apply the configuration and the registrations that the store holds."""

from collections.abc import Callable, Iterable
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet import Registration, RouteTable
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    ChangeBatch,
    Listing,
    MalformedDocumentError,
    ObjectName,
    StoredObject,
    decode_configuration,
    decode_registration,
)
from bramleyport.telemetry import gateway_events, log_event

CONFIGURATION_NAME: Final = ObjectName("main")


class ConfigurationUpdater:
    """Apply each newer configuration of the store."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def apply_listing(self, listing: Listing) -> None:
        """Apply the configuration of a complete list."""
        self._apply(listing.objects)

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply the configurations of changes."""
        self._apply(change.object for change in batch.changes if not change.removed)

    def record_store_state(self, *, reachable: bool) -> None:
        """Keep the configuration whether or not the store answers."""

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


class RegistrationUpdater:
    """Keep the upstreams as the store lists them."""

    def __init__(
        self, state: GatewayState, on_gone: Callable[[UpstreamId], None]
    ) -> None:
        self._state = state
        self._on_gone = on_gone
        self._refused: dict[ObjectName, str] = {}

    def apply_listing(self, listing: Listing) -> None:
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

    def apply_changes(self, batch: ChangeBatch) -> None:
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

    def record_store_state(self, *, reachable: bool) -> None:
        """Note whether the store answers; registrations lapse while it is away."""
        self._state.members.record_store(reachable=reachable, now_s=read_now())

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
