"""Pacing of starts by the observed time between tokens.

Each prefill that an engine takes on slows the tokens of all its running streams, so a
flood of batch prompts would make urgent answers late without taking one slot from them.
"""

import math
from typing import Final

from bramleyport.core import Rank

# Starts take effect within a few batch steps; the margin absorbs that delay.
TARGET_FRACTION: Final = 0.7
LOOSE_FRACTION: Final = 0.5
# A rank holds back its own starts only close to its target: starting more streams than
# can be in time makes all of them late, but waiting costs the time to the first token.
OWN_FRACTION: Final = 0.85
# A mean over about this many tokens of each stream, about a second.
MEMORY_TOKENS: Final = 16
STALE_S: Final = 1.0


class TokenPacing:
    """Tell whether a start would slow down running streams beyond their target."""

    def __init__(self) -> None:
        self.between_s = 0.0
        self._seen_s: float | None = None
        self._targets_s = dict.fromkeys(Rank, 0.0)

    def set_target(self, rank: Rank, between_tokens_s: float) -> None:
        """Take the target of a rank from its service record."""
        self._targets_s[rank] = between_tokens_s

    def observe(self, interval_s: float, streams: int, now_s: float) -> None:
        """Take the time between two tokens of one of the running streams."""
        if not interval_s >= 0.0:
            return
        gain = 1.0 / (MEMORY_TOKENS * max(1, streams))
        if self._seen_s is None or now_s - self._seen_s > STALE_S:
            self.between_s = interval_s
        self.between_s += gain * (interval_s - self.between_s)
        self._seen_s = now_s

    def is_held(
        self, rank: Rank, running: dict[Rank, int], prefill_s: float, now_s: float
    ) -> bool:
        """Return whether starts of the rank must wait for the running streams.

        `prefill_s` is the prefill that the engine still has to do for the rank.
        """
        if self._seen_s is None or now_s - self._seen_s > STALE_S:
            return False
        if running[rank] and self._is_near(OWN_FRACTION, self._targets_s[rank]):
            return True
        tightest_s = min(
            (
                self._targets_s[other]
                for other, count in running.items()
                if count > 0 and other.priority < rank.priority
            ),
            default=math.inf,
        )
        if not self._is_near(LOOSE_FRACTION, tightest_s):
            return False
        # Near the target, starts follow one another, so that the effect of each shows
        # before the next.
        return prefill_s > 0.0 or self._is_near(TARGET_FRACTION, tightest_s)

    def _is_near(self, fraction: float, target_s: float) -> bool:
        return target_s > 0.0 and self.between_s > fraction * target_s
