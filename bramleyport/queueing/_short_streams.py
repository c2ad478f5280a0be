"""Running short answers that a concurrent prefill could make late."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import AttemptId, Rank, ServiceKind
from bramleyport.queueing._base import QueuedWork

# Answers are usually shorter than their declared limit, so half of the limit is taken
# as the length.
LENGTH_FRACTION: Final = 0.5
# Fraction of the time between tokens that prefill may take. Steps without prefill need
# the rest.
SLACK_FRACTION: Final = 0.5
# An answer with more slack has enough other steps to compensate for a long prefill.
MAX_SLACK_S: Final = 2.0


@dataclass(slots=True)
class _Stream:
    rank: Rank
    slack_s: float


class ShortStreamTracker:
    """Track how much more prefill each running short answer tolerates."""

    def __init__(self) -> None:
        self._streams: dict[AttemptId, _Stream] = {}

    def start(self, item: QueuedWork, pending_s: float) -> None:
        """Record the start of an attempt while the given seconds of prefill remain."""
        for stream in self._streams.values():
            stream.slack_s -= item.prefill_s
        work = item.work
        if work.kind is not ServiceKind.LANGUAGE:
            return
        tokens = LENGTH_FRACTION * work.max_output_tokens
        slack_s = SLACK_FRACTION * tokens * work.targets.between_tokens_s
        if slack_s <= MAX_SLACK_S:
            self._streams[item.attempt] = _Stream(work.rank, slack_s - pending_s)

    def finish(self, attempt: AttemptId) -> None:
        """Remove an attempt that has ended."""
        self._streams.pop(attempt, None)

    def would_make_late(self, rank: Rank, prefill_s: float) -> bool:
        """Return whether a prefill would make a more urgent answer late.

        An answer that is late already does not count.
        """
        return any(
            0.0 < stream.slack_s < prefill_s and stream.rank.priority < rank.priority
            for stream in self._streams.values()
        )
