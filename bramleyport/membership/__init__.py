"""Membership of the fleet: which hosts are live, leaving or gone."""

from bramleyport.membership._hosts import (
    Host,
    HostState,
    ProcessRole,
    list_host_problems,
)
from bramleyport.membership._membership import (
    Added,
    AvailabilityReported,
    Change,
    Connected,
    Disconnected,
    Event,
    HostList,
    LeavingReported,
    LeavingSource,
    Membership,
    MembershipPolicy,
    Removed,
    Replaced,
    StateChanged,
    Tick,
)
from bramleyport.membership._rendezvous import choose, rank

__all__ = [
    "Added",
    "AvailabilityReported",
    "Change",
    "Connected",
    "Disconnected",
    "Event",
    "Host",
    "HostList",
    "HostState",
    "LeavingReported",
    "LeavingSource",
    "Membership",
    "MembershipPolicy",
    "ProcessRole",
    "Removed",
    "Replaced",
    "StateChanged",
    "Tick",
    "choose",
    "list_host_problems",
    "rank",
]
