"""Guard what a gateway makes of the eras that answers of the store name."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision, UpstreamId
from bramleyport.fleet import Membership
from bramleyport.gateway._follower import Follower, UnsharedLink, WatchTimes
from bramleyport.platform import (
    Listing,
    ObjectKind,
    StoreError,
    StoreFailure,
    _store,
)
from bramleyport.platform._store_eras import StoreEras
from tests.fleet_builders import SERVICE, make_engine
from tests.gateway_fleet import GatewayFleet, make_config

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    yield fleet
    run(fleet.stop())


def test_era_that_a_later_request_contradicts_was_wrong() -> None:
    """Guards against one wrong era that makes all later answers count as late."""
    eras = StoreEras()
    assert eras.record(StoreEra(3)) == 3
    assert eras.record(StoreEra(9), StoreEra(3)) == 9
    assert eras.record(StoreEra(3), StoreEra(3)) == 3
    assert eras.newest == 9
    assert eras.record(StoreEra(3), StoreEra(9)) == 3
    assert eras.newest == 3


def test_all_that_depend_on_an_era_learn_of_it() -> None:
    """Guards against one error that hides a new era from the parts behind it."""

    def fail(_: StoreEra) -> None:
        raise RuntimeError("failed")

    heard: list[StoreEra] = []
    eras = StoreEras()
    eras.on_restored += [fail, heard.append]
    eras.record(StoreEra(1))
    eras.record(StoreEra(2))
    assert heard == [2]


# One answer with a very large era makes all later answers count as outdated.
def test_one_answer_with_an_absurd_era_does_not_end_following(
    fleet: GatewayFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    eras: list[int] = []
    monkeypatch.setattr(
        _store, "decode_store_era", lambda _: StoreEra(eras.pop() if eras else 1)
    )

    async def check() -> None:
        await fleet.start()
        eras.append(10**18 - 1)
        await asyncio.sleep(4.0)
        assert not eras
        fleet.store.put("config", "main", make_config(9))
        await fleet.wait_for(lambda: fleet.state.configuration.version == 9, 8.0)

    run(check())


# A second list in the same era (410, or an entry without a name) is applied as if the
# store had not been restored, and takes back what the first one did not.
def test_second_list_of_a_restored_store_takes_back_nothing() -> None:
    members = Membership()
    engine = replace(make_engine("e"), started_ms=100, sequence=5)
    copied = replace(engine, sequence=3)
    members.put(engine)
    members.remove(UpstreamId("e"), 10.0, engine)
    members.record_restored(14.0)
    members.replace_all([copied], 14.0, restored=True)
    assert members.list_ready(SERVICE) == []
    members.replace_all([copied], 14.5, restored=True)
    assert members.list_ready(SERVICE) == []


# The same through a follower: two lists of era 2, as after a watch that got 410.
def test_second_list_of_an_era_is_known_to_be_of_a_restored_store(run: Run) -> None:
    restored_flags: list[bool] = []

    class Store:
        eras = StoreEras()
        answers = [1, 2, 2]

        async def list_objects(self, kind: Any, **_: Any) -> Any:
            era = StoreEra(self.answers.pop(0))
            self.eras.record(era)
            return Ok(Listing(StoreRevision(era, Revision(5)), ()))

        async def watch(self, *args: Any) -> Any:
            if not self.answers:
                await asyncio.sleep(60)
            return Err(
                StoreError(failure=StoreFailure.EXPIRED, step="watch", reason="410")
            )

    class Updater:
        def apply_listing(self, listing: Any, *, restored: bool = False) -> None:
            restored_flags.append(restored)

        def record_store_answer(self, *_: float) -> None:
            pass

        def record_store_failure(self, silent_s: float = 0.0) -> None:
            pass

    async def check() -> None:
        times = WatchTimes(wait_s=0.1, shared_wait_s=0.1, pause_s=0.01, fresh_s=0.1)
        store: Any = Store()
        updater: Any = Updater()
        link = UnsharedLink(ProcessId("g"))
        follower = Follower(store, ObjectKind.REGISTRATIONS, updater, times, link)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()

    run(check())
    assert restored_flags == [False, True, True]
