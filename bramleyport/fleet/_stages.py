"""Decide which engines read prompts and which run the calls."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet._types import Registration, Stage

# Engines that run calls and are kept for the loss of others, and the least part of all
# engines: each takes the KV caches of its calls over one link, one after another.
MIN_DECODERS: Final = 2
DECODER_PART: Final = 1 / 3
# Part of the slots that running calls may take before another engine is added.
SLOT_PART: Final = 0.4
# Part of its time for which the link of an engine may carry KV caches before another
# engine is added: calls wait for the transfers before theirs.
LINK_PART: Final = 0.5
# An engine goes back to reading only if the links of the others stay below this part.
RETURN_LINK_PART: Final = 0.3
# Weight of the newest look in the mean time of transfers; about a second.
LINK_WEIGHT: Final = 0.3
# An engine goes back to reading only if the others then stay below this part; nearer to
# the one above, engines would change to and fro.
RETURN_SLOT_PART: Final = 0.25
# Most of the engines that run calls, however many calls there are: prompts that nobody
# has read fill no slots.
MAX_DECODER_PART: Final = 2 / 3
# Mean seconds of unread prompts per engine above which an engine is moved to reading.
BACKLOG_S: Final = 0.1
# Looks without any work after which spare engines are moved to reading. While nothing
# runs a change costs no caller, and too few readers delay first events at once, where
# too few that run calls fill their slots only slowly.
IDLE_LOOKS: Final = 4
# Weight of the newest backlog in its mean; with four looks a second about a second.
BACKLOG_WEIGHT: Final = 0.3
# Engines that may change at once: a changing engine serves nobody for seconds.
CHANGING_PART: Final = 0.25
# An engine that has changed stays as it is for this time.
SETTLE_S: Final = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Hold what a planner knows of one engine."""

    registration: Registration
    # Seconds of prompts that it has yet to read.
    backlog_s: float
    decoding_calls: int
    # Seconds for which its link has carried KV caches since it was first known.
    transfer_s: float = 0.0
    changing: bool = False
    ejected: bool = False
    # The stage that a changing engine was told to take, where that is known.
    ordered_stage: Stage | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StageChange:
    """Name an engine that is to change and why."""

    upstream: UpstreamId
    stage: Stage
    explanation: Explanation


class StagePlanner:
    """Move engines between reading and running as the mix of work shifts.

    Answers a mix whose prompts outgrow the engines that read them while those that run
    calls are idle, and the way back when answers grow longer.
    """

    def __init__(self) -> None:
        self._backlog_s = 0.0
        self._idle_looks = 0
        # Engines whose links would be carrying KV caches all the time.
        self._links = 0.0
        self._moved_s: dict[UpstreamId, float] = {}
        self._looked_s: float | None = None
        self._changed_s: dict[UpstreamId, float] = {}

    def plan(
        self, engines: Sequence[EngineView], slots: int, now_s: float
    ) -> StageChange | None:
        """Return the next change, or None where the stages suit the work."""
        alive = [view for view in engines if not view.ejected]
        if not alive:
            return None
        self._observe(alive)
        self._observe_links(alive, now_s)
        changing = sum(view.changing for view in alive)
        settled = [view for view in alive if not view.changing]
        decoders = [v for v in settled if v.registration.stage is Stage.DECODE]
        readers = [v for v in settled if v.registration.stage is Stage.PREFILL]
        if not decoders and not readers:
            return None
        needed = self._count_needed(alive, slots, SLOT_PART, LINK_PART)
        coming = sum(
            view.changing and view.ordered_stage is Stage.DECODE for view in alive
        )
        numbers = {
            "decoders": float(len(decoders)),
            "needed": float(needed),
            "backlog_s": round(self._backlog_s, 3),
            "links": round(self._links, 2),
            "changing": float(changing),
        }
        if len(decoders) + coming < self._count_kept(engines):
            # Engines were lost: the others would fill up before one more had changed.
            return self._change(readers, Stage.DECODE, "lost_decoders", numbers, now_s)
        allowed = max(1, int(CHANGING_PART * len(alive)))
        if changing >= allowed:
            return None
        if len(decoders) + coming < needed:
            return self._change(readers, Stage.DECODE, "few_decoders", numbers, now_s)
        kept = self._count_needed(alive, slots, RETURN_SLOT_PART, RETURN_LINK_PART)
        spare = len(decoders) > kept
        if spare and self._backlog_s > BACKLOG_S:
            return self._change(decoders, Stage.PREFILL, "backlog", numbers, now_s)
        if spare and self._idle_looks >= IDLE_LOOKS:
            return self._change(decoders, Stage.PREFILL, "idle", numbers, now_s)
        return None

    def record_change(self, upstream: UpstreamId, now_s: float) -> None:
        """Note that an engine was told to change."""
        self._changed_s[upstream] = now_s

    def _observe(self, engines: Sequence[EngineView]) -> None:
        mean_s = sum(view.backlog_s for view in engines) / len(engines)
        self._backlog_s += BACKLOG_WEIGHT * (mean_s - self._backlog_s)
        busy = any(view.backlog_s > 0 or view.decoding_calls for view in engines)
        self._idle_looks = 0 if busy else self._idle_looks + 1

    def _observe_links(self, engines: Sequence[EngineView], now_s: float) -> None:
        transfer_s = {view.registration.upstream: view.transfer_s for view in engines}
        if self._looked_s is not None and now_s > self._looked_s:
            # An engine that began anew counts from zero again.
            added_s = sum(
                max(0.0, total_s - self._moved_s.get(upstream, total_s))
                for upstream, total_s in transfer_s.items()
            )
            links = added_s / (now_s - self._looked_s)
            self._links += LINK_WEIGHT * (links - self._links)
        self._moved_s = transfer_s
        self._looked_s = now_s

    def _count_needed(
        self,
        engines: Sequence[EngineView],
        slots: int,
        slot_part: float,
        link_part: float,
    ) -> int:
        running = sum(view.decoding_calls for view in engines)
        by_slots = -(-running // max(1, int(slots * slot_part)))
        by_links = math.ceil(self._links / link_part)
        most = int(MAX_DECODER_PART * len(engines))
        return max(min(max(by_slots, by_links), most), self._count_kept(engines))

    def _count_kept(self, engines: Sequence[EngineView]) -> int:
        """Return how many engines run calls however few of these there are."""
        return max(MIN_DECODERS, int(DECODER_PART * len(engines)))

    def _change(
        self,
        candidates: Sequence[EngineView],
        stage: Stage,
        reason: str,
        numbers: dict[str, float],
        now_s: float,
    ) -> StageChange | None:
        free = [view for view in candidates if self._is_settled(view, now_s)]
        if not free:
            return None
        zones = [view.registration.zone for view in candidates]
        # Take from the zone that has most, so that each keeps some of both kinds.
        best = min(
            free,
            key=lambda view: (
                -zones.count(view.registration.zone),
                round(view.backlog_s, 1),
                view.decoding_calls,
                view.registration.upstream,
            ),
        )
        return StageChange(
            upstream=best.registration.upstream,
            stage=stage,
            explanation=Explanation(reason=reason, numbers=numbers),
        )

    def _is_settled(self, view: EngineView, now_s: float) -> bool:
        changed_s = self._changed_s.get(view.registration.upstream)
        return changed_s is None or now_s - changed_s >= SETTLE_S
