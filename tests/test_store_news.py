"""Guard shared watches: lost news, watchers that end, large changes, outages."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from bramleyport.core import ProcessId, Revision
from bramleyport.fleet import Freshness, choose_store_watchers
from bramleyport.gateway import _watch
from bramleyport.gateway._store_news import (
    StoreNews,
    StoreNewsError,
    decode_news,
    encode_news,
    select_unseen,
)
from bramleyport.gateway._watch import Follower, WatchTimes
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

Run = Callable[[Coroutine[Any, Any, Any]], Any]
KIND = ObjectKind.REGISTRATIONS
NAMES = [ProcessId(f"g{number:02}") for number in range(12)]
# Short, so that an expiry is soon seen; nothing depends on how short.
TIMES = WatchTimes(
    wait_s=0.2, shared_wait_s=0.1, pause_s=0.02, fresh_s=0.5, answer_s=0.2
)


def make_change(name: str, revision: int, *, removed: bool = False) -> Change:
    document = {"at": revision}
    return Change(
        StoredObject(
            name=ObjectName(name), revision=Revision(revision), document=document
        ),
        removed,
    )


class MemoryStore:
    """Hold the objects of one kind, and the changes so far."""

    def __init__(self) -> None:
        self.revision = Revision(1)
        self.events: list[tuple[Revision, Change]] = []
        self.calls: list[ProcessId] = []
        self.cut: set[ProcessId] = set()
        self._changed = asyncio.Event()

    def put(self, name: str, *, size: int = 0, removed: bool = False) -> None:
        self.revision = Revision(self.revision + 1)
        change = make_change(name, self.revision, removed=removed)
        # Random digits don't compress well.
        change.object.document["text"] = json.dumps(
            [number * 7919 % 10007 for number in range(size)]
        )
        self.events.append((self.revision, change))
        self._changed.set()

    def for_process(self, process: ProcessId) -> "StoreOf":
        return StoreOf(self, process)

    async def wait(self, wait_s: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class StoreOf:
    """Be the store as one gateway sees it."""

    def __init__(self, store: MemoryStore, process: ProcessId) -> None:
        self._store = store
        self._process = process

    async def list_objects(self, kind: ObjectKind) -> Any:
        if (failure := self._call()) is not None:
            return failure
        return Ok(Listing(self._store.revision, ()))

    async def watch(
        self, kind: ObjectKind, since: Revision, wait_s: float, answer_s: float
    ) -> Any:
        if (failure := self._call()) is not None:
            return failure
        if not self._list(since):
            await self._store.wait(wait_s)
        return Ok(ChangeBatch(self._store.revision, self._list(since)))

    def _list(self, since: Revision) -> tuple[Change, ...]:
        return tuple(c for revision, c in self._store.events if revision > since)

    def _call(self) -> Any:
        self._store.calls.append(self._process)
        if self._process in self._store.cut:
            error = StoreError(failure=StoreFailure.REFUSED, step="s", reason="cut")
            return Err(error)
        return None


class MemoryLink:
    """Carry news among the gateways of a test."""

    def __init__(self, process: ProcessId, network: "Network") -> None:
        self.process = process
        self._network = network

    def is_sharing(self) -> bool:
        return True

    def is_watcher(self) -> bool:
        return self.process in choose_store_watchers(NAMES)

    def publish(self, news: StoreNews) -> None:
        self._network.deliver(news)


class MemoryKeeper:
    """Keep the objects as the changes leave them."""

    def __init__(self) -> None:
        self.objects: dict[ObjectName, int] = {}
        self.reachable: list[bool] = []

    def take_listing(self, listing: Listing) -> None:
        self.objects.clear()

    def take_changes(self, batch: ChangeBatch) -> None:
        for change in batch.changes:
            if change.removed:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object.document["at"]

    def note_store(self, *, reachable: bool) -> None:
        if not self.reachable or self.reachable[-1] != reachable:
            self.reachable.append(reachable)


class Network:
    """Run twelve gateways that follow one kind of objects."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.keepers = {name: MemoryKeeper() for name in NAMES}
        self.lose: Callable[[StoreNews, ProcessId], bool] = lambda news, name: False
        self.watchers = set(choose_store_watchers(NAMES))
        self.others = [name for name in NAMES if name not in self.watchers]
        self._followers = {
            name: Follower(
                self.store.for_process(name),  # type: ignore[arg-type]
                KIND,
                self.keepers[name],
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

    def deliver(self, news: StoreNews) -> None:
        found = decode_news(encode_news(news))
        for name, follower in self._followers.items():
            if name != news.process and not self.lose(found, name):
                follower.take_news(found)

    def know(self, name: str, names: Any = NAMES) -> bool:
        return all(name in self.keepers[process].objects for process in names)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
def network() -> Network:
    return Network()


def play(run: Run, network: Network, script: Coroutine[Any, Any, None]) -> None:
    async def whole() -> None:
        await network.start()
        try:
            await script
        finally:
            network.stop()

    run(whole())


def test_change_reaches_all_with_calls_of_the_watchers_alone(
    network: Network, run: Run
) -> None:
    # Each of 68 gateways watched by itself: 3,000 calls in a day of 50 s.
    async def script() -> None:
        for number in range(5):
            network.store.put(f"u{number}")
            await network.wait_for(lambda number=number: network.know(f"u{number}"))

    play(run, network, script())
    assert {network.store.calls.count(name) for name in network.others} == {1}


def test_change_is_found_when_all_watchers_end(network: Network, run: Run) -> None:
    async def script() -> None:
        network.stop(network.watchers)
        network.store.put("u")
        await network.wait_for(lambda: network.know("u", network.others))

    play(run, network, script())


def test_change_is_found_when_all_watchers_are_cut_from_the_store(
    network: Network, run: Run
) -> None:
    async def script() -> None:
        network.store.cut = set(network.watchers)
        network.store.put("u")
        await network.wait_for(lambda: network.know("u", network.others))

    play(run, network, script())


def test_gateway_cut_from_the_store_hears_of_changes(
    network: Network, run: Run
) -> None:
    # A store that turns single hosts away left them on an old configuration.
    async def script() -> None:
        network.store.cut = {network.others[0]}
        network.store.put("u")
        await network.wait_for(lambda: network.know("u"))

    play(run, network, script())


def test_lost_news_are_read_from_the_store(network: Network, run: Run) -> None:
    async def script() -> None:
        network.lose = lambda news, name: bool(news.changes) and name == NAMES[0]
        network.store.put("u")
        await network.wait_for(lambda: network.know("u"))

    play(run, network, script())


def test_changes_too_large_for_a_datagram_are_read_from_the_store(
    network: Network, run: Run
) -> None:
    async def script() -> None:
        network.store.put("large", size=2_000)
        await network.wait_for(lambda: network.know("large"))

    play(run, network, script())
    assert len(network.others) > 0


def test_first_news_after_an_outage_tell_of_it(network: Network, run: Run) -> None:
    # Removals that come with them may be registrations that lapsed meanwhile.
    async def script() -> None:
        network.store.cut = set(network.watchers)
        revoked = network.keepers[network.others[0]].reachable
        await network.wait_for(
            lambda: all(
                network.keepers[name].reachable[-1] is False
                for name in network.watchers
            )
        )
        network.store.cut = set()
        network.store.put("u", removed=True)
        await network.wait_for(lambda: revoked[-2:] == [False, True])

    play(run, network, script())


def test_late_answer_of_a_watch_does_not_undo_newer_news(run: Run) -> None:
    network = Network()

    async def script() -> None:
        follower = network._followers[network.others[0]]
        keeper = network.keepers[network.others[0]]
        await network.wait_for(lambda: follower._revision is not None)
        news = StoreNews(
            process=NAMES[0],
            kind=KIND,
            since=follower._revision or Revision(0),
            revision=Revision(30),
            changes=(make_change("u", 20), make_change("u", 30)),
        )
        follower.take_news(news)
        follower._apply((make_change("u", 20),), Revision(25))
        assert keeper.objects == {ObjectName("u"): 30}

    play(run, network, script())


def test_changes_after_a_removal_are_taken_again() -> None:
    # The revision of a removal isn't known, so what follows it may not be skipped.
    changes = [
        make_change("u", 5, removed=True),
        make_change("u", 6),
        make_change("v", 6),
        make_change("w", 9),
    ]
    names = [c.object.name for c in select_unseen(changes, Revision(7))]
    assert names == ["u", "u", "w"]


def test_answer_that_waited_in_a_suspended_host_counts_as_old(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    network = Network()
    ages = []
    monkeypatch.setattr(
        network, "deliver", lambda news: ages.append((news.changes, news.age_s))
    )
    clock = iter(range(0, 1_000_000, 7))
    monkeypatch.setattr(_watch, "read_elapsed", lambda: float(next(clock)))

    async def script() -> None:
        await network.wait_for(lambda: any(c is not None for c, _ in ages))

    play(run, network, script())
    assert max(age_s for _, age_s in ages) > 6


def test_watchers_of_a_large_fleet_are_few_and_of_a_small_one_all() -> None:
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


def test_news_survive_their_encoding() -> None:
    news = StoreNews(
        process=NAMES[0],
        kind=KIND,
        since=Revision(3),
        revision=Revision(9),
        age_s=0.25,
        returned=True,
        changes=(make_change("u", 5), make_change("v", 9, removed=True)),
    )
    assert decode_news(encode_news(news)) == news


@given(
    st.lists(st.one_of(st.none(), st.integers(), st.text(), st.binary()), max_size=9)
)
def test_any_fields_are_news_or_refused(fields: list[Any]) -> None:
    try:
        decode_news(fields)
    except StoreNewsError:
        return
