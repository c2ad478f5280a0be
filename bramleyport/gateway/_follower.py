"""Follow one kind of objects in the store, by watches or by updates of peers."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err

from bramleyport.core import ProcessId, StoreEra, StoreRevision
from bramleyport.fleet import Freshness
from bramleyport.gateway._clock import read_boot_time, read_now
from bramleyport.gateway._store_updates import NO_REVISION, StoreUpdate, select_unseen
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Listing,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoreError,
    StoreFailure,
)
from bramleyport.telemetry import gateway_events, log_event

# Duration of a watch, as a fraction of the time for which an outage permits stale
# state. A watch that is sent while the store is unresponsive is never answered, so it
# has to time out before that time ends, even if the store is available again.
WATCH_FRACTION: Final = 0.8
# Time that a slow store takes to answer beyond the requested wait.
ANSWER_ALLOWANCE_S: Final = 0.7
MIN_WAIT_S: Final = 0.3
RETRY_FIRST_S: Final = 0.06
RETRY_MAX_S: Final = 0.5
# Gateways that rely on the updates of peers retry an unreachable store less often.
SHARED_RETRY_MAX_S: Final = 1.5
# Fraction of the bound on the age of state for which changes are collected before the
# next call. Each call is charged for, so several changes are read with one call.
PAUSE_FRACTION: Final = 0.3
# Fraction of that bound for which state counts as current without an update from a
# watching gateway. The remainder leaves time to read the store directly.
FRESH_FRACTION: Final = 0.6
# Time allowed for the update of a watch to arrive, on top of its wait and pause.
UPDATE_DELAY_S: Final = 0.4
# How often a gateway that relies on updates checks whether it has to watch the store.
POLL_INTERVAL_S: Final = 0.5
# Pause after a watch while calls wait for changes.
URGENT_PAUSE_S: Final = 0.1
# Time until an incomplete list is read again, which doubles while it stays incomplete.
RELIST_FIRST_S: Final = 0.5
RELIST_MAX_S: Final = 8.0
# Time for which lists of a restored store may hold objects that are older than those
# that were known before. By then all of them were written again or have expired.
COPY_KEEP_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTimes:
    """Describe the timing of the watches of one kind of objects."""

    # How long the store holds a watch open while nothing changes: if this gateway
    # watches for itself, and if it watches on behalf of others.
    wait_s: float
    shared_wait_s: float
    # Pause after a watch, in which changes are collected.
    pause_s: float
    # How long state counts as current without an update.
    fresh_s: float
    answer_s: float = ANSWER_ALLOWANCE_S


def choose_watch_times(stable_s: float, bound_s: float) -> WatchTimes:
    """Return the timing of watches for a bound on the age of state.

    A watch ends before the time for which an outage permits stale state (`stable_s`).
    A watch whose updates others rely on ends before their state counts as stale.
    """
    pause_s = PAUSE_FRACTION * bound_s
    wait_s = max(MIN_WAIT_S, WATCH_FRACTION * stable_s - ANSWER_ALLOWANCE_S)
    # After this time a gateway that relied on updates watches the store itself. Both
    # together must be shorter than the time for which an outage permits stale state.
    fresh_s = min(FRESH_FRACTION * bound_s, wait_s - MIN_WAIT_S)
    return WatchTimes(
        wait_s=wait_s,
        shared_wait_s=max(MIN_WAIT_S, fresh_s - pause_s - UPDATE_DELAY_S),
        pause_s=pause_s,
        fresh_s=fresh_s,
    )


class UpdateLink(Protocol):
    """Represent the link by which store updates reach the other gateways."""

    @property
    def process(self) -> ProcessId:
        """Return the name of this gateway."""

    def is_sharing(self) -> bool:
        """Return whether a few gateways watch the store on behalf of all."""

    def is_store_watcher(self) -> bool:
        """Return whether this gateway watches the store."""

    def publish_update(self, update: StoreUpdate) -> None:
        """Send an update to the other gateways."""


class UnsharedLink:
    """Represent the link of a kind of objects that each gateway follows itself."""

    def __init__(self, process: ProcessId) -> None:
        self.process = process

    def is_sharing(self) -> bool:
        """Return that no gateway watches the store on behalf of others."""
        return False

    def is_store_watcher(self) -> bool:
        """Return that this gateway watches the store."""
        return True

    def publish_update(self, update: StoreUpdate) -> None:
        """Send nothing, since the other gateways read the store themselves."""


class StateUpdater(Protocol):
    """Represent the receiver of the objects that a follower reads."""

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Replace all objects with a list.

        Objects that an incomplete list lacks are kept. If the store was restored,
        objects of the list may be older than those that are replaced, and some that
        were written since may be missing.
        """

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply changes."""

    def record_store_answer(self, age_s: float = 0.0, missed_s: float = 0.0) -> None:
        """Record that the store has answered a gateway `age_s` ago.

        What is applied next holds changes that may have been missed for `missed_s`.
        """

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        """Record that the store answers no known gateway, and for how long."""


class Follower:
    """Follow one kind of objects and pass their changes to an updater.

    In a large fleet a few gateways list and watch the objects and send updates to the
    others, which call the store only if they missed an update or none arrived for too
    long.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: ObjectKind,
        updater: StateUpdater,
        times: WatchTimes,
        link: UpdateLink,
        needed: ObjectName | None = None,
    ) -> None:
        """Follow a kind of objects; `needed` names one that no list may lack."""
        self._needed = needed
        self._store = store
        self._kind = kind
        self._updater = updater
        self._times = times
        self._link = link
        self._freshness = Freshness(times.fresh_s)
        self._revision: StoreRevision | None = None
        # The era of the last list.
        self._era: StoreEra | None = None
        # When the first list of an era after the first one was read.
        self._restored_s = -math.inf
        self._reachable = True
        # Since when gateways get no answers, and whether no known one gets any.
        self._doubted_s = math.inf
        self._is_silent = False
        # When the known state was last seen to be that of the store.
        self._current_s = -math.inf
        self._retry_s = RETRY_FIRST_S
        # When the last call was made, and for how long the store may hold it open.
        self._called_s = 0.0
        self._wait_s = 0.0
        # The newest revision that a gateway has published.
        self._published_revision = NO_REVISION
        # A peer has read the store in an era that is not known here yet.
        self._list_needed = False
        # When an incomplete list is read again, and the time until then.
        self._relist_at_s = math.inf
        self._relist_s = RELIST_FIRST_S
        # The newest revision of that era whose changes a peer has told.
        self._ahead_revision = NO_REVISION
        self._call_needed = asyncio.Event()
        # Returns whether calls wait for changes.
        self.is_urgent: Callable[[], bool] = lambda: False
        store.eras.on_restored.append(lambda _: self._call_needed.set())

    async def run(self) -> None:
        """Call the store, or wait for updates of peers, until cancelled."""
        while True:
            idle_s = self._measure_idle_time()
            if idle_s > 0:
                await self._wait_for_update(idle_s)
                continue
            self._called_s = read_now()
            error = await self._call_store()
            if error is None:
                await self._pause()
                continue
            if error.failure is StoreFailure.EXPIRED:
                log_event(gateway_events.WATCH_RESTARTED, kind=self._kind.value)
                self._revision = None
                continue
            if error.failure is StoreFailure.MALFORMED:
                # The same watch would be answered with the same bytes.
                self._list_needed = True
            self._record_failure(error)
            await asyncio.sleep(self._retry_s)
            self._retry_s = min(self._limit_retry(), self._retry_s * 2)

    def receive_update(self, update: StoreUpdate) -> None:
        """Apply an update that another gateway has sent."""
        if not update.reachable:
            self._record_doubt(update.process, read_now())
            self._call_needed.set()
            return
        if self._revision is None or update.revision.era < self._revision.era:
            return
        if update.revision.era > self._revision.era:
            self._receive_new_era(update)
            return
        # The answer may end an outage in which what it lacks has expired.
        self._record_answer(update.age_s)
        if update.revision > self._revision and not self._apply_update(update):
            self._published_revision = max(self._published_revision, update.revision)
            self._call_needed.set()
            return
        self._freshness.confirm(update.process, read_now() - update.age_s)

    def _receive_new_era(self, update: StoreUpdate) -> None:
        """Apply the changes of an era whose list was not read here yet.

        This gateway may not reach the store. What was written in the new era is newer
        than all that is known, and the list, once it is read, replaces it.
        """
        self._list_needed = True
        self._call_needed.set()
        if update.changes is None or update.revision <= self._ahead_revision:
            return
        unseen = select_unseen(update.changes, self._ahead_revision)
        self._ahead_revision = update.revision
        self._updater.apply_changes(ChangeBatch(update.revision, unseen))

    def _apply_update(self, update: StoreUpdate) -> bool:
        """Apply the changes of an update; return whether that was possible."""
        assert self._revision is not None
        if update.changes is None or update.since > self._revision:
            return False
        self._apply(update.changes, update.revision)
        return True

    def _apply(self, changes: tuple[Change, ...], revision: StoreRevision) -> None:
        assert self._revision is not None
        if revision < self._revision:
            # The update of a peer has already brought a newer revision.
            return
        unseen = select_unseen(changes, self._revision)
        self._revision = revision
        self._updater.apply_changes(ChangeBatch(revision, unseen))

    def _measure_idle_time(self) -> float:
        """Return for how many seconds the state stays current without a call."""
        if self._needs_list() or self._link.is_store_watcher():
            return 0.0
        assert self._revision is not None
        if self._published_revision > self._revision:
            return 0.0
        return self._freshness.measure_remaining(read_now())

    async def _pause(self) -> None:
        """Wait while changes are collected, or for less if they are awaited."""
        remaining_s = self._times.pause_s
        while True:
            step_s = min(URGENT_PAUSE_S, remaining_s)
            await asyncio.sleep(step_s)
            remaining_s -= step_s
            if remaining_s <= 0 or self.is_urgent():
                return

    async def _wait_for_update(self, idle_s: float) -> None:
        self._call_needed.clear()
        try:
            async with asyncio.timeout(min(idle_s, POLL_INTERVAL_S)):
                await self._call_needed.wait()
        except TimeoutError:
            return

    def _needs_list(self) -> bool:
        """Return whether the changes since the known revision can't be read."""
        if self._revision is None or self._list_needed:
            return True
        if read_now() >= self._relist_at_s:
            return True
        return self._revision.era < self._store.eras.newest

    def _record_answer(self, age_s: float) -> None:
        """Record that the store has answered this gateway or another one."""
        now_s = read_now()
        missed_s = now_s - self._current_s if self._is_silent else 0.0
        self._doubted_s, self._is_silent = math.inf, False
        self._current_s = now_s - age_s
        self._updater.record_store_answer(age_s, missed_s)

    def _record_doubt(self, source: ProcessId, since_s: float) -> None:
        """Record that a gateway gets no answers.

        Only if no other gateway gets any, the store may be away.
        """
        now_s = read_now()
        self._freshness.revoke(source)
        self._doubted_s = min(self._doubted_s, since_s)
        if self._freshness.measure_remaining(now_s) <= 0:
            self._is_silent = True
            self._updater.record_store_failure(now_s - self._doubted_s)

    async def _call_store(self) -> StoreError | None:
        if self._needs_list():
            return await self._list()
        assert self._revision is not None
        return await self._watch(self._revision)

    async def _list(self) -> StoreError | None:
        self._wait_s = 0.0
        listing = await self._store.list_objects(self._kind, needed=self._needed)
        if isinstance(listing, Err):
            return listing.err_value
        revision = listing.ok_value.revision
        began = self._era is not None and revision.era != self._era
        if began:
            self._restored_s = read_now()
        restored = read_now() - self._restored_s < COPY_KEEP_S
        self._revision, self._era = revision, revision.era
        self._list_needed = False
        self._schedule_relist(is_complete=listing.ok_value.is_complete)
        returned = self._record_reachable()
        if began:
            log_event(
                gateway_events.STORE_RESTORED, kind=self._kind.value, revision=revision
            )
        self._updater.apply_listing(listing.ok_value, restored=restored)
        self._publish(revision, revision, 0.0, returned, None)
        return None

    def _schedule_relist(self, *, is_complete: bool) -> None:
        """Read an incomplete list again later, less often the longer it stays so."""
        if is_complete:
            self._relist_at_s, self._relist_s = math.inf, RELIST_FIRST_S
            return
        self._relist_at_s = read_now() + self._relist_s
        self._relist_s = min(RELIST_MAX_S, self._relist_s * 2)

    async def _watch(self, since: StoreRevision) -> StoreError | None:
        times = self._times
        wait_s = times.shared_wait_s if self._link.is_sharing() else times.wait_s
        if not self._reachable:
            # An answer that waits for a change would hide when the outage has ended.
            wait_s = 0.0
        self._wait_s = wait_s
        started_s = read_boot_time()
        batch = await self._store.watch(self._kind, since, wait_s, times.answer_s)
        if isinstance(batch, Err):
            return batch.err_value
        # The answer may have waited in the socket buffer while this host was suspended.
        age_s = max(0.0, read_boot_time() - started_s - wait_s)
        returned = self._record_reachable(age_s)
        self._apply(batch.ok_value.changes, batch.ok_value.revision)
        revision = batch.ok_value.revision
        if batch.ok_value.nameless:
            # Any object may have changed; the next call reads all of them.
            self._publish(since, revision, age_s, returned, None)
            self._revision = None
        else:
            self._publish(since, revision, age_s, returned, batch.ok_value.changes)
        return None

    def _publish(
        self,
        since: StoreRevision,
        revision: StoreRevision,
        age_s: float,
        returned: bool,
        changes: tuple[Change, ...] | None,
    ) -> None:
        self._published_revision = revision
        self._freshness.confirm(self._link.process, read_now() - age_s)
        if not self._should_publish():
            return
        self._link.publish_update(
            StoreUpdate(
                process=self._link.process,
                kind=self._kind,
                since=since,
                revision=revision,
                age_s=age_s,
                returned=returned,
                changes=changes,
            )
        )

    def _should_publish(self) -> bool:
        return self._link.is_sharing() and self._link.is_store_watcher()

    def _limit_retry(self) -> float:
        relies_on_updates = (
            self._link.is_sharing() and not self._link.is_store_watcher()
        )
        return SHARED_RETRY_MAX_S if relies_on_updates else RETRY_MAX_S

    def _record_reachable(self, age_s: float = 0.0) -> bool:
        """Record an answer of the store; return whether it ends an outage."""
        self._retry_s = RETRY_FIRST_S
        returned = not self._reachable
        if returned:
            self._reachable = True
            log_event(gateway_events.STORE_AVAILABLE, kind=self._kind.value)
        self._record_answer(age_s)
        return returned

    def _record_failure(self, error: StoreError) -> None:
        if self._reachable:
            self._reachable = False
            log_event(
                gateway_events.STORE_UNAVAILABLE,
                kind=self._kind.value,
                step=error.step,
                failure=error.failure.value,
                reason=error.reason,
            )
            if self._should_publish():
                process = self._link.process
                self._link.publish_update(
                    StoreUpdate(process=process, kind=self._kind, reachable=False)
                )
        self._record_doubt(self._link.process, self._find_silence(error))

    def _find_silence(self, error: StoreError) -> float:
        """Return since when the store has been silent as a call failed.

        A watch whose channel ends while the store holds it open has told of all changes
        but those whose answer may be under way.
        """
        now_s = read_now()
        if now_s - self._called_s >= self._wait_s + self._times.answer_s:
            return self._called_s
        told_s = now_s - self._times.answer_s
        if error.failure is StoreFailure.UNKNOWN and told_s > self._called_s:
            self._current_s = max(self._current_s, told_s)
        return now_s
