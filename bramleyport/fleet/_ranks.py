"""Rank calls by the priority of their client account, then by that of their route.

Answers: most accounts have the same priority, and their short urgent calls compete with
long ones of the same accounts.
"""

from collections.abc import Iterable
from typing import Final

# Ranks that engines tell apart: 0, the most urgent, to 9.
MAX_RANKS: Final = 10


class RankTable:
    """Map the priorities of one configuration to the ranks of its calls.

    The priority of an account goes before that of the route, which orders the calls of
    accounts with the same priority. Without such accounts, routes keep their priority.
    """

    def __init__(self, accounts: Iterable[int], routes: Iterable[int]) -> None:
        levels = set(accounts)
        pairs = set()
        for route in set(routes):
            # Calls without an account, or of one without a priority.
            pairs.add((route, route))
            pairs.update((level, route) for level in levels)
        self._ranks: dict[tuple[int, int], int] = {}
        if not levels:
            return
        divisor = max(1.0, len(pairs) / MAX_RANKS)
        for position, pair in enumerate(sorted(pairs)):
            self._ranks[pair] = int(position / divisor)

    def find(self, account: int | None, route: int) -> int:
        """Return the rank of a call by the priorities of its account and route."""
        level = route if account is None else account
        return self._ranks.get((level, route), route)
