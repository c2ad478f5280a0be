"""Follow the cache reports of an engine, detect gaps and recover from them."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import BlockIndex, CachedPrefixes, PrefixBlock

# Long enough for a full report to arrive, short enough that a lost one is repeated.
REQUEST_INTERVAL_S: Final = 5.0
# Longer than most pauses between requests with one prefix, so that a block in use stays
# known; a block that was evicted in a gap misleads for no longer than this.
UNPROVEN_TTL_S: Final = 60.0


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
    uncertain: bool = False


class CacheFollower:
    """Keep the view of one engine's cache and repair it after a gap.

    A change that does not continue the last one makes the view uncertain. It stays
    uncertain until a full change arrives, which is requested until it does. The sender
    may be uncertain as well, which no request can change.
    """

    def __init__(self, cached: CachedPrefixes) -> None:
        self.cached = cached
        cached.blocks = BlockIndex(cached.blocks)
        self._gap = False
        self._requested_s: float | None = None

    def apply(self, change: CacheChange) -> None:
        """Apply a change and mark the view if it leaves a gap."""
        cached = self.cached
        if change.full:
            cached.blocks = BlockIndex(change.stored)
            cached.last_sequence = change.sequence
            cached.uncertain = change.uncertain
            self._gap = False
            self._requested_s = None
            return
        if change.previous != cached.last_sequence:
            self._gap = True
        cached.uncertain = self._gap or change.uncertain
        cached.blocks.difference_update(change.evicted)
        cached.blocks.update(change.stored)
        cached.last_sequence = change.sequence

    def take_request(self, now_s: float) -> bool:
        """Return whether to request a full report now, and note the request."""
        if not self._gap:
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
    have been evicted: each is a suspect until an event names it or a request uses it,
    and is dropped if neither happens for long. The view is uncertain meanwhile.
    """

    def __init__(self, cached: CachedPrefixes) -> None:
        self.cached = cached
        self._stored: set[PrefixBlock] = set()
        self._evicted: set[PrefixBlock] = set()
        # Blocks known without an event, and when a request last used them.
        self._unproven: dict[PrefixBlock, float] = {}
        self._suspects: set[PrefixBlock] = set()
        self._rebuilt = False
        self._reported_uncertain = False
        self._steps = 0

    def record(
        self,
        sequence: int,
        stored: tuple[PrefixBlock, ...],
        evicted: tuple[PrefixBlock, ...],
        now_s: float,
    ) -> bool:
        """Apply one engine event and return whether it follows a gap."""
        cached = self.cached
        gap = sequence != cached.last_sequence + 1
        if gap:
            self._suspects |= cached.blocks
            self._unproven.update(dict.fromkeys(cached.blocks, now_s))
        cached.last_sequence = sequence
        cached.blocks.update(stored)
        cached.blocks.difference_update(evicted)
        touched = {*stored, *evicted}
        for block in touched:
            self._unproven.pop(block, None)
        self._note(touched)
        self._clear_suspects(touched)
        return gap

    def reset(self) -> None:
        """Forget everything, as when the engine may have restarted."""
        if self.cached.blocks:
            self.cached.blocks.clear()
            self._unproven.clear()
            self._clear_suspects(set(self._suspects))
            self._rebuilt = True
        self.cached.last_sequence = 0

    def confirm(self, blocks: tuple[PrefixBlock, ...], now_s: float) -> None:
        """Add blocks that a finished prefill has left in the cache."""
        fresh = set()
        for block in blocks:
            if block not in self.cached.blocks or block in self._unproven:
                self._unproven[block] = now_s
                fresh.add(block)
        added = fresh - self.cached.blocks
        self.cached.blocks.update(added)
        self._note(added)
        self._clear_suspects(fresh)

    def expire(self, now_s: float) -> None:
        """Drop blocks that no event and no use has shown for long."""
        # The event of their eviction may have come before the confirmation.
        oldest_s = now_s - UNPROVEN_TTL_S
        expired = {b for b, seen_s in self._unproven.items() if seen_s < oldest_s}
        for block in expired:
            del self._unproven[block]
        self.cached.blocks.difference_update(expired)
        self._note(expired)
        self._clear_suspects(expired)

    def take_change(self) -> CacheChange | None:
        """Return what changed since the last call, or None without a change."""
        turned = self.cached.uncertain != self._reported_uncertain
        if not (self._rebuilt or self._stored or self._evicted or turned):
            return None
        self._reported_uncertain = self.cached.uncertain
        previous = self._steps
        self._steps += 1
        change = CacheChange(
            previous=previous,
            sequence=self._steps,
            stored=tuple(self._stored),
            evicted=tuple(self._evicted),
            uncertain=self.cached.uncertain,
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
            uncertain=self.cached.uncertain,
        )

    def _clear_suspects(self, cleared: set[PrefixBlock]) -> None:
        self._suspects -= cleared
        self.cached.uncertain = bool(self._suspects)

    def _note(self, touched: set[PrefixBlock]) -> None:
        for block in touched:
            present = block in self.cached.blocks
            (self._stored if present else self._evicted).add(block)
            (self._evicted if present else self._stored).discard(block)
