"""Guard calls that only upstreams which will be back can serve."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

from result import Ok

from bramleyport.core import (
    ProcessId,
    Revision,
    ServiceName,
    StoreEra,
    StoreRevision,
    UpstreamId,
)
from bramleyport.fleet import RateLimitNotice
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._follower import Follower, UnsharedLink, WatchTimes
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import Listing, ObjectKind
from bramleyport.platform._store_eras import StoreEras
from tests.gateway_fleet import LANGUAGE
from tests.gateway_group import GatewayGroup
from tests.platform_standin import (
    EVENT_COUNT,
    RawRequest,
    VersionedEngine,
    read_versions,
    stream_versions,
)
from tests.test_absent_versions import bring_back, crash_version
from tests.test_software_versions import PROMPT, VersionedGroup, run_versions

Run = Callable[[Coroutine[Any, Any, Any]], Any]

VERSIONS = ("v1", "v1", "v1", "v1", "v2", "v2")
STREAMS = 24
# Long enough for calls to wait until gateways have read that upstreams are back.
TIMEOUT_MS = 8000
AWAY_S = 0.5
# More than half of the three seconds that callers allow.
LONG_AWAY_S = 1.7
# So many that an upstream is ejected if all of its own are failures.
RESULTS = 20
LIMIT_PER_S = 50.0
# Longer than the test waits.
LONG_S = 40.0


async def begin_at_both_versions(versioned: VersionedGroup) -> None:
    await versioned.begin(STREAMS)
    assert {stream.versions[0] for stream in versioned.streams} == {"v1", "v2"}


# Guards against refusing streams that their callers take up while the last upstreams of
# their version are away for a moment.
def test_streams_of_a_version_that_is_back_soon_go_on(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            await begin_at_both_versions(versioned)
            crashed = await crash_version(versioned, "v2")
            resumed = versioned.resume_together(versioned.choose_other)
            await asyncio.sleep(AWAY_S)
            await bring_back(versioned, crashed, "v2")
            await resumed
            versioned.check(complete=STREAMS)

    run(check())


# Guards against refusing streams that nothing else can go on with, while most of their
# time is left for an upstream that is back.
def test_begun_streams_wait_for_most_of_their_time(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            await begin_at_both_versions(versioned)
            crashed = await crash_version(versioned, "v2")
            resumed = versioned.resume_together(versioned.choose_other)
            await asyncio.sleep(LONG_AWAY_S)
            await bring_back(versioned, crashed, "v2")
            await resumed
            versioned.check(complete=STREAMS)

    run(check())


# Guards against streams that a gateway breaks off while their version is away for a
# moment, though it could go on with them.
def test_running_streams_wait_for_their_version(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            for engine in versioned.engines:
                engine.pause_s = 0.1
            calls = versioned.start_streams(STREAMS, "/stream/x")
            await versioned.wait_for_first_events()
            crashed = await crash_version(versioned, "v2")
            await asyncio.sleep(AWAY_S)
            await bring_back(versioned, crashed, "v2")
            await asyncio.gather(*calls)
            versioned.check(complete=STREAMS)

    run(check())


# Guards against holding calls for a version of which nothing is registered any more.
def test_streams_of_a_version_that_is_gone_are_refused_at_once(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            await begin_at_both_versions(versioned)
            crashed = await crash_version(versioned, "v2")
            resumed = versioned.resume_together(versioned.choose_other)
            for name in crashed:
                versioned.group.store.delete("servers", name)
            await resumed
            ends = {s.last.status for s in versioned.streams if s.last is not None}
            assert ends == {200, 503}
            versioned.check(complete=STREAMS // 4)

    run(check())


# Guards against a limit on ejected upstreams that counts those of other versions: all
# that could go on with a stream would be left out.
def test_ejected_upstreams_of_a_version_take_its_streams(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS) as versioned:
            await begin_at_both_versions(versioned)
            for gateway in versioned.group.gateways.values():
                eject(gateway.state, ("d4", "d5"))
            await versioned.resume(versioned.choose_other)
            versioned.check(complete=STREAMS)

    run(check())


# Guards against refusing a call at once for the rate limit of another version, though
# the upstreams of its own only want no requests for a moment.
def test_streams_wait_for_paused_upstreams_of_their_version(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            await begin_at_both_versions(versioned)
            for gateway in versioned.group.gateways.values():
                limit(gateway.state, "d0")
                for name in ("d4", "d5"):
                    gateway.state.record_pause(UpstreamId(name), AWAY_S, read_now())
            await versioned.resume_together(versioned.choose_other)
            versioned.check(complete=STREAMS)

    run(check())


# Guards against calls that wait for upstreams which are back, while changes of
# registrations are collected.
def test_registrations_are_read_at_once_while_calls_wait(run: Run) -> None:
    class Store:
        eras = StoreEras()

        def __init__(self) -> None:
            self.watched = asyncio.Event()

        async def list_objects(self, kind: ObjectKind, **_: Any) -> Any:
            return Ok(Listing(StoreRevision(StoreEra(0), Revision(5)), ()))

        async def watch(self, *arguments: Any) -> Any:
            self.watched.set()
            await asyncio.Event().wait()

    class Updater:
        def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
            pass

        def record_store_answer(self, *_: float) -> None:
            pass

        def record_store_failure(self, silent_s: float = 0.0) -> None:
            pass

    async def check() -> None:
        store: Any = Store()
        updater: Any = Updater()
        link = UnsharedLink(ProcessId("g"))
        times = WatchTimes(wait_s=1, shared_wait_s=1, pause_s=LONG_S, fresh_s=1)
        follower = Follower(store, ObjectKind.REGISTRATIONS, updater, times, link)
        follower.is_urgent = lambda: True
        task = asyncio.ensure_future(follower.run())
        await asyncio.wait_for(store.watched.wait(), LONG_S / 2)
        task.cancel()

    run(check())


def limit(state: GatewayState, name: str) -> None:
    registration = state.members.find(UpstreamId(name))
    assert registration is not None
    notice = RateLimitNotice(
        upstream=registration.upstream,
        started_ms=registration.started_ms,
        rate=LIMIT_PER_S,
        sent_s=read_now(),
        received_s=read_now(),
    )
    state.rate_limiter.apply_notice(notice, read_now())
    assert state.list_limited(ServiceName(LANGUAGE)) == {name}


def eject(state: GatewayState, names: Sequence[str]) -> None:
    """Record that some upstreams failed and all others did not."""
    for _ in range(RESULTS):
        for item in state.members.list_all():
            failed = item.upstream in names
            state.record_result(item.upstream, failed=failed, now_s=read_now())
    assert state.list_ejected(ServiceName(LANGUAGE), read_now()) >= set(names)


class _ReplacedEngine(VersionedEngine):
    """Represent an engine whose earlier connections end with their next request."""

    def __init__(self, name: str, *, service: str, stage: str = "") -> None:
        super().__init__(name, service=service, stage=stage)
        self.script = self._stream
        self.is_replaced = False
        self._known: set[asyncio.StreamWriter] = set()

    async def _stream(
        self, upstream: Any, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_replaced and writer in self._known:
            writer.transport.abort()
            return
        self._known.add(writer)
        await stream_versions(upstream, request, writer)


# Guards against a last attempt on a connection whose peer ended with that of the first,
# which the gateway has not been told yet.
def test_retry_uses_no_connection_that_was_idle_before(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        group = GatewayGroup(tmp_path, 1, ("d0", "d1"), upstream_type=_ReplacedEngine)
        await group.start()
        try:
            engines = [e for e in group.upstreams if isinstance(e, _ReplacedEngine)]
            # Streams at both engines leave idle connections behind.
            while not all(engine.runs for engine in engines):
                await asyncio.gather(
                    *(group.call_gateway("g0", "/stream/x", **PROMPT) for _ in range(6))
                )
            for engine in engines:
                engine.is_replaced = True
            for number in range(6):
                answer = await group.call_gateway(
                    "g0", "/stream/x", Request_Id=f"last{number}", **PROMPT
                )
                assert answer is not None
                assert len(read_versions(answer.body)) == EVENT_COUNT
        finally:
            await group.stop()

    run(check())
