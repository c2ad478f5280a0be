"""Guard how streams are divided among software versions, and what gateways deduce."""

import pytest

from bramleyport.core import RequestId, ServiceName, UpstreamId, ZoneName
from bramleyport.fleet import (
    Address,
    BegunStream,
    Registration,
    SoftwareVersion,
    Stage,
    StreamVersions,
    VersionShares,
    compute_shares,
)
from bramleyport.fleet._stream_versions import MAX_STREAMS
from bramleyport.platform import (
    MalformedDocumentError,
    SharesDocument,
    decode_shares,
    encode_shares,
)

SERVICE = ServiceName("language")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
ONE = VersionShares(((V1, 1.0),))
QUARTER = VersionShares(((V1, 0.75), (V2, 0.25)))
HALF = VersionShares(((V1, 0.5), (V2, 0.5)))
LAST = VersionShares(((V2, 1.0),))
ORIGINS = [RequestId(f"r{number}") for number in range(2000)]
ACTIVATION_S = 2.0
KEEP_S = 10.0


def make_versions(*stored: VersionShares, now_s: float = 0.0) -> StreamVersions:
    versions = StreamVersions()
    versions.activation_s, versions.keep_s = ACTIVATION_S, KEEP_S
    for count in range(1, len(stored) + 1):
        versions.set_shares(SERVICE, stored[:count], now_s)
    return versions


def make_engine(
    name: str, version: SoftwareVersion, *, slots: int = 64, stage: Stage | None = None
) -> Registration:
    return Registration(
        upstream=UpstreamId(name),
        service=SERVICE,
        address=Address("127.0.0.1", 1),
        zone=ZoneName("a"),
        slots=slots,
        draining=False,
        started_ms=1,
        stage=stage,
        version=version,
    )


def make_stream(origin: RequestId, version: SoftwareVersion) -> BegunStream:
    return BegunStream(origin=origin, service=SERVICE, version=version)


def test_streams_are_divided_by_the_slots_that_decode() -> None:
    """Guards against a version that gets more streams than its engines can take."""
    shares = compute_shares(
        [
            make_engine("a", V1, slots=30),
            make_engine("b", V2, slots=10),
            make_engine("c", V2, slots=90, stage=Stage.PREFILL),
        ]
    )
    assert shares == QUARTER
    count = sum(QUARTER.choose(origin) == V2 for origin in ORIGINS)
    assert 0.2 < count / len(ORIGINS) < 0.3


def test_change_of_shares_moves_no_more_streams_than_it_has_to() -> None:
    """Guards against streams that become ambiguous for no reason."""
    moved = sum(QUARTER.choose(item) != HALF.choose(item) for item in ORIGINS)
    assert 0.2 < moved / len(ORIGINS) < 0.3
    assert not any(
        QUARTER.choose(item) == V2 and HALF.choose(item) == V1 for item in ORIGINS
    )


def test_shares_follow_large_changes_only() -> None:
    """Guards against shares that change with each engine of a large service."""
    near = VersionShares(((V1, 0.7), (V2, 0.3)))
    assert not QUARTER.differs_from(near)
    assert QUARTER.differs_from(HALF)
    assert QUARTER.differs_from(ONE)


def test_new_shares_are_known_before_streams_follow_them() -> None:
    """Guards against a stream of a version that another gateway does not know yet."""
    versions = make_versions(ONE)
    versions.set_shares(SERVICE, [ONE, LAST], 100.0)
    assert versions.choose(SERVICE, ORIGINS[0], 100.0 + ACTIVATION_S / 2) == V1
    assert versions.choose(SERVICE, ORIGINS[0], 100.0 + ACTIVATION_S) == V2


def test_only_what_all_shares_agree_on_is_deduced() -> None:
    """Guards against going on at a version that began other streams only."""
    versions = make_versions(ONE, QUARTER)
    for origin in ORIGINS[:200]:
        found = versions.deduce(SERVICE, origin, {V1, V2})
        assert found == (V1 if QUARTER.choose(origin) == V1 else None)


def test_registered_version_without_a_share_makes_streams_ambiguous() -> None:
    """Guards against shares that a restored store has lost."""
    versions = make_versions(ONE)
    assert versions.deduce(SERVICE, ORIGINS[0], {V1}) == V1
    assert versions.deduce(SERVICE, ORIGINS[0], {V1, V2}) is None
    assert StreamVersions().deduce(SERVICE, ORIGINS[0], {V1}) is None


def test_others_are_told_only_of_streams_that_they_cannot_deduce() -> None:
    """Guards against an update for each stream, and against none for an exception."""
    versions = make_versions(QUARTER)
    first = next(item for item in ORIGINS if QUARTER.choose(item) == V1)
    assert not versions.record_begun(make_stream(first, V1), 0.0)
    assert versions.record_begun(make_stream(first, V2), 0.0)


def test_streams_that_a_change_makes_ambiguous_are_told() -> None:
    """Guards against streams that are refused after the shares have changed."""
    versions = make_versions(ONE)
    for origin in ORIGINS[:100]:
        versions.record_begun(make_stream(origin, V1), 0.0)
    told = versions.set_shares(SERVICE, [ONE, QUARTER], 1.0)
    moved = [item for item in ORIGINS[:100] if QUARTER.choose(item) == V2]
    assert [item.origin for item in told] == moved


def test_stream_that_began_here_is_known_until_it_may_not_go_on() -> None:
    """Guards against versions that are remembered beyond the life of a stream."""
    versions = make_versions(QUARTER)
    versions.record_begun(make_stream(ORIGINS[0], V2), 0.0)
    known = versions.find_stream(ORIGINS[0], KEEP_S)
    assert known is not None
    assert known.version == V2
    assert versions.find_stream(ORIGINS[0], KEEP_S + 1) is None


def test_shares_that_return_are_new() -> None:
    """Guards against shares that are removed too early."""
    versions = make_versions(ONE)
    versions.set_shares(SERVICE, [ONE, QUARTER], 50.0)
    versions.set_shares(SERVICE, [QUARTER, ONE], 60.0)
    assert versions.find_superseded_s(SERVICE) == 60.0


def test_memory_of_streams_is_bounded() -> None:
    """Guards against memory that grows with the streams of a busy service."""
    versions = make_versions(ONE)
    for number in range(MAX_STREAMS + 10):
        versions.record_begun(make_stream(RequestId(f"s{number}"), V1), 0.0)
    assert len(versions._streams) == MAX_STREAMS


def test_shares_survive_encoding_and_decoding() -> None:
    """Guards against gateways that can't read each other's shares."""
    document = SharesDocument(SERVICE, (ONE, QUARTER))
    assert decode_shares(encode_shares(document)) == document


@pytest.mark.parametrize(
    "epochs",
    [
        None,
        [],
        [{"shares": []}],
        [{"shares": [{"version": 1, "share": 1.0}]}],
        [{"shares": [{"version": "v1", "share": 0}]}],
        [{"shares": [{"version": "v1", "share": float("nan")}]}],
    ],
)
def test_odd_shares_are_refused(epochs: object) -> None:
    """Guards against an object of another writer that decides where streams begin."""
    with pytest.raises(MalformedDocumentError):
        decode_shares({"service": "language", "epochs": epochs})


# Guards against a gateway that has the share of a version taken back, because it does
# not know its upstreams yet, instead of following the shares before.
def test_streams_of_a_lost_version_follow_shares_that_were_the_newest_lately() -> None:
    versions = make_versions(HALF)
    versions.set_shares(SERVICE, [HALF, ONE], now_s=10.0)
    versions.set_shares(SERVICE, [HALF, ONE, QUARTER], now_s=10.5)
    found = {versions.choose(SERVICE, item, 11.0, {V2}) for item in ORIGINS}
    assert found == {V1}
    # From then on the newest ones count, which give V2 some of the streams.
    found = {versions.choose(SERVICE, item, 13.0, {V2}) for item in ORIGINS}
    assert found == {V1, None}


# Guards against streams that follow shares which others drop before the streams end.
def test_streams_follow_no_older_shares_that_were_read_with_newer_ones() -> None:
    versions = StreamVersions()
    versions.activation_s, versions.keep_s = ACTIVATION_S, KEEP_S
    versions.set_shares(SERVICE, [ONE, QUARTER, LAST], now_s=10.0)
    found = {versions.choose(SERVICE, item, 10.5, {V2}) for item in ORIGINS}
    assert found == {None}


def test_service_without_shares_has_no_recent_versions() -> None:
    """Guards against an error that ended each round of planning until shares came."""
    versions = StreamVersions()
    assert versions.list_recent_versions(ServiceName("new"), 0.0, 1.0) == frozenset()
