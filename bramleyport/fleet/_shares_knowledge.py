"""Know whether other gateways may know newer shares of software versions."""

from collections.abc import Collection

from bramleyport.core import ProcessId, StoreRevision


class SharesKnowledge:
    """Compare the newest shares that are known here with those that peers know.

    Without the store this is the only evidence that no stream has begun by shares
    which are not known here. A message shows what its sender knew when it was sent, so
    one that arrives after others were lost shows that these were missed.
    """

    def __init__(self) -> None:
        # The newest revision of shares that is known here.
        self.own: StoreRevision | None = None
        self._told: dict[ProcessId, tuple[StoreRevision, float]] = {}

    def record_own(self, revision: StoreRevision) -> None:
        """Record shares that are known here."""
        if self.own is None or revision > self.own:
            self.own = revision

    def record_told(
        self, process: ProcessId, revision: StoreRevision, now_s: float
    ) -> None:
        """Record the newest shares that a peer knows."""
        self._told[process] = (revision, now_s)

    def is_current(self, others: Collection[ProcessId], since_s: float) -> bool:
        """Return whether half of the others told since then, and none of newer shares.

        What a peer told earlier counts against being current for as long as it may run.
        """
        if self.own is None:
            return False
        for process in [name for name in self._told if name not in others]:
            del self._told[process]
        if any(revision > self.own for revision, _ in self._told.values()):
            return False
        recent = sum(told_s >= since_s for _, told_s in self._told.values())
        return 2 * recent >= len(others)
