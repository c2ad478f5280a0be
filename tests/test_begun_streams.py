"""Guard versions of streams that gateways tell each other through the store."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bramleyport.core import ProcessId, RequestId, ServiceName, StoreEra
from bramleyport.fleet import BegunStream, GatewayRoster, SoftwareVersion
from bramleyport.platform import (
    MalformedDocumentError,
    ObjectKind,
    decode_begun_streams,
    encode_begun_streams,
)
from tests.version_simulation import ERA, GATEWAYS, SERVICE, V1, V2, VersionWorld

KIND = ObjectKind.BEGUN_STREAMS
# So many streams begin at each gateway that shares give each version some of them.
STREAMS = 8
# Time within which a silent gateway is noticed, and after which streams end.
NOTICED_S = 4.0
ENDED_S = 14.0


@pytest.fixture
def world(tmp_path: Path) -> Iterator[VersionWorld]:
    world = VersionWorld(tmp_path, seed=1)
    yield world
    world.close()


def begin_around_a_change(world: VersionWorld) -> None:
    """Begin streams before and after a version is lost."""
    begin(world)
    world.crash(V2)
    begin(world)


def begin(world: VersionWorld) -> None:
    for name in GATEWAYS * STREAMS:
        world.run(world.begin(name))


def silence(world: VersionWorld) -> None:
    for gateway in world.gateways.values():
        gateway.deaf = True


def list_stored(world: VersionWorld, name: str) -> list[BegunStream]:
    found = world.store.objects.get((KIND, name))
    return decode_begun_streams(found[1]) if found else []


def list_ambiguous(world: VersionWorld, name: str) -> list[BegunStream]:
    versions = world.gateways[name].state.stream_versions
    return versions.list_ambiguous(world.loop.time())


def resume_elsewhere(world: VersionWorld, origins: list[str], name: str) -> None:
    for origin in origins:
        world.run(world.resume(name, origin))
    assert not world.mixed


# Guards against calls to the store for streams whose versions can be deduced.
def test_fleet_whose_shares_do_not_change_writes_no_streams(
    world: VersionWorld,
) -> None:
    # The first shares of a fleet that starts make no stream ambiguous, either.
    for _ in range(STREAMS):
        begin(world)
        world.run(world.pass_time(1.0))
    assert world.begun == STREAMS * STREAMS * len(GATEWAYS)
    assert not any(list_ambiguous(world, name) for name in GATEWAYS)
    assert world.store.writes_by_kind[KIND] == 0


# Guards against streams that are refused after all gateways were killed at once, as
# none that was told of them is left.
def test_streams_outlast_a_kill_of_all_gateways_around_a_change(
    world: VersionWorld,
) -> None:
    begin_around_a_change(world)
    world.add_engine(V2)
    world.run(world.pass_time(1.0))
    for name in GATEWAYS:
        world.run(world.replace_gateway(name))
    world.run(world.pass_time(1.0))
    running = world.list_running()
    assert len(running) == 2 * STREAMS * len(GATEWAYS)
    resume_elsewhere(world, running, "g1")
    assert world.unknown == 0


# Guards against streams that are refused because no datagram told their versions.
def test_streams_of_silent_gateways_are_read_from_the_store(
    world: VersionWorld,
) -> None:
    silence(world)
    begin_around_a_change(world)
    world.add_engine(V2)
    world.run(world.pass_time(NOTICED_S))
    running = world.list_running()
    assert len(running) == 2 * STREAMS * len(GATEWAYS)
    for name in GATEWAYS:
        assert list_stored(world, name)
        resume_elsewhere(world, running[:STREAMS], name)
    assert world.unknown == 0


# Guards against a store that is overloaded with a write for each stream, and against
# objects that stay.
@pytest.mark.parametrize(("is_silent", "writes_per_s"), [(True, 4), (False, 2)])
def test_writes_are_few_and_objects_are_removed(
    world: VersionWorld, is_silent: bool, writes_per_s: int
) -> None:
    if is_silent:
        silence(world)
        world.run(world.pass_time(NOTICED_S))
    begin_around_a_change(world)
    began_s = world.loop.time()
    for _ in range(STREAMS):
        begin(world)
        world.run(world.pass_time(0.5))
    writes = world.store.writes_by_kind[KIND]
    seconds = world.loop.time() - began_s
    assert 0 < writes <= len(GATEWAYS) * (writes_per_s * seconds + 1)
    world.run(world.pass_time(2 * ENDED_S))
    assert not any(list_stored(world, name) for name in GATEWAYS)
    assert not [key for key in world.store.objects if key[0] is KIND]


# Guards against a gateway that starts again and replaces what it wrote before.
def test_streams_of_an_earlier_process_are_kept(world: VersionWorld) -> None:
    silence(world)
    begin_around_a_change(world)
    world.run(world.pass_time(NOTICED_S))
    before = {stream.origin for stream in list_stored(world, "g0")}
    assert before
    world.run(world.replace_gateway("g0"))
    world.gateways["g0"].deaf = True
    world.run(world.pass_time(NOTICED_S))
    world.add_engine(V2)
    world.run(world.pass_time(0.5))
    begin(world)
    world.crash(V1)
    begin(world)
    world.run(world.pass_time(NOTICED_S))
    after = {stream.origin for stream in list_stored(world, "g0")}
    assert after > before
    world.run(world.pass_time(2 * ENDED_S))
    assert (KIND, "g0") not in world.store.objects


# Guards against a version in the store that was found to be wrong.
def test_corrected_versions_are_written_again(world: VersionWorld) -> None:
    silence(world)
    begin_around_a_change(world)
    world.run(world.pass_time(NOTICED_S))
    wrong = next(item for item in list_stored(world, "g0") if item.version == V1)
    corrected = BegunStream(origin=wrong.origin, service=wrong.service, version=V2)
    for gateway in world.gateways.values():
        gateway.deaf = False
    world.run(world.pass_time(NOTICED_S))
    versions = world.gateways["g0"].state.stream_versions
    versions.record_begun(corrected, world.loop.time())
    world.run(world.pass_time(1.0))
    assert corrected in list_stored(world, "g0")
    assert wrong not in list_stored(world, "g0")


# Guards against streams that a restored store has lost and no datagram has told.
def test_streams_are_written_again_to_a_restored_store(world: VersionWorld) -> None:
    silence(world)
    begin_around_a_change(world)
    world.run(world.pass_time(NOTICED_S))
    before = list_stored(world, "g0")
    for gateway in world.gateways.values():
        gateway.deaf = False
    world.run(world.pass_time(0.5))
    for name in GATEWAYS:
        del world.store.objects[KIND, name]
        for notify in world.gateways[name].link.eras.on_restored:
            notify(StoreEra(ERA + 1))
    world.run(world.pass_time(1.0))
    assert {item.origin for item in list_stored(world, "g0")} >= {
        item.origin for item in before
    }


# Guards against peers that count as told though datagrams can't be sent to them.
def test_messages_that_were_not_sent_show_that_peers_may_miss_some() -> None:
    roster = GatewayRoster(ProcessId("g0"))
    roster.record_heard(ProcessId("g1"), 10.0)
    assert not roster.may_miss_messages(8.0)
    assert roster.may_miss_messages(10.5)
    roster.record_unsent(9.0)
    assert roster.may_miss_messages(8.0)
    assert not roster.may_miss_messages(9.5)


def make_stream(origin: str, service: str, version: str) -> BegunStream:
    return BegunStream(
        origin=RequestId(origin),
        service=ServiceName(service),
        version=SoftwareVersion(version),
    )


# Guards against streams that change on their way through the store.
def test_streams_survive_encoding_and_decoding() -> None:
    streams = [
        make_stream("r1", SERVICE, V1),
        make_stream("r2", SERVICE, V2),
        make_stream("r3", "other", V1),
        make_stream("r4", SERVICE, V1),
    ]
    found = decode_begun_streams(encode_begun_streams(streams))
    assert sorted(found, key=lambda item: item.origin) == streams


# Guards against entries of another writer that end a read or name a wrong version.
@pytest.mark.parametrize(
    "group",
    [
        7,
        {},
        {"service": "language", "version": "v1"},
        {"service": "language", "version": "v1", "requests": "r1"},
        {"service": "language", "version": "v1", "requests": ["r1", 7]},
        {"service": "language", "version": 1, "requests": ["r1"]},
        {"version": "v1", "requests": ["r1"]},
    ],
)
def test_odd_streams_are_refused(group: Any) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_begun_streams({"groups": [group]})
