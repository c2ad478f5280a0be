"""Follow one kind of objects in the store, by watches or by the news of peers."""

import asyncio
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err

from bramleyport.core import ProcessId, Revision
from bramleyport.fleet import Freshness
from bramleyport.gateway._clock import read_elapsed, read_now
from bramleyport.gateway._store_news import StoreNews, select_unseen
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Listing,
    ObjectKind,
    StoreClient,
    StoreError,
    StoreFailure,
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
# Gateways that rely on others for news ask an unreachable store more rarely.
SHARED_RETRY_MAX_S: Final = 1.5
# Part of the bound for drains or configurations for which changes are collected, so
# that they come with one call. Each call is paid for.
PAUSE_PART: Final = 0.3
# Part of that bound for which state counts without a word from whoever watches. The
# rest is left for a call of one's own.
FRESH_PART: Final = 0.6
# What the news of a watch may take beside its wait and the pause after it.
NEWS_SLACK_S: Final = 0.4
# How often a gateway that relies on news looks whether it has to watch itself.
LOOK_S: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTimes:
    """Hold the times of watches of one kind."""

    # How long the store holds a watch while nothing changes, by oneself and for all.
    wait_s: float
    shared_wait_s: float
    # How long changes are collected after a watch.
    pause_s: float
    # How long state counts as current without news.
    fresh_s: float
    answer_s: float = ANSWER_S


def choose_watch_times(stable_s: float, bound_s: float) -> WatchTimes:
    """Return times for a bound on the age of state.

    A watch ends before an outage is no excuse any more. One whose news others rely on
    ends before their state counts as old.
    """
    pause_s = PAUSE_PART * bound_s
    wait_s = max(MIN_WAIT_S, WATCH_PART * stable_s - ANSWER_S)
    # A watch of one's own follows once state counts as old.
    fresh_s = min(FRESH_PART * bound_s, wait_s - MIN_WAIT_S)
    return WatchTimes(
        wait_s=wait_s,
        shared_wait_s=max(MIN_WAIT_S, fresh_s - pause_s - NEWS_SLACK_S),
        pause_s=pause_s,
        fresh_s=fresh_s,
    )


class NewsLink(Protocol):
    """Exchange news of the store with the other gateways."""

    @property
    def process(self) -> ProcessId:
        """Return this gateway's name."""

    def is_sharing(self) -> bool:
        """Return whether the gateways share what a few of them watch."""

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the store."""

    def publish(self, news: StoreNews) -> None:
        """Tell the other gateways."""


class Keeper(Protocol):
    """Keep the objects that a follower reads."""

    def take_listing(self, listing: Listing) -> None:
        """Replace what is known by a complete list."""

    def take_changes(self, batch: ChangeBatch) -> None:
        """Apply changes."""

    def note_store(self, *, reachable: bool) -> None:
        """Note whether the store answers."""


class Follower:
    """Keep one kind of objects up to date.

    A watcher lists and watches, and tells the others. They call the store only if they
    miss something or hear nothing for too long.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: ObjectKind,
        keeper: Keeper,
        times: WatchTimes,
        link: NewsLink,
    ) -> None:
        self._store = store
        self._kind = kind
        self._keeper = keeper
        self._times = times
        self._link = link
        self._freshness = Freshness(times.fresh_s)
        self._revision: Revision | None = None
        self._reachable = True
        self._retry_s = RETRY_FIRST_S
        # The newest revision that peers know of.
        self._told = Revision(0)
        self._called = asyncio.Event()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            rest_s = self._measure_rest()
            if rest_s > 0:
                await self._rest(rest_s)
                continue
            error = await self._step()
            if error is None:
                await asyncio.sleep(self._times.pause_s)
                continue
            if error.failure is StoreFailure.EXPIRED:
                log_event(gateway_events.WATCH_RESTARTED, kind=self._kind.value)
                self._revision = None
                continue
            self._note_lost(error)
            await asyncio.sleep(self._retry_s)
            self._retry_s = min(self._limit_retry(), self._retry_s * 2)

    def take_news(self, news: StoreNews) -> None:
        """Take what another gateway has read."""
        if not news.reachable:
            self._freshness.revoke(news.process)
            self._called.set()
            return
        if self._revision is None:
            return
        if news.returned and self._reachable:
            # Registrations that lapsed meanwhile may come back.
            self._keeper.note_store(reachable=False)
        if news.revision > self._revision and not self._apply_news(news):
            self._told = max(self._told, news.revision)
            self._called.set()
            return
        self._keeper.note_store(reachable=True)
        self._freshness.confirm(news.process, read_now() - news.age_s)

    def _apply_news(self, news: StoreNews) -> bool:
        """Apply the changes in news; return whether that was possible."""
        assert self._revision is not None
        if news.changes is None or news.since > self._revision:
            return False
        self._apply(news.changes, news.revision)
        return True

    def _apply(self, changes: tuple[Change, ...], revision: Revision) -> None:
        assert self._revision is not None
        if revision < self._revision:
            # A peer was faster: all of this is known.
            return
        unseen = select_unseen(changes, self._revision)
        self._revision = revision
        self._keeper.take_changes(ChangeBatch(revision, unseen))

    def _measure_rest(self) -> float:
        """Return for how many seconds the state is current without a call."""
        if self._revision is None or self._link.is_watcher():
            return 0.0
        if self._told > self._revision:
            return 0.0
        return self._freshness.measure_remaining(read_now())

    async def _rest(self, rest_s: float) -> None:
        self._called.clear()
        try:
            async with asyncio.timeout(min(rest_s, LOOK_S)):
                await self._called.wait()
        except TimeoutError:
            return

    async def _step(self) -> StoreError | None:
        if self._revision is None:
            return await self._list()
        return await self._watch(self._revision)

    async def _list(self) -> StoreError | None:
        listing = await self._store.list_objects(self._kind)
        if isinstance(listing, Err):
            return listing.err_value
        self._revision = listing.ok_value.revision
        returned = self._note_reachable()
        self._keeper.take_listing(listing.ok_value)
        self._publish(self._revision, self._revision, 0.0, returned, None)
        return None

    async def _watch(self, since: Revision) -> StoreError | None:
        times = self._times
        wait_s = times.shared_wait_s if self._link.is_sharing() else times.wait_s
        started_s = read_elapsed()
        batch = await self._store.watch(self._kind, since, wait_s, times.answer_s)
        if isinstance(batch, Err):
            return batch.err_value
        # An answer that waited while this host was suspended is older than it looks.
        age_s = max(0.0, read_elapsed() - started_s - wait_s)
        returned = self._note_reachable()
        self._apply(batch.ok_value.changes, batch.ok_value.revision)
        revision = batch.ok_value.revision
        self._publish(since, revision, age_s, returned, batch.ok_value.changes)
        return None

    def _publish(
        self,
        since: Revision,
        revision: Revision,
        age_s: float,
        returned: bool,
        changes: tuple[Change, ...] | None,
    ) -> None:
        self._told = revision
        self._freshness.confirm(self._link.process, read_now() - age_s)
        if not self._tells():
            return
        self._link.publish(
            StoreNews(
                process=self._link.process,
                kind=self._kind,
                since=since,
                revision=revision,
                age_s=age_s,
                returned=returned,
                changes=changes,
            )
        )

    def _tells(self) -> bool:
        return self._link.is_sharing() and self._link.is_watcher()

    def _limit_retry(self) -> float:
        relies = self._link.is_sharing() and not self._link.is_watcher()
        return SHARED_RETRY_MAX_S if relies else RETRY_MAX_S

    def _note_reachable(self) -> bool:
        """Note an answer of the store; return whether it is the first for a while."""
        self._retry_s = RETRY_FIRST_S
        returned = not self._reachable
        if returned:
            self._reachable = True
            log_event(gateway_events.STORE_BACK, kind=self._kind.value)
        self._keeper.note_store(reachable=True)
        return returned

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
            if self._tells():
                process = self._link.process
                self._link.publish(
                    StoreNews(process=process, kind=self._kind, reachable=False)
                )
        self._keeper.note_store(reachable=False)
