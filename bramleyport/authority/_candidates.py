"""Choice of the entries that may hold the lease of a pool."""

from collections.abc import Iterable
from typing import Final

from bramleyport.authority._documents import name_lease
from bramleyport.core import PoolName, ProcessId, RegionName
from bramleyport.membership import choose

# Only candidates read a lease: 380 entries that read 30 leases each would cost
# 4,560 reads/s.
LEASE_CANDIDATES: Final = 3


def choose_candidates(
    pool: PoolName, region: RegionName, entries: Iterable[ProcessId]
) -> list[ProcessId]:
    """Return the candidates for a pool's lease among the live entries of its region."""
    # Entries whose member lists differ may choose different candidates. This is safe:
    # the conditional update of the lease lets only one of them hold it.
    return choose(f"lease:{name_lease(pool, region)}", entries, LEASE_CANDIDATES)
