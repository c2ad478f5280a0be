"""Fencing numbers across the eras of a store that may be restored from a copy."""

from typing import Final

from bramleyport.core import FencingNumber, Revision, StoreEra, StoreRevision

# More than the acquisitions of a lease in any era.
NUMBERS_PER_ERA: Final = 2**32
# Numbers below 2**53 are exact in JSON. An era is one above the one before it, so the
# remainders of large ones rise just as well.
ERA_LIMIT: Final = 2**21


def find_fencing_floor(era: StoreEra | None) -> FencingNumber:
    """Return a number that is above all fencing numbers of earlier eras.

    A copy may have lost the highest number given out, so the store can't tell it. It is
    0 for a store that names no era.
    """
    if era is None:
        return FencingNumber(0)
    return FencingNumber(era % ERA_LIMIT * NUMBERS_PER_ERA)


def find_fencing_base(
    era: StoreEra | None, revision: StoreRevision | None
) -> FencingNumber:
    """Return a number that is not below any that was stored up to a revision.

    A write that was sent in an earlier era may take effect late, if a revision given
    out again meets its condition, and replace a lease by one with a lower number. Each
    number is stored by a write of its own, so the revision bounds how many there were.
    """
    floor = find_fencing_floor(era)
    if era is None or revision is None:
        return floor
    writes = min(revision.number, Revision(NUMBERS_PER_ERA // 2))
    return FencingNumber(floor + writes)
