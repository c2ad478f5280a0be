"""Divide the engines of a service by the software version of their streams."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.fleet._serving import ServingScope
from bramleyport.fleet._types import Registration, SoftwareVersion, Stage

# Least number of decode engines, in case some fail, and their least fraction of all
# engines: each receives the KV caches of its calls over one link, one after another.
MIN_DECODERS: Final = 2
MIN_DECODER_FRACTION: Final = 1 / 3


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """Describe the state of one engine as far as a planner needs it."""

    registration: Registration
    # Seconds of prefill that it has queued.
    backlog_s: float
    decoding_calls: int
    # Seconds for which its link has carried KV caches since its load was first tracked.
    transfer_s: float = 0.0
    changing: bool = False
    ejected: bool = False
    # The engine is out of reach, and expected back while its registration stands.
    away: bool = False
    # The engine names a rate limit.
    limited: bool = False
    # The stage that a changing engine was ordered to take, if known.
    ordered_stage: Stage | None = None

    @property
    def next_stage(self) -> Stage | None:
        """Return the stage that the engine has or changes to."""
        if self.changing and self.ordered_stage is not None:
            return self.ordered_stage
        return self.registration.stage


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionPool:
    """Describe the engines of one software version, which go on with its streams."""

    scope: ServingScope
    size: int
    decode_engines: tuple[EngineView, ...]
    prefill_engines: tuple[EngineView, ...]
    # Engines that were ordered to decode and do not yet.
    becoming: int
    # Least number of decode engines that are left when others change to prefill.
    floor: int

    @property
    def is_lost(self) -> bool:
        """Return whether streams may go on here, and no engine decodes or soon will."""
        has_streams = bool(self.decode_engines) or self.floor > 0
        serves = any(not view.away for view in self.decode_engines)
        return has_streams and not serves and not self.becoming

    @property
    def density(self) -> float:
        """Return the part of the engines that decode."""
        return (len(self.decode_engines) + self.becoming) / self.size


def split_by_version(
    engines: Sequence[EngineView], versions: Collection[SoftwareVersion] | None
) -> list[VersionPool]:
    """Return the engines of each version, with the decode engines that it needs."""
    pools = []
    for version in sorted({view.registration.version for view in engines}):
        service = engines[0].registration.service
        scope = ServingScope(service, frozenset((version,)))
        found = [view for view in engines if scope.includes(view.registration)]
        has_streams = versions is None or version in versions
        settled = [view for view in found if not view.changing]
        pools.append(
            VersionPool(
                scope=scope,
                size=len(found),
                decode_engines=_filter_stage(settled, Stage.DECODE),
                prefill_engines=_filter_stage(settled, Stage.PREFILL),
                becoming=sum(
                    view.changing and view.ordered_stage is Stage.DECODE
                    for view in found
                ),
                floor=min(len(found), count_min_decoders(len(found)))
                if has_streams
                else 0,
            )
        )
    return pools


def _filter_stage(
    engines: Sequence[EngineView], stage: Stage
) -> tuple[EngineView, ...]:
    return tuple(view for view in engines if view.registration.stage is stage)


def count_min_decoders(engines: int) -> int:
    """Return how many engines of a pool decode at least, even without calls."""
    return max(MIN_DECODERS, int(MIN_DECODER_FRACTION * engines))


def list_for_decode(pools: Sequence[VersionPool]) -> Sequence[EngineView]:
    """Return the prefill engines of the version with the smallest part of decoders."""
    candidates = [pool for pool in pools if pool.prefill_engines]
    if not candidates:
        return ()
    return min(candidates, key=lambda pool: pool.density).prefill_engines


def list_spare(pools: Sequence[VersionPool]) -> Sequence[EngineView]:
    """Return the decode engines of the version with the largest part of them."""
    candidates = [
        pool
        for pool in pools
        if sum(not view.away for view in pool.decode_engines) > pool.floor
    ]
    if not candidates:
        return ()
    return max(candidates, key=lambda pool: pool.density).decode_engines
