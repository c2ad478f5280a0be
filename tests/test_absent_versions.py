"""Guard streams that begin while all engines of a software version are away."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import pytest

from bramleyport.gateway._clock import read_now
from bramleyport.membership import rank
from tests.gateway_fleet import LANGUAGE
from tests.test_software_versions import TWO_VERSIONS, VersionedGroup, run_versions

Run = Callable[[Coroutine[Any, Any, Any]], Any]

# So many streams begin while a version is away that some prefer it.
STREAMS = 24
# All engines of one version crash, the others are most of the fleet.
VERSIONS = ("v1", "v1", "v1", "v1", "v2", "v2")
ABSENCE_S = 3.0
# A gateway that has started has checked the shares within this time.
SETTLED_S = 1.0


async def crash_version(versioned: VersionedGroup, version: str) -> list[str]:
    """Stop all engines of a version at once; their registrations stay for now."""
    crashed = [item for item in versioned.engines if item.version == version]
    for engine in crashed:
        versioned.group.upstreams.remove(engine)
        await engine.stop()
    return [engine.name for engine in crashed]


async def bring_back(versioned: VersionedGroup, names: list[str], version: str) -> None:
    """Start engines of a version under new identifiers."""
    for name in names:
        versioned.group.store.delete("servers", name)
        await versioned.start_engine(f"{name}-back", version)


async def wait_for_engines(versioned: VersionedGroup) -> None:
    """Wait until all gateways know exactly the engines that run."""
    group = versioned.group
    names = {engine.name for engine in group.upstreams}
    await group.wait_for(
        lambda: all(
            {item.upstream for item in gateway.state.members.list_all()} == names
            for gateway in group.gateways.values()
        )
    )


# Guards against streams that go on at a version which was away when they began.
@pytest.mark.parametrize("killed", ["all", "none"])
def test_streams_that_began_while_a_version_was_away_are_not_joined(
    run: Run, tmp_path: Path, killed: str
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS) as versioned:
            crashed = await crash_version(versioned, "v2")
            await versioned.begin(STREAMS, "away")
            begun = {stream.versions[0] for stream in versioned.streams}
            assert begun == {"v1"}
            await bring_back(versioned, crashed, "v2")
            if killed == "all":
                await versioned.replace_gateways()
                await versioned.resume(lambda _: "n1")
            else:
                await versioned.resume(versioned.choose_other)
            # Without their gateways, those that the shares tell can go on.
            versioned.check(complete=STREAMS // 2 if killed == "all" else STREAMS)

    run(check())


# Guards against a gateway that trusts its peers right after it was cut off from them.
@pytest.mark.parametrize("loses_store", [False, True])
def test_gateway_that_was_cut_off_joins_no_streams(
    run: Run, tmp_path: Path, loses_store: bool
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, VERSIONS) as versioned:
            group = versioned.group
            apart = sorted(group.gateways)[0]
            group.cut_off(apart, store=loses_store)
            crashed = await crash_version(versioned, "v2")
            others = [name for name in sorted(group.gateways) if name != apart]
            await versioned.begin(STREAMS, "away", names=others)
            await bring_back(versioned, crashed, "v2")
            await asyncio.sleep(3.0)
            group.reconnect(apart)
            await asyncio.sleep(0.1)
            await versioned.resume(lambda _: apart)
            versioned.check(complete=STREAMS // 2)

    run(check())


# Guards against refusing streams that began around a change of shares because a
# datagram was the only way to tell other gateways their versions.
@pytest.mark.parametrize("gateways_killed", [False, True])
def test_streams_go_on_while_gateways_hear_no_other(
    run: Run, tmp_path: Path, gateways_killed: bool
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, TWO_VERSIONS) as versioned:
            group = versioned.group
            for name in sorted(group.gateways):
                group.cut_off(name, store=False)
            await versioned.begin(STREAMS, "before")
            crashed = await crash_version(versioned, "v2")
            await versioned.begin(STREAMS, "away")
            await asyncio.sleep(ABSENCE_S)
            await bring_back(versioned, crashed, "v2")
            await wait_for_engines(versioned)
            if gateways_killed:
                await versioned.replace_gateways()
                await versioned.resume(lambda _: "n1")
            else:
                await versioned.resume(versioned.choose_other)
            versioned.check(complete=2 * STREAMS)

    run(check())


# Guards against refusing streams around a change of shares after all gateways that
# were told of them are gone.
def test_streams_around_a_change_of_shares_outlast_a_kill_of_all_gateways(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, TWO_VERSIONS) as versioned:
            await versioned.begin(STREAMS, "before")
            crashed = await crash_version(versioned, "v2")
            await versioned.begin(STREAMS, "away")
            await bring_back(versioned, crashed, "v2")
            await wait_for_engines(versioned)
            await versioned.group.wait_for(lambda: are_streams_stored(versioned))
            await versioned.replace_gateways()
            await versioned.resume(lambda _: "n1")
            versioned.check(complete=2 * STREAMS)

    run(check())


def are_streams_stored(versioned: VersionedGroup) -> bool:
    """Return whether the store has all streams whose versions can't be deduced."""
    group = versioned.group
    stored = {
        request
        for (kind, _), item in group.store.objects.items()
        if kind == "begun-streams"
        for streams in item["spec"]["groups"]
        for request in streams["requests"]
    }
    now_s = read_now()
    return stored >= {
        stream.origin
        for gateway in group.gateways.values()
        for stream in gateway.state.stream_versions.list_ambiguous(now_s)
    }


# Guards against a gateway that starts while a version is away, counts its crashed
# engines as live by their registrations, and writes shares that change back and forth.
def test_gateway_that_starts_gives_no_share_to_a_version_that_is_away(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_versions(tmp_path, TWO_VERSIONS) as versioned:
            group = versioned.group
            await crash_version(versioned, "v2")
            await versioned.begin(STREAMS, "away")
            shares = group.store.objects["stream-versions", LANGUAGE]
            assert list_versions(shares) == {"v1"}
            name = choose_first_writer(LANGUAGE, sorted(group.gateways))
            # The crashed engines are still registered.
            await group.start_gateway(name, registered=len(TWO_VERSIONS))
            await asyncio.sleep(SETTLED_S)
            assert group.store.objects["stream-versions", LANGUAGE] == shares

    run(check())


def list_versions(shares: Any) -> set[str]:
    """Return the versions to which stored shares give new streams."""
    newest = shares["spec"]["epochs"][-1]["shares"]
    return {item["version"] for item in newest}


def choose_first_writer(key: str, others: Sequence[str]) -> str:
    """Return a name for a gateway that writes an object before the others."""
    names = (f"late{number}" for number in itertools.count())
    return next(name for name in names if rank(key, [*others, name])[0] == name)
