"""Guard shared watches: lost updates, watchers that end, large changes, outages."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision
from bramleyport.fleet import Freshness, choose_store_watchers
from bramleyport.gateway import _follower
from bramleyport.gateway._follower import Follower, WatchTimes
from bramleyport.gateway._store_updates import (
    StoreUpdate,
    StoreUpdateError,
    decode_store_update,
    encode_store_update,
    select_unseen,
)
from bramleyport.platform import (
    Change,
    ChangeBatch,
    Listing,
    ObjectKind,
    ObjectName,
    StoredObject,
    StoreError,
    StoreFailure,
)
from bramleyport.platform._store_eras import StoreEras

Run = Callable[[Coroutine[Any, Any, Any]], Any]
KIND = ObjectKind.REGISTRATIONS
NAMES = [ProcessId(f"g{number:02}") for number in range(12)]
# Short, so that state expires soon; the tests do not depend on the values.
TIMES = WatchTimes(
    wait_s=0.2, shared_wait_s=0.1, pause_s=0.02, fresh_s=0.5, answer_s=0.2
)


def make_revision(number: int, era: int = 1) -> StoreRevision:
    return StoreRevision(StoreEra(era), Revision(number))


def make_change(
    name: str, revision: int, *, removed: bool = False, era: int = 1
) -> Change:
    stored = StoredObject(
        name=ObjectName(name),
        revision=make_revision(revision, era),
        document={"at": revision},
    )
    return Change(stored, removed)


class MemoryStore:
    """Represent a store with the objects of one kind and their changes."""

    def __init__(self) -> None:
        self.revision = make_revision(1)
        self.events: list[tuple[StoreRevision, Change]] = []
        self.views: list[StoreView] = []
        self.calls: list[ProcessId] = []
        self.disconnected: set[ProcessId] = set()
        self._changed = asyncio.Event()

    def put(self, name: str, *, size: int = 0, removed: bool = False) -> None:
        number, era = self.revision.number + 1, self.revision.era
        self.revision = make_revision(number, era)
        change = make_change(name, number, removed=removed, era=era)
        # Random digits don't compress well.
        change.object.document["text"] = json.dumps(
            [number * 7919 % 10007 for number in range(size)]
        )
        self.events.append((self.revision, change))
        self._changed.set()

    def restore(self, number: int) -> None:
        """Begin a new era with the state of an earlier revision."""
        era = self.revision.era + 1
        kept = [change for revision, change in self.events if revision.number <= number]
        self.revision = make_revision(number, era)
        self.events = []
        for change in kept:
            found = change.object
            copied = make_change(found.name, found.revision.number, era=era)
            copied.object.document.update(found.document)
            self.events.append((copied.object.revision, copied))
        self._changed.set()

    def make_view(self, process: ProcessId) -> "StoreView":
        view = StoreView(self, process)
        self.views.append(view)
        return view

    async def wait(self, wait_s: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class StoreView:
    """Represent the store as one gateway reaches it."""

    def __init__(self, store: MemoryStore, process: ProcessId) -> None:
        self._store = store
        self._process = process
        self.eras = StoreEras()

    async def list_objects(self, kind: ObjectKind, **_: Any) -> Any:
        if (failure := self._call()) is not None:
            return failure
        newest = {
            change.object.name: change
            for _, change in self._store.events
            if self._store.revision.era > 1
        }
        objects = tuple(item.object for item in newest.values() if not item.removed)
        return Ok(Listing(self._store.revision, objects))

    async def watch(
        self, kind: ObjectKind, since: StoreRevision, wait_s: float, answer_s: float
    ) -> Any:
        if (failure := self._call()) is not None:
            return failure
        if not self._list(since) and since.era == self._store.revision.era:
            await self._store.wait(wait_s)
        if self.eras.record(self._store.revision.era) != since.era:
            error = StoreError(failure=StoreFailure.EXPIRED, step="s", reason="era")
            return Err(error)
        return Ok(ChangeBatch(self._store.revision, self._list(since)))

    def _list(self, since: StoreRevision) -> tuple[Change, ...]:
        return tuple(c for revision, c in self._store.events if revision > since)

    def _call(self) -> Any:
        self._store.calls.append(self._process)
        self.eras.record(self._store.revision.era)
        if self._process in self._store.disconnected:
            error = StoreError(failure=StoreFailure.REFUSED, step="s", reason="cut")
            return Err(error)
        return None


class MemoryLink:
    """Deliver updates among the gateways of a test."""

    def __init__(self, process: ProcessId, network: "Network") -> None:
        self.process = process
        self._network = network

    def is_sharing(self) -> bool:
        return True

    def is_store_watcher(self) -> bool:
        return self.process in choose_store_watchers(NAMES)

    def publish_update(self, update: StoreUpdate) -> None:
        self._network.deliver(update)


class MemoryUpdater:
    """Track the objects that the changes describe."""

    def __init__(self) -> None:
        self.objects: dict[ObjectName, int] = {}
        self.reachable: list[bool] = []

    def apply_listing(self, listing: Listing, *, restored: bool) -> None:
        self.objects = {item.name: item.document["at"] for item in listing.objects}

    def apply_changes(self, batch: ChangeBatch) -> None:
        for change in batch.changes:
            if change.removed:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object.document["at"]

    def record_store_answer(self, *_: float) -> None:
        self._record(reachable=True)

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        self._record(reachable=False)

    def _record(self, *, reachable: bool) -> None:
        if not self.reachable or self.reachable[-1] != reachable:
            self.reachable.append(reachable)


class Network:
    """Represent twelve gateways that follow one kind of objects."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.updaters = {name: MemoryUpdater() for name in NAMES}
        self.should_lose: Callable[[StoreUpdate, ProcessId], bool] = (
            lambda update, name: False
        )
        self.watchers = set(choose_store_watchers(NAMES))
        self.others = [name for name in NAMES if name not in self.watchers]
        self._followers = {
            name: Follower(
                self.store.make_view(name),  # type: ignore[arg-type]
                KIND,
                self.updaters[name],
                TIMES,
                MemoryLink(name, self),
            )
            for name in NAMES
        }
        self._tasks: dict[ProcessId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        for name, follower in self._followers.items():
            self._tasks[name] = asyncio.ensure_future(follower.run())
        await self.wait_for(lambda: len(self.store.calls) >= len(NAMES))

    def stop(self, names: Any = NAMES) -> None:
        for name in names:
            self._tasks[name].cancel()

    def deliver(self, update: StoreUpdate) -> None:
        found = decode_store_update(encode_store_update(update))
        for name, follower in self._followers.items():
            if name != update.process and not self.should_lose(found, name):
                follower.receive_update(found)

    def has_object(self, name: str, names: Any = NAMES) -> bool:
        return all(name in self.updaters[process].objects for process in names)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
def network() -> Network:
    return Network()


def run_script(run: Run, network: Network, script: Coroutine[Any, Any, None]) -> None:
    async def whole() -> None:
        await network.start()
        try:
            await script
        finally:
            network.stop()

    run(whole())


def test_only_watchers_call_the_store_for_a_change(network: Network, run: Run) -> None:
    # When each of 68 gateways watched the store itself, they made 3,000 calls in 50 s.
    async def script() -> None:
        for number in range(5):
            network.store.put(f"u{number}")
            await network.wait_for(
                lambda number=number: network.has_object(f"u{number}")
            )

    run_script(run, network, script())
    assert {network.store.calls.count(name) for name in network.others} == {1}


def test_change_is_found_when_all_watchers_end(network: Network, run: Run) -> None:
    async def script() -> None:
        network.stop(network.watchers)
        network.store.put("u")
        await network.wait_for(lambda: network.has_object("u", network.others))

    run_script(run, network, script())


def test_change_is_found_when_no_watcher_can_reach_the_store(
    network: Network, run: Run
) -> None:
    async def script() -> None:
        network.store.disconnected = set(network.watchers)
        network.store.put("u")
        await network.wait_for(lambda: network.has_object("u", network.others))

    run_script(run, network, script())


def test_gateway_that_cannot_reach_the_store_receives_changes(
    network: Network, run: Run
) -> None:
    # Gateways on hosts that the store refused kept an old configuration.
    async def script() -> None:
        network.store.disconnected = {network.others[0]}
        network.store.put("u")
        await network.wait_for(lambda: network.has_object("u"))

    run_script(run, network, script())


def test_change_of_a_lost_update_is_read_from_the_store(
    network: Network, run: Run
) -> None:
    async def script() -> None:
        network.should_lose = lambda update, name: (
            bool(update.changes) and name == NAMES[0]
        )
        network.store.put("u")
        await network.wait_for(lambda: network.has_object("u"))

    run_script(run, network, script())


def test_changes_too_large_for_a_datagram_are_read_from_the_store(
    network: Network, run: Run
) -> None:
    async def script() -> None:
        network.store.put("large", size=2_000)
        await network.wait_for(lambda: network.has_object("large"))

    run_script(run, network, script())
    assert len(network.others) > 0


def test_first_update_after_an_outage_reports_it(network: Network, run: Run) -> None:
    # Removals in that update may be registrations that expired during the outage.
    async def script() -> None:
        network.store.disconnected = set(NAMES)
        revoked = network.updaters[network.others[0]].reachable
        await network.wait_for(
            lambda: all(network.updaters[name].reachable[-1] is False for name in NAMES)
        )
        network.store.disconnected = set()
        network.store.put("u", removed=True)
        await network.wait_for(lambda: revoked[-2:] == [False, True])

    run_script(run, network, script())


def test_end_of_an_outage_is_found_without_waiting_for_a_change(
    network: Network, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the time for which upstreams may be missing after an outage.

    It began with the removal of an upstream that left 1.7 s after the outage, so calls
    went to it for 2 s more.
    """
    watcher = next(iter(network.watchers))
    waits_s: list[float] = []

    async def wait(wait_s: float) -> None:
        waits_s.append(wait_s)
        await asyncio.sleep(min(wait_s, 0.05))

    async def script() -> None:
        network.store.disconnected = set(network.watchers)
        reachable = network.updaters[watcher].reachable
        await network.wait_for(lambda: reachable[-1] is False)
        network.stop([name for name in NAMES if name != watcher])
        waits_s.clear()
        network.store.disconnected = set()
        await network.wait_for(lambda: len(waits_s) > 1)
        assert waits_s[0] == 0.0 < waits_s[1]

    monkeypatch.setattr(network.store, "wait", wait)
    run_script(run, network, script())


def test_late_answer_of_a_watch_does_not_undo_newer_updates(run: Run) -> None:
    network = Network()

    async def script() -> None:
        follower = network._followers[network.others[0]]
        updater = network.updaters[network.others[0]]
        await network.wait_for(lambda: follower._revision is not None)
        update = StoreUpdate(
            process=NAMES[0],
            kind=KIND,
            since=follower._revision or make_revision(0),
            revision=make_revision(30),
            changes=(make_change("u", 20), make_change("u", 30)),
        )
        follower.receive_update(update)
        follower._apply((make_change("u", 20),), make_revision(25))
        assert updater.objects == {ObjectName("u"): 30}

    run_script(run, network, script())


def test_changes_of_a_new_era_are_found_though_its_revisions_overtake_the_old(
    network: Network, run: Run
) -> None:
    """Guards against comparing revisions of a restored store with older ones."""

    async def script() -> None:
        for number in range(4):
            network.store.put(f"u{number}")
        await network.wait_for(lambda: network.has_object("u3"))
        network.store.restore(network.store.revision.number - 3)
        for number in range(6):
            network.store.put(f"v{number}")
        await network.wait_for(lambda: network.has_object("v5"))
        assert network.has_object("v0") and not network.has_object("u3", NAMES[:1])

    run_script(run, network, script())


def test_calls_end_with_the_first_answers_of_a_new_era(
    network: Network, run: Run
) -> None:
    """Guards against gateways that call the store for ever after it was restored."""

    async def script() -> None:
        for number in range(9):
            network.store.put(f"u{number}")
        await network.wait_for(lambda: network.has_object("u8"))
        network.store.restore(2)
        network.store.put("v")
        await network.wait_for(lambda: network.has_object("v"))
        await asyncio.sleep(TIMES.fresh_s)
        network.store.calls.clear()
        await asyncio.sleep(2 * TIMES.fresh_s)
        assert not set(network.store.calls) & set(network.others)

    run_script(run, network, script())


def test_late_update_of_an_older_era_is_ignored(network: Network, run: Run) -> None:
    """Guards against an update that was sent before the store was restored."""

    async def script() -> None:
        follower = network._followers[network.others[0]]
        network.store.restore(1)
        network.store.put("v")
        await network.wait_for(lambda: network.has_object("v"))
        late = StoreUpdate(
            process=NAMES[0],
            kind=KIND,
            since=make_revision(1),
            revision=make_revision(90),
            changes=(make_change("old", 90),),
        )
        follower.receive_update(late)
        assert not network.has_object("old", network.others[:1])
        assert follower._published_revision.era == 2

    run_script(run, network, script())


def test_changes_after_a_removal_are_applied_again() -> None:
    # The revision of a removal is not known, so later changes may not be skipped.
    changes = [
        make_change("u", 5, removed=True),
        make_change("u", 6),
        make_change("v", 6),
        make_change("w", 9),
    ]
    names = [c.object.name for c in select_unseen(changes, make_revision(7))]
    assert names == ["u", "u", "w"]


def test_answer_received_after_a_suspension_counts_as_old(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    network = Network()
    ages = []
    monkeypatch.setattr(
        network, "deliver", lambda update: ages.append((update.changes, update.age_s))
    )
    clock = iter(range(0, 1_000_000, 7))
    monkeypatch.setattr(_follower, "read_boot_time", lambda: float(next(clock)))

    async def script() -> None:
        await network.wait_for(lambda: any(c is not None for c, _ in ages))

    run_script(run, network, script())
    assert max(age_s for _, age_s in ages) > 6


def test_all_gateways_of_a_small_fleet_watch_and_few_of_a_large_one() -> None:
    assert set(choose_store_watchers(NAMES[:5])) == set(NAMES[:5])
    many = [ProcessId(f"g{number}") for number in range(380)]
    watchers = choose_store_watchers(many)
    assert len(watchers) == len(choose_store_watchers(NAMES))
    # The loss of a gateway that does not watch changes nothing.
    left = [name for name in many if name in watchers or name.endswith("7")]
    assert choose_store_watchers(left) == watchers


def test_state_is_current_while_any_source_confirms_it() -> None:
    freshness = Freshness(2.0)
    assert freshness.measure_remaining(0.0) == 0.0
    freshness.confirm(NAMES[0], 1.0)
    freshness.confirm(NAMES[1], 2.0)
    freshness.confirm(NAMES[1], 1.5)
    assert freshness.measure_remaining(2.5) == 1.5
    freshness.revoke(NAMES[1])
    assert freshness.measure_remaining(2.5) == 0.5
    assert freshness.measure_remaining(3.5) == 0.0


def test_update_survives_encoding_and_decoding() -> None:
    update = StoreUpdate(
        process=NAMES[0],
        kind=KIND,
        since=make_revision(3),
        revision=make_revision(9),
        age_s=0.25,
        returned=True,
        changes=(make_change("u", 5), make_change("v", 9, removed=True)),
    )
    assert decode_store_update(encode_store_update(update)) == update


@given(
    st.lists(st.one_of(st.none(), st.integers(), st.text(), st.binary()), max_size=10)
)
def test_any_fields_are_decoded_or_refused(fields: list[Any]) -> None:
    try:
        decode_store_update(fields)
    except StoreUpdateError:
        return
