"""Guard calls that wait for upstreams which are away."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ServiceName
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._version_store import VersionStore
from tests.gateway_fleet import LANGUAGE
from tests.platform_standin import VersionedEngine
from tests.test_software_versions import PROMPT, VersionedGroup, run_versions

Run = Callable[[Coroutine[Any, Any, Any]], Any]

VERSIONS = ("v1", "v1", "v1", "v1", "v2", "v2")
STREAMS = 24
TIMEOUT_MS = 8000
AWAY_S = 0.5
# More than a call may fail to reach at a small service.
CRASHED = 8
# Between the registration of a process and the moment from which it listens.
LISTEN_DELAY_S = 0.1


def list_engines(versioned: VersionedGroup, version: str) -> list[VersionedEngine]:
    return [item for item in versioned.engines if item.version == version]


async def restart(versioned: VersionedGroup, engine: VersionedEngine) -> None:
    """Start the next process of an engine, which registers before it listens."""
    engine.born_ms += 1
    engine.register(versioned.group.store)
    await asyncio.sleep(LISTEN_DELAY_S)
    await engine.start(engine.port)


# Guards against a long wait for a process that registers just before it listens: calls
# are sent to it at once, and are refused.
def test_streams_wait_for_a_process_that_does_not_listen_yet(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            await versioned.begin(STREAMS)
            engines = list_engines(versioned, "v2")
            for engine in engines:
                await engine.stop()
            resumed = versioned.resume_together(versioned.choose_other)
            await asyncio.sleep(AWAY_S)
            await asyncio.gather(*(restart(versioned, item) for item in engines))
            await resumed
            versioned.check(complete=STREAMS)

    run(check())


# Guards against calls that wait for seconds, and are refused then, as a connection was
# refused to each upstream of their service, though all of them listen.
def test_calls_are_sent_to_upstreams_that_refused_only_one_connection(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, ("v1", "v1")) as versioned:
            for gateway in versioned.group.gateways.values():
                for engine in versioned.engines:
                    gateway._guard.record_refused(engine.name)
            for name in versioned.group.gateways:
                answer = await versioned.group.call_gateway(
                    name, "/once/x", Request_Id=f"once-{name}", **PROMPT
                )
                assert answer is not None
                assert answer.status == 200

    run(check())


# Guards against refusing new streams at once as the store takes no other shares, though
# the version that the shares give them is back soon.
def test_new_streams_wait_for_their_version_if_shares_cannot_change(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(VersionStore, "can_change", lambda *_: False)

    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            engines = list_engines(versioned, "v2")
            for engine in engines:
                await engine.stop()
                for gateway in versioned.group.gateways.values():
                    gateway._guard.record_refused(engine.name)
            calls = versioned.start_streams(STREAMS, "/stream/x")
            await asyncio.sleep(AWAY_S)
            await asyncio.gather(*(restart(versioned, item) for item in engines))
            await asyncio.gather(*calls)
            versioned.check(complete=STREAMS)

    run(check())


# Guards against streams that wait for their version although other shares have been
# written since, by which they can begin.
def test_new_streams_begin_by_other_shares_while_they_wait(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(VersionStore, "can_change", lambda *_: False)

    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            crashed = list_engines(versioned, "v2")
            for engine in crashed:
                await engine.stop()
                for gateway in versioned.group.gateways.values():
                    gateway._guard.record_refused(engine.name)
            calls = versioned.start_streams(STREAMS, "/stream/x")
            await asyncio.sleep(AWAY_S)
            gateway = versioned.group.gateways["g0"]
            gateway._versions.request_change(ServiceName(LANGUAGE))
            await asyncio.gather(*calls)
            versioned.check(complete=STREAMS)
            assert {item.versions[0] for item in versioned.streams} == {"v1"}

    run(check())


# Guards against more repeats in a window than the budget allows: those of calls that
# wait arrive together, later than they were taken.
def test_repeats_of_calls_that_wait_count_when_they_are_sent(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS, timeout_ms=TIMEOUT_MS) as versioned:
            for engine in versioned.engines:
                engine.pause_s = 0.1
            calls = versioned.start_streams(STREAMS, "/stream/x")
            await versioned.wait_for_first_events()
            engines = list_engines(versioned, "v2")
            for engine in engines:
                await engine.stop()
            await asyncio.sleep(AWAY_S)
            back_s = read_now()
            await asyncio.gather(*(restart(versioned, item) for item in engines))
            await asyncio.gather(*calls)
            versioned.check(complete=STREAMS)
            repeats_s = [
                taken_s
                for gateway in versioned.group.gateways.values()
                for taken_s in gateway.state.find_budget(ServiceName(LANGUAGE))._repeats
            ]
            assert repeats_s
            assert min(repeats_s) >= back_s

    run(check())


# Guards against refusing a stream as it has met as many upstreams that have crashed
# together as a call may fail to reach.
def test_stream_waits_after_many_upstreams_refused_it(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        versions = ("v1",) * CRASHED + ("v2",) * CRASHED
        async with run_versions(tmp_path, versions, timeout_ms=TIMEOUT_MS) as versioned:
            await versioned.begin(CRASHED)
            engines = list_engines(versioned, "v2")
            for engine in engines:
                await engine.stop()
            began = [item for item in versioned.streams if item.versions[0] == "v2"]
            versioned.streams = began[:1]
            resumed = versioned.resume_together(versioned.choose_other)
            await asyncio.sleep(AWAY_S)
            await asyncio.gather(*(restart(versioned, item) for item in engines))
            await resumed
            versioned.check(complete=1)

    run(check())
