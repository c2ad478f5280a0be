"""Which hosts are live, leaving or suspect."""

from bramleyport.membership._hosts import Host, HostState, ProcessRole

__all__ = ["Host", "HostState", "ProcessRole"]
