"""Choose when a gateway writes again what a restored store lacks."""

from typing import Final

from bramleyport.core import ProcessId
from bramleyport.fleet import GatewayRoster

# Time that each gateway of the order gets before the next one writes. A write reaches
# the watches of the others within it, of a slow store, too.
TURN_S: Final = 2.0


class RepairQueue:
    """Order repairs so that one gateway writes each object, and others if it fails.

    All gateways know what a restored store lacks, and together they may write only a
    few hundred objects a second.
    """

    def __init__(
        self,
        own: ProcessId,
        roster: GatewayRoster,
        *,
        turn_s: float | None = None,
    ) -> None:
        self._own = own
        self._roster = roster
        self._turn_s = TURN_S if turn_s is None else turn_s
        self._due_s: dict[str, float] = {}

    def add(self, key: str, now_s: float) -> None:
        """Add an object to be written, at this gateway's turn."""
        turn = self._roster.rank_writers(key, now_s).index(self._own)
        self._due_s.setdefault(key, now_s + turn * self._turn_s)

    def postpone(self, key: str, due_s: float) -> None:
        """Repeat a repair that has failed."""
        self._due_s[key] = due_s

    def drop(self, key: str) -> None:
        """Drop an object that the store has as it should."""
        self._due_s.pop(key, None)

    def take_due(self, now_s: float) -> list[str]:
        """Remove and return the objects that are due."""
        due = [key for key, due_s in self._due_s.items() if due_s <= now_s]
        for key in due:
            del self._due_s[key]
        return due

    def find_next(self) -> float | None:
        """Return when the next object is due."""
        return min(self._due_s.values(), default=None)
