"""Record of received attempts, from which an agent knows which ones it never ran."""

from collections import OrderedDict
from typing import Final

from bramleyport.core import AttemptId, Execution

# The ids take about 8 MB; at 20 attempts/s they cover the last 40 minutes.
MAX_LEDGER_ATTEMPTS: Final = 50_000


class AttemptIdGenerator:
    """Generate attempt ids that are never reused."""

    def __init__(self, run: str) -> None:
        self._run = run
        self._count = 0

    def make(self) -> AttemptId:
        """Return the next id; the counter in the ids of one run increases."""
        self._count += 1
        return AttemptId(f"{self._run}.{self._count}")


class AttemptLedger:
    """Track received attempts, and refuse for good those that were declared not run.

    The oldest ids are discarded first. For each run of an entry process, the highest
    discarded counter is stored. An attempt up to that counter may not run, and its
    execution is unknown.
    """

    def __init__(self, capacity: int = MAX_LEDGER_ATTEMPTS) -> None:
        self._capacity = capacity
        self._refused_by_id: OrderedDict[AttemptId, bool] = OrderedDict()
        self._discarded_up_to: dict[str, int] = {}

    def receive(self, attempt: AttemptId) -> bool:
        """Record an attempt and return whether it may run."""
        if attempt in self._refused_by_id or self._is_discarded(attempt):
            return False
        self._record(attempt, refused=False)
        return True

    def refuse(self, attempt: AttemptId) -> None:
        """Record that a received attempt was not run and never will be."""
        if attempt in self._refused_by_id:
            self._refused_by_id[attempt] = True

    def determine_execution(self, attempt: AttemptId) -> Execution:
        """Return what is known of the execution of an attempt that is not running.

        An attempt that was never received is refused from now on.
        """
        refused = self._refused_by_id.get(attempt)
        if refused is None:
            if self._is_discarded(attempt):
                return Execution.UNKNOWN
            self._record(attempt, refused=True)
            return Execution.NOT_RUN
        return Execution.NOT_RUN if refused else Execution.UNKNOWN

    def _is_discarded(self, attempt: AttemptId) -> bool:
        run, count = _split(attempt)
        return count <= self._discarded_up_to.get(run, 0)

    def _record(self, attempt: AttemptId, *, refused: bool) -> None:
        self._refused_by_id[attempt] = refused
        while len(self._refused_by_id) > self._capacity:
            run, count = _split(self._refused_by_id.popitem(last=False)[0])
            self._discarded_up_to[run] = max(count, self._discarded_up_to.get(run, 0))


def _split(attempt: AttemptId) -> tuple[str, int]:
    run, _, count = attempt.rpartition(".")
    # Only digits are valid; int() would also accept signs, spaces and underscores.
    if run and count.isascii() and count.isdigit():
        return run, int(count)
    return attempt, 1
