"""Running short answers that prefill beside them would make late."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import AttemptId, Rank, ServiceKind
from bramleyport.queueing._base import QueuedWork

# Callers declare limits above the lengths they get, so an answer is counted at half of
# its limit.
LENGTH_PART: Final = 0.5
# The rest of the time between tokens is taken by steps without prefill.
SLACK_PART: Final = 0.5
# An answer with more slack has enough other steps to make up for one long prefill.
MAX_SLACK_S: Final = 2.0


@dataclass(slots=True)
class _Stream:
    rank: Rank
    slack_s: float


class FragileStreams:
    """Track how much prefill each running short answer can still bear."""

    def __init__(self) -> None:
        self._streams: dict[AttemptId, _Stream] = {}

    def start(self, item: QueuedWork, pending_s: float) -> None:
        """Take up an attempt that starts beside the given seconds of prefill."""
        for stream in self._streams.values():
            stream.slack_s -= item.prefill_s
        work = item.work
        if work.kind is not ServiceKind.LANGUAGE:
            return
        tokens = LENGTH_PART * work.max_output_tokens
        slack_s = SLACK_PART * tokens * work.targets.between_tokens_s
        if slack_s <= MAX_SLACK_S:
            self._streams[item.attempt] = _Stream(work.rank, slack_s - pending_s)

    def finish(self, attempt: AttemptId) -> None:
        """Forget an attempt that has ended."""
        self._streams.pop(attempt, None)

    def would_break(self, rank: Rank, prefill_s: float) -> bool:
        """Return whether a prefill makes a more urgent answer late.

        An answer that is late already holds nothing back.
        """
        return any(
            0.0 < stream.slack_s < prefill_s and stream.rank.priority < rank.priority
            for stream in self._streams.values()
        )
