"""Guard gateways that start while a restored store has an older configuration."""

from bramleyport.fleet import ConfigVersion, VersionGap

OLD, NEW, NEWEST = ConfigVersion(3), ConfigVersion(5), ConfigVersion(6)


def make_gap() -> VersionGap:
    gap = VersionGap(1.0)
    gap.record_applied(OLD, 10.0)
    return gap


def test_version_that_only_peers_have_is_waited_for_until_it_is_read() -> None:
    """Guards against routing by the old configuration of a copy."""
    gap = make_gap()
    gap.record_heard(NEW, OLD, 10.1)
    assert not gap.is_open(11.0) and gap.is_open(11.2)
    gap.record_applied(NEW, 11.3)
    assert not gap.is_open(11.4)


def test_configurations_in_quick_succession_keep_no_gateway_waiting() -> None:
    """Guards against refusing calls because some peer is always a version ahead."""
    gap = make_gap()
    gap.record_heard(NEW, OLD, 10.2)
    gap.record_heard(NEWEST, OLD, 11.0)
    gap.record_applied(NEW, 11.1)
    assert not gap.is_open(11.9)


def test_version_that_the_store_never_has_is_not_waited_for_long() -> None:
    """Guards against a gateway that refuses calls for ever."""
    gap = make_gap()
    gap.record_heard(NEW, OLD, 10.1)
    assert gap.is_open(14.9) and not gap.is_open(15.1)


def test_gateway_that_has_served_for_long_waits_for_no_peer() -> None:
    """Guards against refusing calls when only this gateway has lost the store."""
    gap = make_gap()
    gap.record_heard(NEW, OLD, 20.0)
    assert not gap.is_open(25.0)
