"""Keep the shares of software versions in the store, and follow those of it."""

import asyncio
import math
from dataclasses import dataclass
from functools import partial
from typing import Final

from result import Err

from bramleyport.core import ServiceName, StoreEra, StoreRevision
from bramleyport.fleet import (
    ConfigVersion,
    Repeatability,
    ServingScope,
    VersionShares,
    compute_shares,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._fresh_reads import FreshReads
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._repair_queue import RepairQueue
from bramleyport.gateway._serving import find_serving_group
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import (
    ChangeBatch,
    Listing,
    ObjectKind,
    ObjectName,
    SharesDocument,
    StoreClient,
    StoredObject,
    StoreFailure,
    decode_shares,
    encode_shares,
)
from bramleyport.telemetry import gateway_events, log_event

KIND: Final = ObjectKind.VERSIONS
CHECK_INTERVAL_S: Final = 0.1
# The same while nothing changes: a check looks at all registrations.
QUIET_INTERVAL_S: Final = 1.0
# Time between two changes of the shares of a service, unless a version joins or leaves.
MIN_CHANGE_INTERVAL_S: Final = 5.0
WRITE_RETRY_S: Final = 1.0
MIN_WAIT_S: Final = 0.001
# Time that each gateway gets before the next one writes shares that streams wait for.
URGENT_TURN_S: Final = 0.05
# Time for which a stream that is taken up waits for the store.
CONFIRM_TIMEOUT_S: Final = 0.5
# Earlier shares that are kept at most; until one is removed, none is added.
MAX_EPOCHS: Final = 8
# Time for which a stream may go on, as a multiple of the longest timeout of a route:
# a caller may take it up again near the end of that time.
KEEP_FACTOR: Final = 2.0
MIN_KEEP_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class _StoredShares:
    revision: StoreRevision
    shares: tuple[VersionShares, ...]


class VersionStore:
    """Write the shares of versions, and apply those that any gateway has written.

    Streams follow no shares that are not in the store, and shares stay there for as
    long as streams that followed them may go on. So a gateway that starts knows what
    streams may have followed, whoever began them.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._guard = ObjectGuard(gateway_events.SHARES_INVALID)
        # What the store has, and its revision.
        self._stored: dict[ServiceName, _StoredShares] = {}
        self._changed_s: dict[ServiceName, float] = {}
        # The registrations and the configuration of the last check, and when it was.
        self._checked_changes: tuple[int, ConfigVersion] | None = None
        self._checked_s = -math.inf
        own = state.settings.process
        self._turns = RepairQueue(own, state.roster)
        # Services of which streams wait for shares without a lost version, and until
        # when the store is not asked for such a change again.
        self._requested: set[ServiceName] = set()
        self._urgent = RepairQueue(own, state.roster, turn_s=URGENT_TURN_S)
        self._blocked_until_s: dict[ServiceName, float] = {}
        self._wake = asyncio.Event()
        self._reads: dict[ServiceName, FreshReads[bool]] = {}
        # Changed settings don't change how this process started.
        self._first_start = state.settings.first_start
        # When the store was last found to be restored from a copy.
        self._restored_s = -math.inf
        store.eras.on_restored.append(self._record_restored)

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Apply a list; one of a restored store takes back nothing."""
        if self._state.versions_listed_s is None:
            self._state.versions_listed_s = read_now()
        self._guard.record_listing(listing)
        listed = {
            self._guard.apply(item, partial(self._apply, item, restored=restored))
            for item in listing.objects
        }
        if not listing.is_complete:
            return
        for service in [name for name in self._stored if name not in listed]:
            del self._stored[service]

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply changed shares; removed ones are written again."""
        for change in batch.changes:
            if change.removed:
                self._forget(change.object)
            else:
                action = partial(self._apply, change.object, restored=False)
                self._guard.apply(change.object, action)

    def record_store_answer(self, age_s: float = 0.0, missed_s: float = 0.0) -> None:
        """Keep the shares, whether or not the store answers."""

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        """Keep the shares, whether or not the store answers."""

    async def run(self) -> None:
        """Write what has to be changed until cancelled."""
        while True:
            await self._wait()
            if self._state.versions_listed_s is None:
                continue
            now_s = read_now()
            if self._is_check_due(now_s):
                self._update_times()
                for service in self._list_services():
                    self._check(service, now_s)
            for name in (*self._urgent.take_due(now_s), *self._turns.take_due(now_s)):
                await self._write(ServiceName(name))

    def can_change(self, service: ServiceName) -> bool:
        """Return whether the store has not refused a change lately."""
        return read_now() >= self._blocked_until_s.get(service, -math.inf)

    def request_change(self, service: ServiceName) -> None:
        """Write shares without the versions that are lost."""
        self._requested.add(service)
        self._urgent.add(service, read_now())
        self._wake.set()

    def may_lack_shares(self) -> bool:
        """Return whether the store may have lost shares that streams still follow.

        A gateway that starts does not know whether the era has just begun.
        """
        if self._store.eras.named is None:
            return False
        listed_s = self._state.versions_listed_s
        if listed_s is None:
            return True
        since_s = self._restored_s
        if not self._first_start:
            since_s = max(since_s, listed_s)
        return read_now() - since_s < self._state.stream_versions.keep_s

    async def confirm(self, service: ServiceName) -> bool:
        """Read the shares; return whether those that are known now are current."""
        reads = self._reads.get(service)
        if reads is None:
            reads = self._reads[service] = FreshReads(partial(self._read, service))
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                return await reads.request()
        except TimeoutError:
            return False

    async def _read(self, service: ServiceName) -> bool:
        result = await self._store.get(KIND, ObjectName(service))
        if isinstance(result, Err):
            log_event(
                gateway_events.SHARES_NOT_READ,
                service=service,
                failure=result.err_value.failure.value,
                reason=result.err_value.reason,
            )
            return False
        item = result.ok_value
        known = self._stored.get(service)
        if known is None or known.revision.era != item.revision.era:
            # A restored store may lack shares, until its list was read.
            return False
        self._guard.apply(item, partial(self._apply, item, restored=False))
        return self._stored[service].revision >= item.revision

    async def _wait(self) -> None:
        """Wait until shares are checked again, or have to be written."""
        self._wake.clear()
        wait_s = CHECK_INTERVAL_S
        due_s = self._urgent.find_next()
        if due_s is not None:
            # A wait that rounds to nothing would not move the clock to that moment.
            wait_s = min(wait_s, max(MIN_WAIT_S, due_s - read_now()))
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _is_check_due(self, now_s: float) -> bool:
        """Return whether something has changed, or was not checked lately."""
        changes = (self._state.members.change_count, self._state.version)
        if changes == self._checked_changes and (
            now_s - self._checked_s < QUIET_INTERVAL_S
        ):
            return False
        self._checked_changes, self._checked_s = changes, now_s
        return True

    def _update_times(self) -> None:
        versions = self._state.stream_versions
        versions.activation_s = self._state.settings.drain_limit_s
        configuration = self._state.configuration
        if configuration is not None:
            timeouts_s = (route.timeout_s for route in configuration.routes)
            longest_s = max(timeouts_s, default=0.0)
            versions.keep_s = max(MIN_KEEP_S, KEEP_FACTOR * longest_s)

    def _list_services(self) -> list[ServiceName]:
        """Return the services with streams that may be resumed."""
        configuration = self._state.configuration
        if configuration is None:
            return []
        return sorted(
            {
                share.service
                for route in configuration.routes
                if route.repeatability is Repeatability.STREAM_RESUMABLE
                for share in route.services
            }
        )

    def _check(self, service: ServiceName, now_s: float) -> None:
        """Schedule a write if the shares of a service have to be changed."""
        wanted = self._find_wanted(service, now_s)
        if wanted is None:
            self._turns.drop(service)
        else:
            self._turns.add(service, now_s)

    def _find_wanted(
        self, service: ServiceName, now_s: float
    ) -> list[VersionShares] | None:
        """Return the shares that the store should have, or None if it has them."""
        versions = self._state.stream_versions
        known = versions.list_shares(service)
        kept = known
        superseded_s = versions.find_superseded_s(service)
        if superseded_s is not None and now_s - superseded_s > versions.keep_s:
            kept = known[1:]
        desired = self._compute_desired(service, now_s)
        if desired is not None and self._should_change(service, known, desired, now_s):
            kept = [item for item in kept if item != desired] + [desired]
        stored = self._stored.get(service)
        if not kept or (stored is not None and stored.shares == tuple(kept)):
            return None
        return kept if len(kept) <= MAX_EPOCHS else None

    def _compute_desired(
        self, service: ServiceName, now_s: float
    ) -> VersionShares | None:
        ready = self._state.members.list_ready(service)
        scope = ServingScope(service)
        live = find_serving_group(self._state, scope, now_s).versions
        return compute_shares(item for item in ready if item.version in live)

    def _should_change(
        self,
        service: ServiceName,
        known: list[VersionShares],
        desired: VersionShares,
        now_s: float,
    ) -> bool:
        if not known:
            return True
        newest = known[-1]
        if not newest.differs_from(desired):
            return False
        if desired.versions - newest.versions:
            return True
        missing = newest.versions - desired.versions
        if missing:
            ready = self._state.members.list_ready(service)
            # One that has crashed is usually back soon, and has its share then.
            is_registered = any(item.version in missing for item in ready)
            return not is_registered or service in self._requested
        changed_s = self._changed_s.get(service)
        return changed_s is None or now_s - changed_s >= MIN_CHANGE_INTERVAL_S

    async def _write(self, service: ServiceName) -> None:
        now_s = read_now()
        wanted = self._find_wanted(service, now_s)
        self._requested.discard(service)
        if wanted is None:
            return
        name = ObjectName(service)
        document = encode_shares(SharesDocument(service, tuple(wanted)))
        stored = self._stored.get(service)
        if stored is None:
            result = await self._store.create(KIND, name, document)
        else:
            result = await self._store.replace(KIND, name, document, stored.revision)
        if isinstance(result, Err) and (
            result.err_value.failure is StoreFailure.CONFLICT
        ):
            # Another gateway was first, or the watch has not told yet.
            result = await self._store.get(KIND, name)
        if isinstance(result, Err):
            log_event(
                gateway_events.SHARES_NOT_WRITTEN,
                service=service,
                failure=result.err_value.failure.value,
                reason=result.err_value.reason,
            )
            retry_s = read_now() + WRITE_RETRY_S
            self._turns.postpone(service, retry_s)
            self._blocked_until_s[service] = retry_s
            return
        self._guard.apply(
            result.ok_value, partial(self._apply, result.ok_value, restored=False)
        )

    def _apply(self, item: StoredObject, *, restored: bool) -> ServiceName | None:
        document = self._guard.decode(item, _decode)
        if document is None:
            return None
        service = document.service
        known = self._stored.get(service)
        if item.name != ObjectName(service) or (
            known and known.revision >= item.revision
        ):
            return service
        self._stored[service] = _StoredShares(item.revision, document.shares)
        self._record_known(item.revision)
        versions = self._state.stream_versions
        shares = list(document.shares)
        before = versions.list_shares(service)
        if restored or known is None or known.revision.era != item.revision.era:
            # What was known is written again, after what the copy has.
            shares = [known for known in shares if known not in before] + before
        now_s = read_now()
        if shares and shares[-1:] != versions.list_shares(service)[-1:]:
            self._changed_s[service] = now_s
            log_event(
                gateway_events.SHARES_CHANGED,
                service=service,
                shares=dict(shares[-1].shares),
                earlier=len(shares) - 1,
            )
        self._state.tell_streams(versions.set_shares(service, shares, now_s))
        return service

    def _record_restored(self, _: StoreEra) -> None:
        self._restored_s = read_now()

    def _record_known(self, revision: StoreRevision) -> None:
        """Record the newest shares, and tell the peers at once that there are any.

        One that does not reach the store deduces no version until it has read them.
        """
        knowledge = self._state.shares_knowledge
        before = knowledge.own
        knowledge.record_own(revision)
        if knowledge.own != before and self._state.on_shares is not None:
            self._state.on_shares()

    def _forget(self, item: StoredObject) -> None:
        """Write shares again that another writer has removed."""
        self._stored.pop(ServiceName(item.name), None)


def _decode(item: StoredObject) -> SharesDocument:
    return decode_shares(item.read_document())
