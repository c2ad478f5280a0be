"""Test which upstreams take work and which routes match requests."""

import math
from random import Random

import pytest
from hypothesis import given, strategies as st

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet import Membership, RouteTable, ServiceShare, choose_service
from tests.fleet_builders import SERVICE, make_configuration, make_engine, make_route

NAME = UpstreamId("e")


def list_names(members: Membership) -> list[str]:
    return [item.upstream for item in members.list_ready(SERVICE)]


def test_draining_upstream_takes_no_new_work() -> None:
    members = Membership()
    members.put(make_engine("e"))
    members.put(make_engine("e", draining=True))
    assert list_names(members) == []
    assert members.find(NAME) is not None


def test_removed_upstream_is_dropped_at_once_if_the_store_is_reachable() -> None:
    members = Membership()
    members.put(make_engine("e"))
    members.remove(NAME, 100.0)
    assert list_names(members) == []


def test_expiry_during_an_outage_is_ignored_until_the_renewal_time() -> None:
    # Registrations expire during an outage of the store and are renewed within two
    # seconds of its end.
    members = Membership()
    members.put(make_engine("e"))
    members.record_store_failure(10.0)
    members.record_store_answer(20.0)
    members.replace_all([], 20.1)
    assert list_names(members) == ["e"]
    assert members.drop_missing(21.0) == []
    assert members.drop_missing(22.1) == ["e"]
    assert list_names(members) == []


# Guards against one failed call, or one channel that ends, that counts as an outage.
def test_failure_that_ends_soon_keeps_no_removed_upstream() -> None:
    members = Membership()
    members.put(make_engine("e"))
    members.record_store_failure(11.0)
    members.record_store_answer(11.3)
    members.remove(NAME, 11.4)
    assert list_names(members) == []


# Guards upstreams that lapse while the store is away for a moment.
def test_upstream_that_is_missing_after_missed_changes_is_kept_for_a_while() -> None:
    members = Membership()
    for name in ("e", "f"):
        members.put(make_engine(name))
    members.record_missed_changes(12.4)
    members.remove(NAME, 11.3)
    members.record_missed_changes(-math.inf)
    members.remove(UpstreamId("f"), 11.4)
    assert list_names(members) == ["e"]
    assert members.drop_missing(12.4) == ["e"]


# Guards against a silent channel that counts as an outage while others are answered.
def test_answers_to_other_calls_show_that_the_store_was_not_away() -> None:
    members = Membership()
    members.put(make_engine("e"))
    members.record_store_answer(12.9)
    members.record_store_failure(10.0)
    members.record_store_answer(13.0)
    members.remove(NAME, 13.1)
    assert list_names(members) == []


def test_renewed_registration_stays() -> None:
    members = Membership()
    members.put(make_engine("e"))
    members.record_store_failure(10.0)
    members.record_store_answer(20.0)
    members.remove(NAME, 20.1)
    members.put(make_engine("e"))
    assert members.drop_missing(30.0) == []
    assert list_names(members) == ["e"]


def test_removed_upstream_that_was_draining_is_dropped_at_once() -> None:
    members = Membership()
    members.put(make_engine("e", draining=True))
    members.record_store_failure(10.0)
    members.remove(NAME, 10.5)
    assert members.find(NAME) is None


def test_longest_prefix_wins() -> None:
    table = RouteTable(
        make_configuration(
            make_route(name="short", path_prefix="/a/"),
            make_route(name="long", path_prefix="/a/b/"),
        )
    )
    assert table.find("calls.example", "/a/b/c").name == "long"  # type: ignore[union-attr]
    assert table.find("calls.example", "/a/c").name == "short"  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("calls.example", "/a/", True),
        ("CALLS.example:8080", "/a/x", True),
        ("calls.example", "/a", False),
        ("other.example", "/a/", False),
        ("", "/a/", False),
    ],
)
def test_route_needs_host_and_whole_prefix(host: str, path: str, found: bool) -> None:
    table = RouteTable(make_configuration(make_route()))
    assert (table.find(host, path) is not None) is found


@given(st.lists(st.floats(0, 100), min_size=1, max_size=5), st.integers())
def test_split_route_chooses_only_its_services(weights: list[float], seed: int) -> None:
    from dataclasses import replace

    shares = tuple(
        ServiceShare(ServiceName(f"s{n}"), weight) for n, weight in enumerate(weights)
    )
    route = replace(make_route(), services=shares)
    chosen = choose_service(route, Random(seed))
    assert chosen in {share.service for share in shares}
    if any(weights):
        weight = next(s.weight for s in shares if s.service == chosen)
        assert weight > 0
