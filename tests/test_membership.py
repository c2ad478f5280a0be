"""Test which hosts are considered live, leaving or gone."""

from dataclasses import replace

import pytest

from bramleyport.core import ProcessId, RegionName, Revision, ZoneName
from bramleyport.membership import (
    Added,
    AvailabilityReported,
    Connected,
    Disconnected,
    Host,
    HostList,
    HostState,
    LeavingReported,
    LeavingSource,
    Membership,
    ProcessRole,
    Removed,
    Replaced,
    StateChanged,
    Tick,
)

A = ProcessId("agent-0")


def make_host(index: int, state: HostState = HostState.LIVE) -> Host:
    return Host(
        process=ProcessId(f"agent-{index}"),
        role=ProcessRole.AGENT,
        address="127.0.0.1",
        port=9000 + index,
        zone=ZoneName("okara"),
        region=RegionName("punjab"),
        state=state,
    )


def make_membership(count: int = 10) -> Membership:
    """Return a membership with hosts that are listed and connected at time 0."""
    membership = Membership()
    hosts = tuple(make_host(index) for index in range(count))
    membership.step(HostList(revision=Revision(1), hosts=hosts), 0.0)
    for host in hosts:
        membership.step(Connected(process=host.process, incarnation=5), 0.0)
    return membership


def list_names(membership: Membership) -> set[str]:
    return {host.process for host in membership.hosts}


@pytest.mark.parametrize("kept", [0, 1, 4, 9], ids=["empty", "one", "few", "one lost"])
def test_list_does_not_remove_connected_hosts(kept: int) -> None:
    membership = make_membership()
    hosts = tuple(make_host(index) for index in range(kept))
    changes = membership.step(HostList(revision=Revision(2), hosts=hosts), 1.0)
    changes += membership.step(Tick(), 3600.0)
    assert changes == []
    assert len(membership.hosts) == 10


def test_missing_host_is_removed_once_silent() -> None:
    membership = make_membership()
    hosts = tuple(make_host(index) for index in range(1, 10))
    membership.step(HostList(revision=Revision(2), hosts=hosts), 1.0)
    membership.step(Disconnected(A), 10.0)
    assert membership.step(Tick(), 15.9) == []
    assert membership.step(Tick(), 16.0) == [Removed(A)]


def test_silent_host_stays_while_listed() -> None:
    membership = make_membership()
    membership.step(Disconnected(A), 1.0)
    assert membership.step(Tick(), 3600.0) == []


@pytest.mark.parametrize("kept", [0, 3], ids=["empty", "shrunk"])
def test_hosts_missing_from_a_much_shorter_list_are_removed_after_a_longer_silence(
    kept: int,
) -> None:
    membership = make_membership()
    hosts = tuple(make_host(index) for index in range(9, 9 - kept, -1))
    membership.step(HostList(revision=Revision(2), hosts=hosts), 1.0)
    membership.step(Disconnected(A), 1.0)
    assert membership.step(Tick(), 60.0) == []
    assert membership.step(Tick(), 61.0) == [Removed(A)]


def test_host_connected_before_it_was_listed_stays() -> None:
    membership = Membership()
    membership.step(Connected(process=A, incarnation=5), 0.0)
    hosts = (make_host(0), make_host(1))
    membership.step(HostList(revision=Revision(1), hosts=hosts), 1.0)
    membership.step(HostList(revision=Revision(2), hosts=hosts[1:]), 2.0)
    membership.step(Tick(), 3600.0)
    assert A in list_names(membership)


def test_older_list_is_ignored() -> None:
    membership = make_membership()
    host = make_host(10)
    assert membership.step(HostList(revision=Revision(1), hosts=(host,)), 1.0) == []


LEAVING_REPORTS = {
    "itself": LeavingReported(process=A, source=LeavingSource.ITSELF, incarnation=5),
    "peer": LeavingReported(process=A, source=LeavingSource.PEER, incarnation=5),
    "list": HostList(
        revision=Revision(2),
        hosts=(
            make_host(0, HostState.LEAVING),
            *(make_host(index) for index in range(1, 10)),
        ),
    ),
}


@pytest.mark.parametrize("first", LEAVING_REPORTS)
def test_i7_first_report_of_leaving_takes_effect_at_once(first: str) -> None:
    membership = make_membership()
    changes = membership.step(LEAVING_REPORTS[first], 1.0)
    assert changes == [StateChanged(A, HostState.LEAVING)]
    for report in LEAVING_REPORTS.values():
        assert membership.step(report, 2.0) == []


def test_lagging_list_does_not_undo_leaving() -> None:
    membership = make_membership()
    membership.step(LEAVING_REPORTS["itself"], 1.0)
    hosts = tuple(make_host(index) for index in range(10))
    assert membership.step(HostList(revision=Revision(2), hosts=hosts), 2.0) == []
    assert membership.find(A) == replace(
        make_host(0), incarnation=5, state=HostState.LEAVING
    )


def test_own_report_overrides_only_the_report_of_a_peer() -> None:
    membership = make_membership()
    membership.step(LEAVING_REPORTS["peer"], 1.0)
    assert membership.step(AvailabilityReported(A), 2.0) == [
        StateChanged(A, HostState.LIVE)
    ]
    membership.step(LEAVING_REPORTS["list"], 3.0)
    assert membership.step(AvailabilityReported(A), 4.0) == []


def test_restarted_process_replaces_the_old_one() -> None:
    membership = make_membership()
    membership.step(LEAVING_REPORTS["itself"], 1.0)
    changes = membership.step(Connected(process=A, incarnation=6), 2.0)
    assert changes == [Replaced(replace(make_host(0), incarnation=6))]
    # A late report about the old process must not mark the new one as leaving.
    assert membership.step(LEAVING_REPORTS["peer"], 3.0) == []


def test_host_at_a_new_address_replaces_the_old_one() -> None:
    membership = make_membership()
    membership.step(LEAVING_REPORTS["itself"], 1.0)
    changed_host = replace(make_host(0), port=9999)
    hosts = (changed_host, *(make_host(index) for index in range(1, 10)))
    changes = membership.step(HostList(revision=Revision(2), hosts=hosts), 2.0)
    assert changes == [Replaced(changed_host)]
    assert len(membership.hosts) == 10


def test_process_that_connected_from_its_new_address_does_not_count_as_silent() -> None:
    """Guards against the removal of a connected host that moved, by a later list."""
    membership = make_membership()
    membership.step(Disconnected(A), 1.0)
    membership.step(Connected(process=A, incarnation=6), 2.0)
    others = tuple(make_host(index) for index in range(1, 10))
    moved = (replace(make_host(0), port=9999), *others)
    membership.step(HostList(revision=Revision(2), hosts=moved), 3.0)
    membership.step(HostList(revision=Revision(3), hosts=others), 4.0)
    assert membership.step(Tick(), 3600.0) == []
    membership.step(Disconnected(A), 3600.0)
    assert membership.step(Tick(), 3700.0) == [Removed(A)]


def test_new_host_is_added() -> None:
    host = make_host(3)
    changes = Membership().step(HostList(revision=Revision(1), hosts=(host,)), 0.0)
    assert changes == [Added(host)]
