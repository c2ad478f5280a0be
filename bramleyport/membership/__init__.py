"""Which hosts are live, leaving or suspect."""

from bramleyport.membership._hosts import Host, HostState, ProcessRole
from bramleyport.membership._membership import (
    Added,
    Change,
    Connected,
    Disconnected,
    Event,
    HostList,
    LeavingReported,
    LeavingSource,
    Membership,
    MembershipPolicy,
    MessageReceived,
    Removed,
    Replaced,
    StateChanged,
    Tick,
)
from bramleyport.membership._rendezvous import choose, rank

__all__ = [
    "Added",
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
    "MessageReceived",
    "ProcessRole",
    "Removed",
    "Replaced",
    "StateChanged",
    "Tick",
    "choose",
    "rank",
]
