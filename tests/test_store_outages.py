"""Guard upstreams that leave, or lapse, beside faults of channels, paths and the store.

A watch that was cut off counted as an outage of the store: for two seconds from there
on, upstreams that were removed got calls.
"""

import asyncio
import math
import tempfile
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from result import Err, Ok

from bramleyport.core import ProcessId, Revision, StoreEra, StoreRevision
from bramleyport.fleet import choose_store_watchers, is_watch_shared
from bramleyport.gateway._follower import Follower, choose_watch_times
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._state_updaters import RegistrationUpdater
from bramleyport.gateway._store_updates import (
    StoreUpdate,
    decode_store_update,
    encode_store_update,
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
    load_node_settings,
)
from bramleyport.platform._store_eras import StoreEras
from tests.gateway_fleet import PLAIN, make_settings
from tests.state_machines import run_machine
from tests.virtual_loop import VirtualLoop

KIND = ObjectKind.REGISTRATIONS
LATENCY_S = 0.004
STEP_S = 0.1
STABLE_S, DRAIN_S = 3.0, 2.0
# How often gateways remove what was not renewed.
DROP_INTERVAL_S = 0.25
# Entries lapse in outages of three intervals, and are back two seconds after the end.
OUTAGE_S, BACK_S = 3.7, 1.8
UPSTREAMS = 8
# A store that refuses more calls than this is away for who makes them.
REFUSAL_INTERVAL_S = 0.3
EXAMPLES, STEPS = 25, 15


class OutageStore:
    """Represent a store whose channels, paths and whole process fail."""

    def __init__(self) -> None:
        self.number = 1
        self.entries: dict[str, int] = {}
        self.events: list[tuple[int, str, bool]] = []
        self.cut_until_s: dict[str, float] = {}
        self.refused: list[str] = []
        # How late watches are answered.
        self.late_s = 0.0
        self._changed = asyncio.Event()
        self._cut: dict[str, int] = {}

    def put(self, name: str) -> None:
        self._record(name, removed=False)
        self.entries[name] = self.number

    def remove(self, name: str) -> None:
        self._record(name, removed=True)
        del self.entries[name]

    def cut_channels(self, gateways: list[str]) -> None:
        for name in gateways:
            self._cut[name] = self._cut.get(name, 0) + 1
        self._wake()

    async def list_for(self, gateway: str) -> Any:
        await asyncio.sleep(LATENCY_S)
        if (error := self._find_error(gateway)) is not None:
            return error
        objects = (self._make_object(name, at) for name, at in self.entries.items())
        return Ok(Listing(self._make_revision(self.number), tuple(objects)))

    async def watch_for(self, gateway: str, since: int, wait_s: float) -> Any:
        await asyncio.sleep(LATENCY_S)
        if (error := self._find_error(gateway)) is not None:
            return error
        cuts = self._cut.get(gateway, 0)
        try:
            async with asyncio.timeout(wait_s):
                while self.number <= since and self._cut.get(gateway, 0) == cuts:
                    await self._changed.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self.late_s)
        if self._cut.get(gateway, 0) != cuts:
            return make_error(StoreFailure.UNKNOWN)
        changes = tuple(
            Change(self._make_object(name, at), removed)
            for at, name, removed in self.events
            if at > since
        )
        return Ok(ChangeBatch(self._make_revision(self.number), changes))

    def _find_error(self, gateway: str) -> Any:
        if gateway in self.refused:
            self.refused.remove(gateway)
            return make_error(StoreFailure.REFUSED)
        now_s = asyncio.get_event_loop().time()
        if now_s < self.cut_until_s.get(gateway, 0.0):
            return make_error(StoreFailure.REFUSED)
        return None

    def _record(self, name: str, *, removed: bool) -> None:
        self.number += 1
        self.events.append((self.number, name, removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_revision(self, number: int) -> StoreRevision:
        return StoreRevision(StoreEra(0), Revision(number))

    def _make_object(self, name: str, number: int) -> StoredObject:
        document = {
            "service": PLAIN,
            "addr": "127.0.0.1:9",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "version": "v1",
        }
        return StoredObject(
            name=ObjectName(name),
            revision=self._make_revision(number),
            document=document,
        )


class StoreView:
    """Represent the store as one gateway reaches it."""

    def __init__(self, store: OutageStore, gateway: str) -> None:
        self.eras = StoreEras()
        self._store, self._gateway = store, gateway

    async def list_objects(self, kind: Any, **_: Any) -> Any:
        return await self._store.list_for(self._gateway)

    async def watch(
        self, kind: Any, since: StoreRevision, wait_s: float, answer_s: float
    ) -> Any:
        return await self._store.watch_for(self._gateway, since.number, wait_s)


class FleetLink:
    """Deliver the updates of one gateway to the others."""

    def __init__(self, process: ProcessId, fleet: "OutageFleet") -> None:
        self.process = process
        self._fleet = fleet

    def is_sharing(self) -> bool:
        return is_watch_shared(len(self._fleet.names))

    def is_store_watcher(self) -> bool:
        return self.process in choose_store_watchers(self._fleet.names)

    def publish_update(self, update: StoreUpdate) -> None:
        found = decode_store_update(encode_store_update(update))
        for name, follower in self._fleet.followers.items():
            if name != self.process:
                follower.receive_update(found)


class OutageFleet:
    """Represent gateways that follow the registrations on a virtual clock."""

    def __init__(self, folder: Path, gateways: int) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.names = [ProcessId(f"g{number}") for number in range(gateways)]
        self.store = OutageStore()
        self.states: dict[str, GatewayState] = {}
        self.updaters: dict[str, RegistrationUpdater] = {}
        self.followers: dict[str, Follower] = {}
        # When each upstream left, or lapsed, and by when a lapsed one is back.
        self.left_s: dict[str, float] = {}
        self.lapsed: set[str] = set()
        # Until when a gateway, or the store for all of them, is not in touch.
        self.excused_s: dict[str, float] = {}
        path = folder / "settings.yaml"
        path.write_text(yaml.safe_dump(make_settings(1)))
        times = choose_watch_times(STABLE_S, DRAIN_S)
        for name in self.names:
            state = GatewayState(settings=load_node_settings(path))
            updater = RegistrationUpdater(state, lambda upstream: None)
            view: Any = StoreView(self.store, name)
            self.states[name], self.updaters[name] = state, updater
            self.followers[name] = Follower(
                view, KIND, updater, times, FleetLink(name, self)
            )
        for number in range(UPSTREAMS):
            self.store.put(f"u{number}")
        self.tasks = [
            self.loop.create_task(follower.run())
            for follower in self.followers.values()
        ]
        self.next_drop_s = 0.0
        self.pass_time(1.0)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()

    def pass_time(self, duration_s: float) -> None:
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s:
            self.loop.run_until_complete(asyncio.sleep(STEP_S))
            self.check()

    def check(self) -> None:
        now_s = self.loop.time()
        if now_s >= self.next_drop_s:
            self.next_drop_s = now_s + DROP_INTERVAL_S
            self.loop.run_until_complete(self._drop())
        for name, state in self.states.items():
            ready = {item.upstream for item in state.members.list_ready(PLAIN)}
            for upstream, left_s in self.left_s.items():
                if left_s < self.excused_s.get(name, -math.inf):
                    continue
                is_late = now_s > left_s + DRAIN_S
                assert not (is_late and upstream in ready), (name, upstream, now_s)
            assert self.lapsed <= ready, (name, self.lapsed - ready, now_s)

    async def _drop(self) -> None:
        for updater in self.updaters.values():
            updater.drop_lapsed()

    def leave(self, upstream: str) -> None:
        self.left_s[upstream] = self.loop.time()
        self.store.remove(upstream)

    def lose_path(self, gateway: str, duration_s: float) -> None:
        now_s = self.loop.time()
        self.store.cut_until_s[gateway] = now_s + duration_s
        self.store.cut_channels([gateway])
        self.excused_s[gateway] = now_s + duration_s + STABLE_S

    def lose_store(self, lapsed: list[str]) -> None:
        """Be away for some intervals; entries lapse, and are written again later."""
        # By then all gateways know all entries.
        self.pass_time(STABLE_S + 0.5)
        for name in self.names:
            self.lose_path(name, OUTAGE_S)
        self.lapsed = set(lapsed)
        self.pass_time(OUTAGE_S - 2 * STEP_S)
        for upstream in lapsed:
            self.store.remove(upstream)
        self.pass_time(BACK_S)
        for upstream in lapsed:
            self.store.put(upstream)
        self.pass_time(STABLE_S)
        self.lapsed = set()


def make_error(failure: StoreFailure) -> Any:
    return Err(StoreError(failure=failure, step="s", reason="cut"))


class OutageMachine(RuleBasedStateMachine):
    """Represent upstreams that leave while channels, paths and the store fail."""

    gateways = 1

    def __init__(self) -> None:
        super().__init__()
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = OutageFleet(Path(self._folder.name), self.gateways)
        self.count = UPSTREAMS

    def teardown(self) -> None:
        self.fleet.pass_time(DRAIN_S + STABLE_S)
        self.fleet.close()
        self._folder.cleanup()

    @rule(delay_s=st.floats(0.0, 0.8))
    def wait(self, delay_s: float) -> None:
        self.fleet.pass_time(delay_s)

    @rule(wait_s=st.floats(0.0, 0.4))
    def replace(self, wait_s: float) -> None:
        self.fleet.pass_time(wait_s)
        self.fleet.store.put(f"u{self.count}")
        self.count += 1
        self.fleet.leave(next(iter(self.fleet.store.entries)))

    @rule(chosen=st.sets(st.integers(0, 11), min_size=1))
    def cut_channels(self, chosen: set[int]) -> None:
        names = self.fleet.names
        self.fleet.store.cut_channels([names[item % len(names)] for item in chosen])

    @rule(chosen=st.integers(0, 11))
    def refuse_one_call(self, chosen: int) -> None:
        names = self.fleet.names
        self.fleet.store.refused = [names[chosen % len(names)]]
        self.fleet.pass_time(REFUSAL_INTERVAL_S)

    @rule(late_s=st.sampled_from((0.0, 0.1, 0.3)))
    def answer_late(self, late_s: float) -> None:
        self.fleet.store.late_s = late_s

    @rule(chosen=st.integers(0, 11), duration_s=st.floats(0.1, 2.5))
    def lose_path(self, chosen: int, duration_s: float) -> None:
        names = self.fleet.names
        self.fleet.lose_path(names[chosen % len(names)], duration_s)

    @rule(lapsed=st.sets(st.integers(0, UPSTREAMS - 1), min_size=1, max_size=4))
    def lose_store(self, lapsed: set[int]) -> None:
        entries = list(self.fleet.store.entries)
        self.fleet.lose_store([entries[number] for number in lapsed])


# Guards against calls to upstreams that left after a watch was cut off, and against
# upstreams that are dropped because the store was away.
@pytest.mark.parametrize("gateways", [1, 4, 8])
def test_only_an_outage_keeps_removed_upstreams_in_use(
    loop: asyncio.AbstractEventLoop, gateways: int
) -> None:
    class Machine(OutageMachine):
        pass

    Machine.gateways = gateways
    try:
        run_machine(Machine, examples=EXAMPLES, steps=STEPS)
    finally:
        asyncio.set_event_loop(loop)


# Guards against a state that is taken for current until a watch was cut off, while the
# answer with a removal was under way.
@pytest.mark.parametrize("offset_s", [0.0, 0.5, 1.0, 1.5, 2.0, 2.5])
def test_removal_in_an_answer_that_is_cut_off_is_not_late(
    loop: asyncio.AbstractEventLoop, tmp_path: Path, offset_s: float
) -> None:
    try:
        for tenths in range(1, 12):
            fleet = OutageFleet(tmp_path, 1)
            fleet.store.late_s = 0.4
            fleet.pass_time(offset_s)
            fleet.leave("u0")
            fleet.pass_time(0.1 * tenths)
            fleet.store.cut_channels(list(fleet.names))
            fleet.pass_time(DRAIN_S + 1.0)
            fleet.close()
    finally:
        asyncio.set_event_loop(loop)
