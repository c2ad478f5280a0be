"""Decide which engines prefill prompts and which decode."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet._stage_pools import (
    EngineView,
    count_min_decoders,
    list_for_decode,
    list_spare,
    split_by_version,
)
from bramleyport.fleet._types import SoftwareVersion, Stage

# Fraction of the slots that decoding calls may use before another decode engine is
# added.
SLOT_FRACTION: Final = 0.4
# Fraction of the time for which the link of a decode engine may carry KV caches before
# another is added, as calls wait for the transfers before theirs.
LINK_FRACTION: Final = 0.5
# An engine returns to prefill only if the links of the others then stay below this
# fraction.
RETURN_LINK_FRACTION: Final = 0.3
# Weight of the newest poll in the moving mean of busy links, which covers about a
# second.
LINK_WEIGHT: Final = 0.3
# An engine returns to prefill only if the slots of the others then stay below this
# fraction. If it were closer to SLOT_FRACTION, engines would change back and forth.
RETURN_SLOT_FRACTION: Final = 0.25
# Largest fraction of decode engines, however many calls there are: prompts that wait
# for prefill use no slots.
MAX_DECODER_FRACTION: Final = 2 / 3
# Mean seconds of queued prefill per engine above which an engine changes to prefill.
BACKLOG_S: Final = 0.1
# Polls without any work after which spare engines change to prefill. A change delays no
# call while there is none. Too few prefill engines delay first tokens at once, whereas
# the slots of too few decode engines fill only slowly.
IDLE_POLLS: Final = 4
# Weight of the newest backlog in its moving mean, which covers about a second at four
# polls per second.
BACKLOG_WEIGHT: Final = 0.3
# Fraction of the engines that may change at once: a changing engine serves no calls for
# seconds.
CHANGING_FRACTION: Final = 0.25
# An engine that has changed keeps its stage for this time.
SETTLE_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class _Order:
    """Describe the last order to an engine."""

    at_s: float
    stage: Stage | None
    # Start of the process that was ordered, in Unix milliseconds, if known.
    started_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StageChange:
    """Describe which engine is to change to which stage, and why."""

    upstream: UpstreamId
    stage: Stage
    explanation: Explanation


class StagePlanner:
    """Decide when engines change between prefill and decode.

    Adds prefill engines when prompts queue up while decode engines are idle, and decode
    engines when answers grow longer.
    """

    def __init__(self) -> None:
        self._backlog_s = 0.0
        self._idle_polls = 0
        # Mean number of links that carry KV caches at a time.
        self._busy_links = 0.0
        self._transfer_s: dict[UpstreamId, float] = {}
        self._last_poll_s: float | None = None
        self._orders: dict[UpstreamId, _Order] = {}

    def plan(
        self,
        engines: Sequence[EngineView],
        slots: int,
        now_s: float,
        versions: Collection[SoftwareVersion] | None = None,
    ) -> StageChange | None:
        """Return the next change, or None if the stages suit the work.

        Streams may begin or go on at `versions`, or at all if that is None.
        """
        unlimited = [view for view in engines if not view.limited]
        change = self._plan_unlimited(unlimited, slots, now_s, versions)
        if change is not None:
            return change
        return self._plan_limited(engines, now_s)

    def _plan_unlimited(
        self,
        engines: Sequence[EngineView],
        slots: int,
        now_s: float,
        versions: Collection[SoftwareVersion] | None,
    ) -> StageChange | None:
        """Return the next change of engines whose rate is not limited."""
        alive = [view for view in engines if not view.ejected]
        if not alive:
            return None
        self._observe(alive)
        self._observe_links(alive, now_s)
        changing = sum(view.changing for view in alive)
        settled = [view for view in alive if not view.changing]
        decoders = [v for v in settled if v.registration.stage is Stage.DECODE]
        prefill_engines = [v for v in settled if v.registration.stage is Stage.PREFILL]
        if not decoders and not prefill_engines:
            return None
        pools = split_by_version(alive, versions)
        needed = self._count_needed(alive, slots, SLOT_FRACTION, LINK_FRACTION)
        becoming_decoders = sum(pool.becoming for pool in pools)
        numbers = {
            "decoders": float(len(decoders)),
            "needed": float(needed),
            "backlog_s": round(self._backlog_s, 3),
            "links": round(self._busy_links, 2),
            "changing": float(changing),
        }
        # Decode engines have failed. The others would fill up, and streams of their
        # version would go on nowhere, if this waited until a changing engine is done.
        for pool in pools:
            if pool.is_lost:
                change = self._replace_lost(pool.prefill_engines, numbers, now_s)
                if change is not None:
                    return change
        if len(decoders) + becoming_decoders < count_min_decoders(len(engines)):
            return self._replace_lost(list_for_decode(pools), numbers, now_s)
        allowed = max(1, int(CHANGING_FRACTION * len(alive)))
        if changing >= allowed:
            return None
        if len(decoders) + becoming_decoders < needed:
            candidates = list_for_decode(pools)
            return self._make_change(
                candidates, Stage.DECODE, "few_decoders", numbers, now_s
            )
        needed_after = self._count_needed(
            alive, slots, RETURN_SLOT_FRACTION, RETURN_LINK_FRACTION
        )
        if len(decoders) <= needed_after:
            return None
        spare = list_spare(pools)
        if self._backlog_s > BACKLOG_S:
            return self._make_change(spare, Stage.PREFILL, "backlog", numbers, now_s)
        if self._idle_polls >= IDLE_POLLS:
            return self._make_change(spare, Stage.PREFILL, "idle", numbers, now_s)
        return None

    def record_change(
        self,
        upstream: UpstreamId,
        now_s: float,
        stage: Stage | None = None,
        started_ms: int | None = None,
    ) -> None:
        """Record that an engine was ordered to change, and to which stage if known."""
        self._orders[upstream] = _Order(now_s, stage, started_ms)

    def _replace_lost(
        self,
        prefill_engines: Sequence[EngineView],
        numbers: dict[str, float],
        now_s: float,
    ) -> StageChange | None:
        """Change an engine, even one that has only just changed to prefill."""
        return self._make_change(
            prefill_engines, Stage.DECODE, "lost_decoders", numbers, now_s, urgent=True
        )

    def _plan_limited(
        self, engines: Sequence[EngineView], now_s: float
    ) -> StageChange | None:
        """Return the next change of an engine with a rate limit.

        Each call takes a request of an engine that decodes, and at most one of another
        engine. If all engines that decode are limited, they must not be outnumbered.
        """
        alive = [view for view in engines if not view.ejected]
        changing = sum(view.changing for view in alive)
        if changing >= max(1, int(CHANGING_FRACTION * len(alive))):
            return None
        versions = sorted({view.registration.version for view in alive})
        for version in versions:
            pool = [view for view in alive if view.registration.version == version]
            change = self._plan_limited_version(pool, changing, now_s)
            if change is not None:
                return change
        return None

    def _plan_limited_version(
        self, engines: Sequence[EngineView], changing: int, now_s: float
    ) -> StageChange | None:
        decoders = [view for view in engines if view.next_stage is Stage.DECODE]
        prefill_engines = [view for view in engines if view.next_stage is Stage.PREFILL]
        if not all(view.limited for view in decoders):
            return None
        if len(decoders) >= len(prefill_engines):
            return None
        candidates = [
            view for view in prefill_engines if view.limited and not view.changing
        ]
        numbers = {
            "decoders": float(len(decoders)),
            "limited": float(sum(view.limited for view in engines)),
            "changing": float(changing),
        }
        return self._make_change(
            candidates, Stage.DECODE, "limited_decoders", numbers, now_s
        )

    def _observe(self, engines: Sequence[EngineView]) -> None:
        mean_s = sum(view.backlog_s for view in engines) / len(engines)
        self._backlog_s += BACKLOG_WEIGHT * (mean_s - self._backlog_s)
        busy = any(view.backlog_s > 0 or view.decoding_calls for view in engines)
        self._idle_polls = 0 if busy else self._idle_polls + 1

    def _observe_links(self, engines: Sequence[EngineView], now_s: float) -> None:
        transfer_s = {view.registration.upstream: view.transfer_s for view in engines}
        if self._last_poll_s is not None and now_s > self._last_poll_s:
            # The sum of an engine that has restarted begins at zero again.
            added_s = sum(
                max(0.0, total_s - self._transfer_s.get(upstream, total_s))
                for upstream, total_s in transfer_s.items()
            )
            links = added_s / (now_s - self._last_poll_s)
            self._busy_links += LINK_WEIGHT * (links - self._busy_links)
        self._transfer_s = transfer_s
        self._last_poll_s = now_s

    def _count_needed(
        self,
        engines: Sequence[EngineView],
        slots: int,
        slot_fraction: float,
        link_fraction: float,
    ) -> int:
        decoding = sum(view.decoding_calls for view in engines)
        by_slots = -(-decoding // max(1, int(slots * slot_fraction)))
        by_links = math.ceil(self._busy_links / link_fraction)
        max_decoders = int(MAX_DECODER_FRACTION * len(engines))
        return max(
            min(max(by_slots, by_links), max_decoders),
            count_min_decoders(len(engines)),
        )

    def _make_change(
        self,
        candidates: Sequence[EngineView],
        stage: Stage,
        reason: str,
        numbers: dict[str, float],
        now_s: float,
        *,
        urgent: bool = False,
    ) -> StageChange | None:
        free = [
            view
            for view in candidates
            if not view.away
            and (
                self._is_settled(view, now_s)
                or (urgent and self._has_reached_prefill(view))
            )
        ]
        if not free:
            return None
        zones = [view.registration.zone for view in candidates]
        # Take an engine of the zone with most candidates, so that each zone keeps
        # engines of both stages.
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
        order = self._orders.get(view.registration.upstream)
        if order is None or now_s - order.at_s >= SETTLE_S:
            return True
        # The next process of an engine that has crashed got no order.
        return order.started_ms not in (None, view.registration.started_ms)

    def _has_reached_prefill(self, view: EngineView) -> bool:
        """Return whether an engine has carried out its last order, to prefill."""
        order = self._orders.get(view.registration.upstream)
        return order is not None and order.stage is Stage.PREFILL
