"""Track which upstreams take work, from their registrations."""

from dataclasses import dataclass, replace

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet._departures import Departures
from bramleyport.fleet._leaving import LeavingProcesses, LeavingUpstream
from bramleyport.fleet._store_outages import StoreOutages
from bramleyport.fleet._types import Registration


@dataclass(slots=True)
class Member:
    """Describe one upstream and whether its registration is missing."""

    registration: Registration
    # Set while a missing registration may still be renewed.
    missing_until_s: float | None = None


class Membership:
    """Track the registered upstreams."""

    def __init__(self) -> None:
        self._members: dict[UpstreamId, Member] = {}
        # Rises with each change of the registrations.
        self.change_count = 0
        self._outages = StoreOutages()
        self._departures = Departures()
        self._leaving = LeavingProcesses()
        # Registrations of a restored store whose upstreams had left before.
        self._unconfirmed: dict[UpstreamId, Registration] = {}
        self._restored_s = 0.0

    def record_store_answer(self, answered_s: float) -> None:
        """Record that the store answered a call of any gateway."""
        self._outages.record_answer(answered_s)

    def record_missed_changes(self, until_s: float) -> None:
        """Record until when upstreams are kept that the next list or changes lack."""
        self._outages.record_missed(until_s)

    def record_store_failure(self, since_s: float) -> None:
        """Record that calls to the store fail, and since when it is silent."""
        self._outages.record_failure(since_s)

    def record_restored(self, now_s: float) -> None:
        """Record that the store was restored from a copy, which may lack upstreams."""
        self._outages.record_restored(now_s)

    def put(self, registration: Registration) -> Registration | None:
        """Add a registration and return the one that it replaces."""
        known = self._members.get(registration.upstream)
        self.change_count += 1
        if registration.draining and registration.started_ms:
            self._leaving.record(registration.upstream, registration.started_ms)
        elif self._leaving.includes(registration):
            registration = replace(registration, draining=True)
        self._unconfirmed.pop(registration.upstream, None)
        self._members[registration.upstream] = Member(registration)
        self._departures.record_returned(registration.upstream)
        return known.registration if known else None

    def record_leaving(self, upstream: UpstreamId, started_ms: int) -> bool:
        """Record that a process said that it is leaving; return whether that is new."""
        member = self._members.get(upstream)
        if member is not None and member.registration.started_ms != started_ms:
            # It is about an earlier process, or one that has not registered yet.
            return False
        if not self._leaving.record(upstream, started_ms):
            return False
        self.change_count += 1
        if member is not None and self._leaving.includes(member.registration):
            member.registration = replace(member.registration, draining=True)
        return True

    def is_leaving(self, registration: Registration) -> bool:
        """Return whether the process of a registration is known to leave."""
        return registration.draining or self._leaving.includes(registration)

    def list_leaving(self) -> list[LeavingUpstream]:
        """Return the upstreams that are leaving, or drained and have left lately."""
        draining = [
            LeavingUpstream(item.upstream, item.started_ms)
            for item in self.list_all()
            if item.draining
        ]
        return draining + self._departures.list_drained()

    def remove(
        self, upstream: UpstreamId, now_s: float, last: Registration | None = None
    ) -> None:
        """Remove an upstream unless its registration may still be renewed.

        Its last registration is given if the store has told it.
        """
        self._unconfirmed.pop(upstream, None)
        member = self._members.get(upstream)
        if member is None:
            return
        self.change_count += 1
        renewal_end_s = self._outages.find_renewal_end(now_s)
        if member.registration.draining or renewal_end_s is None:
            del self._members[upstream]
            self._leaving.forget_unknown_start(upstream)
            self._departures.record(
                last or member.registration, now_s, is_last=last is not None
            )
        elif member.missing_until_s is None:
            member.missing_until_s = renewal_end_s

    def drop(self, upstream: UpstreamId) -> bool:
        """Remove an upstream at once; return whether it was known."""
        self._unconfirmed.pop(upstream, None)
        self.change_count += 1
        return self._members.pop(upstream, None) is not None

    def replace_all(
        self,
        listed: list[Registration],
        now_s: float,
        *,
        restored: bool = False,
        is_complete: bool = True,
    ) -> None:
        """Replace all registrations; remove upstreams that a complete list lacks.

        A list of a restored store takes back nothing that was written after its copy.
        """
        self._unconfirmed = {}
        if restored:
            self._unconfirmed = {
                item.upstream: item for item in listed if not self._is_current(item)
            }
            listed = [self._merge(item) for item in listed if self._is_current(item)]
            self._restored_s = now_s
        names = {registration.upstream for registration in listed}
        missing = [name for name in self._members if name not in names]
        for upstream in missing if is_complete else ():
            self.remove(upstream, now_s)
        for registration in listed:
            self.put(registration)

    def confirm_remaining(self, now_s: float, expiry_s: float) -> list[UpstreamId]:
        """Add and return the upstreams that a restored store has kept.

        They had left, as far as was known, but the store removes registrations that
        are not renewed within `expiry_s`.
        """
        if not self._unconfirmed or now_s - self._restored_s < expiry_s:
            return []
        remaining = list(self._unconfirmed.values())
        for registration in remaining:
            self.put(registration)
        return [registration.upstream for registration in remaining]

    def _is_current(self, listed: Registration) -> bool:
        return listed.upstream in self._members or self._departures.precede(listed)

    def _merge(self, listed: Registration) -> Registration:
        """Return the later one of a listed and the known registration."""
        known = self.find(listed.upstream)
        if known is None:
            return listed
        is_later = (known.started_ms, known.sequence) > (
            listed.started_ms,
            listed.sequence,
        )
        return known if is_later else listed

    def drop_missing(self, now_s: float) -> list[UpstreamId]:
        """Drop and return the upstreams whose registrations were not renewed."""
        gone = [
            name
            for name, member in self._members.items()
            if member.missing_until_s is not None and now_s >= member.missing_until_s
        ]
        for name in gone:
            self.change_count += 1
            registration = self._members.pop(name).registration
            self._departures.record(registration, now_s, is_last=False)
        return gone

    def list_ready(self, service: ServiceName) -> list[Registration]:
        """Return the upstreams of a service that take new work."""
        return [
            member.registration
            for member in self._members.values()
            if member.registration.service == service
            and not member.registration.draining
        ]

    def find(self, upstream: UpstreamId) -> Registration | None:
        """Return the registration of an upstream."""
        member = self._members.get(upstream)
        return member.registration if member else None

    def list_all(self) -> list[Registration]:
        """Return all registrations."""
        return [member.registration for member in self._members.values()]
