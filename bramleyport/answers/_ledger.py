"""Remember which attempts an agent received, to say for certain which it never ran."""

from collections import OrderedDict
from typing import Final

from bramleyport.core import AttemptId, Execution

# About 8 MB of ids; at 20 attempts/s this reaches 40 minutes back.
LEDGER_ATTEMPTS: Final = 50_000


class AttemptIds:
    """Make attempt ids that are never used again."""

    def __init__(self, run: str) -> None:
        self._run = run
        self._count = 0

    def make(self) -> AttemptId:
        """Return the next id of this run; ids of one run rise."""
        self._count += 1
        return AttemptId(f"{self._run}.{self._count}")


class AttemptLedger:
    """Record each attempt once and refuse those declared not run, for good.

    Ids leave the ledger oldest first. The highest number that left is kept for each
    run of an entry; below it the ledger vouches for nothing and runs nothing.
    """

    def __init__(self, capacity: int = LEDGER_ATTEMPTS) -> None:
        self._capacity = capacity
        self._refused: OrderedDict[AttemptId, bool] = OrderedDict()
        self._floors: dict[str, int] = {}

    def receive(self, attempt: AttemptId) -> bool:
        """Record an attempt and return whether it may run."""
        if attempt in self._refused or self._is_forgotten(attempt):
            return False
        self._record(attempt, refused=False)
        return True

    def refuse(self, attempt: AttemptId) -> None:
        """Record that a received attempt was not run and never will be."""
        if attempt in self._refused:
            self._refused[attempt] = True

    def judge(self, attempt: AttemptId) -> Execution:
        """Return what is certain of an attempt that is not held any more.

        An attempt that was never received is refused from now on.
        """
        refused = self._refused.get(attempt)
        if refused is None:
            if self._is_forgotten(attempt):
                return Execution.UNKNOWN
            self._record(attempt, refused=True)
            return Execution.NOT_RUN
        return Execution.NOT_RUN if refused else Execution.UNKNOWN

    def _is_forgotten(self, attempt: AttemptId) -> bool:
        run, count = _split(attempt)
        return count <= self._floors.get(run, 0)

    def _record(self, attempt: AttemptId, *, refused: bool) -> None:
        self._refused[attempt] = refused
        while len(self._refused) > self._capacity:
            run, count = _split(self._refused.popitem(last=False)[0])
            self._floors[run] = max(count, self._floors.get(run, 0))


def _split(attempt: AttemptId) -> tuple[str, int]:
    run, _, count = attempt.rpartition(".")
    # Digits only: int() would also take signs, spaces and underscores.
    if run and count.isascii() and count.isdigit():
        return run, int(count)
    return attempt, 1
