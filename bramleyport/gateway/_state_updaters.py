"""Update the state of the gateway from the objects in the store."""

import math
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from bramleyport.core import UpstreamId
from bramleyport.fleet import Configuration, Registration, RouteTable
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Document,
    Listing,
    ObjectName,
    StoredObject,
    decode_configuration,
    decode_registration,
)
from bramleyport.telemetry import gateway_events, log_event

# The store removes a registration after three intervals without a renewal, which begin
# when it is back; the others are for its notice to arrive.
EXPIRY_INTERVALS: Final = 6
# Fraction of the bound for upstreams that left, for which one is kept that may have
# lapsed instead.
MISSED_KEEP_FRACTION: Final = 0.7
CONFIGURATION_NAME: Final = ObjectName("main")


class ConfigurationUpdater:
    """Decide which configurations of the store take effect."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._guard = ObjectGuard(gateway_events.CONFIG_INVALID)

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Apply the configuration in a list."""
        self._guard.record_listing(listing)
        self._apply(listing.objects)

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply the configurations in changes."""
        self._apply(change.object for change in batch.changes if not change.removed)

    def record_store_answer(self, age_s: float = 0.0, missed_s: float = 0.0) -> None:
        """Keep the configuration, whether or not the store answers."""

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        """Keep the configuration, whether or not the store answers."""

    def _apply(self, objects: Iterable[StoredObject]) -> None:
        for item in objects:
            if item.name == CONFIGURATION_NAME:
                self._guard.apply(item, partial(self._apply_one, item))

    def _apply_one(self, item: StoredObject) -> None:
        configuration = self._guard.decode(item, _decode_configuration)
        if configuration is not None:
            self._put(configuration, item.document, str(item.revision))

    def apply_document(self, document: Document, origin: str) -> None:
        """Apply a configuration that another gateway has in force."""
        self._put(decode_configuration(document), document, origin)

    def _put(
        self, configuration: Configuration, document: Document, origin: str
    ) -> None:
        current = self._state.configuration
        # Answers may arrive out of order; an older version never replaces a newer one.
        if current is not None and configuration.version <= current.version:
            return
        self._state.routes = RouteTable(configuration)
        self._state.configuration_document = document
        self._state.configuration_applied_s = read_now()
        self._state.version_gap.record_applied(configuration.version, read_now())
        log_event(
            gateway_events.CONFIG_APPLIED,
            version=configuration.version,
            revision=origin,
            routes=len(configuration.routes),
            keys=len(configuration.accounts or ()),
        )
        for reason in configuration.accounts.problems if configuration.accounts else ():
            log_event(gateway_events.ACCOUNT_INVALID, reason=reason)


class RegistrationUpdater:
    """Track the upstreams that are registered in the store."""

    def __init__(
        self, state: GatewayState, on_removed: Callable[[UpstreamId], None]
    ) -> None:
        self._state = state
        self._on_removed = on_removed
        self._guard = ObjectGuard(gateway_events.REGISTRATION_INVALID)

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Replace the known upstreams with a list."""
        self._guard.record_listing(listing)
        found = [self._decode(item) for item in listing.objects]
        listed = [registration for registration in found if registration is not None]
        now_s = read_now()
        before = self._index_members()
        if restored:
            self._state.members.record_restored(now_s)
        self._state.members.replace_all(
            listed, now_s, restored=restored, is_complete=listing.is_complete
        )
        after = self._index_members()
        for item in listing.objects:
            upstream = UpstreamId(item.name)
            if upstream in after:
                known = before.get(upstream)
                action = partial(self._record_change, known, after[upstream])
                self._guard.apply(item, action)
        for upstream in before.keys() - after.keys():
            self._report_removed(upstream, "not listed")

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply changes of registrations."""
        now_s = read_now()
        for change in batch.changes:
            action = partial(self._apply_change, change, now_s)
            self._guard.apply(change.object, action)

    def record_store_answer(self, age_s: float = 0.0, missed_s: float = 0.0) -> None:
        """Record an answer, which may end an outage."""
        self.record_other_answer(age_s)
        until_s = -math.inf
        if missed_s > 0:
            keep_s = MISSED_KEEP_FRACTION * self._state.settings.drain_limit_s
            until_s = read_now() - missed_s + keep_s
        self._state.members.record_missed_changes(until_s)

    def record_other_answer(self, age_s: float = 0.0) -> None:
        """Record an answer that says nothing of registrations."""
        self._state.members.record_store_answer(read_now() - age_s)

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        """Record a failure; an outage lets registrations expire."""
        self._state.members.record_store_failure(read_now() - silent_s)

    def drop_lapsed(self) -> None:
        """Remove upstreams whose expired registration was not renewed."""
        now_s = read_now()
        self._confirm_remaining(now_s)
        for upstream in self._state.members.drop_missing(now_s):
            self._report_removed(upstream, "lapsed")

    def _apply_change(self, change: Change, now_s: float) -> None:
        # The last state of a removed object shows if its upstream was draining.
        registration = self._decode(change.object)
        if registration is not None and (not change.removed or registration.draining):
            self._put(registration)
        if change.removed:
            self._guard.forget(change.object.name)
            self._remove(UpstreamId(change.object.name), now_s, registration)

    def _remove(
        self, upstream: UpstreamId, now_s: float, last: Registration | None
    ) -> None:
        self._state.members.remove(upstream, now_s, last)
        if self._state.members.find(upstream) is None:
            self._report_removed(upstream, "removed")

    def _report_removed(self, upstream: UpstreamId, reason: str) -> None:
        log_event(gateway_events.UPSTREAM_LEFT, upstream=upstream, reason=reason)
        self._on_removed(upstream)

    def _confirm_remaining(self, now_s: float) -> None:
        """Use upstreams again whose registrations a restored store has kept."""
        interval_s = self._state.settings.registration_interval_s
        expiry_s = EXPIRY_INTERVALS * interval_s
        for upstream in self._state.members.confirm_remaining(now_s, expiry_s):
            registration = self._state.members.find(upstream)
            if registration is not None:
                self._record_change(None, registration)

    def _index_members(self) -> dict[UpstreamId, Registration]:
        return {item.upstream: item for item in self._state.members.list_all()}

    def _put(self, registration: Registration) -> None:
        known = self._state.members.find(registration.upstream)
        self._state.members.put(registration)
        current = self._state.members.find(registration.upstream)
        assert current is not None
        self._record_change(known, current)

    def _record_change(
        self, known: Registration | None, registration: Registration
    ) -> None:
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
            version=registration.version,
        )
        if known is not None and (
            known.started_ms != registration.started_ms
            or known.address != registration.address
        ):
            self._on_removed(registration.upstream)
        if known is not None and known.stage is not registration.stage:
            # The change that was announced is over.
            self._state.changing_until_s.pop(registration.upstream, None)
        if known is None or known.started_ms != registration.started_ms:
            self._state.processes_known_s[registration.upstream] = read_now()

    def _decode(self, item: StoredObject) -> Registration | None:
        """Return the registration of an upstream, which is not used if it is invalid.

        Unlike a missing registration, an invalid one is not expected to be renewed.
        """
        registration = self._guard.decode(item, _decode_registration)
        if registration is None and self._state.members.drop(UpstreamId(item.name)):
            self._report_removed(UpstreamId(item.name), "invalid registration")
        return registration


def _decode_configuration(item: StoredObject) -> Configuration:
    return decode_configuration(item.read_document())


def _decode_registration(item: StoredObject) -> Registration:
    return decode_registration(item.name, item.read_document())
