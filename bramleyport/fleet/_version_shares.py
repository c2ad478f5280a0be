"""Divide new streams among the software versions of a service by their identifiers."""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from bramleyport.core import RequestId
from bramleyport.fleet._types import Registration, SoftwareVersion, Stage

# Change of the share of a version, as a fraction of all streams, from which the shares
# are changed. Each change makes the versions of some streams ambiguous.
MIN_SHARE_CHANGE: Final = 0.15
_HASH_BITS: Final = 64


@dataclass(frozen=True, slots=True)
class VersionShares:
    """Describe which fraction of the new streams each software version gets."""

    shares: tuple[tuple[SoftwareVersion, float], ...]

    @property
    def versions(self) -> frozenset[SoftwareVersion]:
        """Return the versions that get streams."""
        return frozenset(version for version, _ in self.shares)

    def choose(self, origin: RequestId) -> SoftwareVersion:
        """Return the version of a stream, the same at each gateway.

        By weighted rendezvous hashing, so that a change of shares moves no more streams
        than it has to.
        """
        if len(self.shares) == 1:
            return self.shares[0][0]
        return max(self.shares, key=lambda item: _score(origin, *item))[0]

    def differs_from(self, desired: "VersionShares") -> bool:
        """Return whether the shares are so different that they have to be changed."""
        if self.versions != desired.versions:
            return True
        wanted = dict(desired.shares)
        return any(
            abs(share - wanted[version]) >= MIN_SHARE_CHANGE
            for version, share in self.shares
        )


def compute_shares(ready: Iterable[Registration]) -> VersionShares | None:
    """Return the shares by the slots that decode; None if no upstream does."""
    slots: dict[SoftwareVersion, int] = {}
    for item in ready:
        if item.stage is not Stage.PREFILL:
            slots[item.version] = slots.get(item.version, 0) + max(1, item.slots)
    total = sum(slots.values())
    if not total:
        return None
    return VersionShares(
        tuple((version, round(slots[version] / total, 3)) for version in sorted(slots))
    )


def _score(origin: RequestId, version: SoftwareVersion, share: float) -> float:
    key = f"{len(origin)}:{origin}{version}".encode()
    digest = hashlib.blake2b(key, digest_size=_HASH_BITS // 8).digest()
    fraction = (int.from_bytes(digest) + 1) / (2**_HASH_BITS + 2)
    return share / -math.log(fraction)
