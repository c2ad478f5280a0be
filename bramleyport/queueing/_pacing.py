"""Pacing of starts by the observed time between tokens.

Each prefill slows down decoding in all running streams of the engine. A flood of batch
prompts could therefore make urgent answers late without taking any slot from them.
"""

import math
from typing import Final

from bramleyport.core import Rank

# Above this fraction of the target no start is allowed. The margin below the target is
# needed because a start affects the time between tokens only a few batch steps later.
HOLD_FRACTION: Final = 0.7
# Above this fraction of the target, starts are allowed only one after another.
SEQUENTIAL_FRACTION: Final = 0.5
# Above this fraction of its own target a rank starts no more streams, since too many
# make all of them late. The fraction is high because waiting delays the first token.
OWN_RANK_FRACTION: Final = 0.85
# The mean covers about this many tokens of each stream, that is, about a second.
AVERAGED_TOKENS: Final = 16
MAX_OBSERVATION_AGE_S: Final = 1.0


class TokenPacer:
    """Decide whether a start would slow down running streams beyond their target."""

    def __init__(self) -> None:
        self.mean_interval_s = 0.0
        self._observed_s: float | None = None
        self._targets_s = dict.fromkeys(Rank, 0.0)

    def set_target(self, rank: Rank, between_tokens_s: float) -> None:
        """Set the target of a rank, as given in the service record."""
        self._targets_s[rank] = between_tokens_s

    def observe(self, interval_s: float, streams: int, now_s: float) -> None:
        """Record the time between two tokens of one of the running streams."""
        if not interval_s >= 0.0:
            return
        gain = 1.0 / (AVERAGED_TOKENS * max(1, streams))
        if self._observed_s is None or now_s - self._observed_s > MAX_OBSERVATION_AGE_S:
            self.mean_interval_s = interval_s
        self.mean_interval_s += gain * (interval_s - self.mean_interval_s)
        self._observed_s = now_s

    def must_wait(
        self, rank: Rank, running: dict[Rank, int], prefill_s: float, now_s: float
    ) -> bool:
        """Return whether starts of the rank must wait for the running streams.

        `prefill_s` is the prefill that the engine still has to do for the rank.
        """
        if self._observed_s is None or now_s - self._observed_s > MAX_OBSERVATION_AGE_S:
            return False
        if running[rank] and self._is_above(OWN_RANK_FRACTION, self._targets_s[rank]):
            return True
        tightest_s = min(
            (
                self._targets_s[other]
                for other, count in running.items()
                if count > 0 and other.priority < rank.priority
            ),
            default=math.inf,
        )
        if not self._is_above(SEQUENTIAL_FRACTION, tightest_s):
            return False
        # Near the target the next start waits until the previous prefill has finished,
        # so that its effect on the time between tokens is observed first.
        return prefill_s > 0.0 or self._is_above(HOLD_FRACTION, tightest_s)

    def _is_above(self, fraction: float, target_s: float) -> bool:
        return target_s > 0.0 and self.mean_interval_s > fraction * target_s
