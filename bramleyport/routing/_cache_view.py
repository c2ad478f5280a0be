"""Follow the cache reports of an engine, detect gaps and recover from them."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import CachedPrefixes, PrefixBlock

# Long enough for a full report to arrive, short enough that a lost one is repeated.
REQUEST_INTERVAL_S: Final = 5.0
CONFIRMED_TTL_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheChange:
    """Describe how a cache changed between two sequence numbers.

    A full change holds every cached block in `stored` and replaces what was known.
    """

    previous: int
    sequence: int
    stored: tuple[PrefixBlock, ...] = ()
    evicted: tuple[PrefixBlock, ...] = ()
    full: bool = False


class CacheFollower:
    """Keep the view of one engine's cache and repair it after a gap.

    A change that does not continue the last one makes the view uncertain. It stays
    uncertain until a full change arrives, which is requested until it does.
    """

    def __init__(self, cached: CachedPrefixes) -> None:
        self.cached = cached
        self._requested_s: float | None = None

    def apply(self, change: CacheChange) -> None:
        """Apply a change and mark the view if it leaves a gap."""
        cached = self.cached
        if change.full:
            cached.blocks = set(change.stored)
            cached.last_sequence = change.sequence
            cached.uncertain = False
            self._requested_s = None
            return
        if change.previous != cached.last_sequence:
            cached.uncertain = True
        cached.blocks.difference_update(change.evicted)
        cached.blocks.update(change.stored)
        cached.last_sequence = change.sequence

    def take_request(self, now_s: float) -> bool:
        """Return whether to request a full report now, and note the request."""
        if not self.cached.uncertain:
            return False
        requested_s = self._requested_s
        if requested_s is not None and now_s - requested_s < REQUEST_INTERVAL_S:
            return False
        self._requested_s = now_s
        return True

    def forget_request(self) -> None:
        """Allow a request at once, as after the loss of a connection."""
        self._requested_s = None


class CacheRecorder:
    """Build an engine's whole cache view from its events, which may have gaps.

    An engine does not repeat lost events. After a gap every block known before it may
    have been evicted, so all are dropped; blocks come back as the engine stores or uses
    them again.
    """

    def __init__(self, cached: CachedPrefixes) -> None:
        self.cached = cached
        self._stored: set[PrefixBlock] = set()
        self._evicted: set[PrefixBlock] = set()
        self._confirmed: dict[PrefixBlock, float] = {}
        self._rebuilt = False
        self._steps = 0

    def record(
        self,
        sequence: int,
        stored: tuple[PrefixBlock, ...],
        evicted: tuple[PrefixBlock, ...],
    ) -> bool:
        """Apply one engine event and return whether it follows a gap."""
        cached = self.cached
        gap = sequence != cached.last_sequence + 1
        if gap:
            self._drop_all()
        cached.last_sequence = sequence
        cached.blocks.update(stored)
        cached.blocks.difference_update(evicted)
        touched = {*stored, *evicted}
        for block in touched:
            self._confirmed.pop(block, None)
        self._note(touched)
        return gap

    def reset(self) -> None:
        """Forget everything, as when the engine may have restarted."""
        if self.cached.blocks:
            self._drop_all()
        self.cached.last_sequence = 0

    def confirm(self, blocks: tuple[PrefixBlock, ...], now_s: float) -> None:
        """Add blocks that a finished prefill has left in the cache."""
        fresh = set()
        for block in blocks:
            if block not in self.cached.blocks or block in self._confirmed:
                self._confirmed[block] = now_s
                fresh.add(block)
        self.cached.blocks.update(fresh)
        self._note(fresh)

    def expire(self, now_s: float) -> None:
        """Drop confirmed blocks that no event and no use has shown for long."""
        # The event of their eviction may have come before the confirmation.
        oldest_s = now_s - CONFIRMED_TTL_S
        expired = {b for b, seen_s in self._confirmed.items() if seen_s < oldest_s}
        for block in expired:
            del self._confirmed[block]
        self.cached.blocks.difference_update(expired)
        self._note(expired)

    def take_change(self) -> CacheChange | None:
        """Return what changed since the last call, or None without a change."""
        if not self._rebuilt and not self._stored and not self._evicted:
            return None
        previous = self._steps
        self._steps += 1
        change = CacheChange(
            previous=previous,
            sequence=self._steps,
            stored=tuple(self._stored),
            evicted=tuple(self._evicted),
        )
        if self._rebuilt:
            change = self.make_full()
        self._stored.clear()
        self._evicted.clear()
        self._rebuilt = False
        return change

    def make_full(self) -> CacheChange:
        """Return the whole view under the number of the last change taken."""
        # Blocks not yet reported are included; repeating them later is harmless.
        return CacheChange(
            previous=self._steps,
            sequence=self._steps,
            stored=tuple(self.cached.blocks),
            full=True,
        )

    def _drop_all(self) -> None:
        self.cached.blocks.clear()
        self._confirmed.clear()
        self._rebuilt = True

    def _note(self, touched: set[PrefixBlock]) -> None:
        for block in touched:
            present = block in self.cached.blocks
            (self._stored if present else self._evicted).add(block)
            (self._evicted if present else self._stored).discard(block)
