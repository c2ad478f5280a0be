"""Hand the trials that this gateway may make to calls that wait for them."""

import asyncio
from typing import Final

from bramleyport.fleet import TraitId

# Time for which a permitted trial waits for a call with its trait.
PERMIT_KEEP_S: Final = 30.0
# Time for which a call waits for its permit, which takes one call to the store.
PERMIT_WAIT_S: Final = 0.25


class TrialPermits:
    """Track requested and permitted trials by trait."""

    def __init__(self) -> None:
        self._until_s: dict[TraitId, float] = {}
        self._requested: dict[TraitId, asyncio.Future[None]] = {}

    def take(self, trait: TraitId, now_s: float) -> bool:
        """Take the permit for a trial; return whether there was one."""
        return self._until_s.pop(trait, 0.0) > now_s

    def add(self, trait: TraitId, now_s: float) -> None:
        """Add the permit for one trial."""
        self._until_s[trait] = now_s + PERMIT_KEEP_S

    def discard(self, trait: TraitId) -> None:
        """Drop the permit for a trait that is not withheld any more."""
        self._until_s.pop(trait, None)

    async def wait(self, trait: TraitId) -> None:
        """Request a permit and wait until that was answered, or for a short time."""
        request = self._requested.get(trait)
        if request is None:
            request = asyncio.get_running_loop().create_future()
            self._requested[trait] = request
        await asyncio.wait([request], timeout=PERMIT_WAIT_S)

    def list_requested(self) -> list[TraitId]:
        """Return the traits for which a permit is requested."""
        return list(self._requested)

    def answer(self, trait: TraitId) -> None:
        """Let the calls go on that wait for a permit."""
        request = self._requested.pop(trait, None)
        if request is not None and not request.done():
            request.set_result(None)
