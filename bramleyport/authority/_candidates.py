"""Choose which entries may hold the lease of a pool."""

from collections.abc import Iterable
from typing import Final

from bramleyport.authority._types import name_lease
from bramleyport.core import PoolName, ProcessId, RegionName
from bramleyport.membership import choose

# Only candidates read a lease: 380 readers of 30 leases would cost 4,560 reads/s.
LEASE_CANDIDATES: Final = 3


def choose_candidates(
    pool: PoolName, region: RegionName, entries: Iterable[ProcessId]
) -> list[ProcessId]:
    """Return the candidates for a pool's lease among the live entries of its region."""
    # Entries with different views may choose different candidates. That is safe: the
    # conditional update of the lease lets one of them hold it.
    return choose(f"lease:{name_lease(pool, region)}", entries, LEASE_CANDIDATES)
