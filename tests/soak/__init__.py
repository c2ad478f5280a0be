"""Run real gateway processes under random faults and check what callers are promised.

The store, the upstreams and the callers live in the process of the soak; each gateway
is a process of its own, behind loopback proxies that delay, hold back and reset.
"""

from tests.soak._findings import Findings, Impairments
from tests.soak._run import Profile, Soak, soak

__all__ = ["Findings", "Impairments", "Profile", "Soak", "soak"]
