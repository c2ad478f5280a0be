"""Views of engines' prefix caches that detect gaps in reports and recover."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import BlockIndex, CachedPrefixes, PrefixBlock

# Long enough for a full report to arrive; a lost report is requested again after this
# time.
REQUEST_INTERVAL_S: Final = 5.0
# Longer than most pauses between requests with the same prefix, so that blocks in use
# are kept. A block whose eviction was missed is dropped after this time.
UNCONFIRMED_TTL_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheChange:
    """Describe how a cache changed between two sequence numbers.

    A full change lists every cached block in `stored` and replaces the whole view.
    """

    previous: int
    sequence: int
    stored: tuple[PrefixBlock, ...] = ()
    evicted: tuple[PrefixBlock, ...] = ()
    full: bool = False
    uncertain: bool = False


class CacheFollower:
    """Track the cache of one engine from the changes that its agent reports.

    A change that does not follow the previous one leaves a gap, and the view is
    uncertain until a requested full change arrives. The view is also uncertain while
    that of the sender is, which a full change does not resolve.
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
        """Return whether to request a full report now, and record the request."""
        if not self._gap:
            return False
        requested_s = self._requested_s
        if requested_s is not None and now_s - requested_s < REQUEST_INTERVAL_S:
            return False
        self._requested_s = now_s
        return True

    def reset_request(self) -> None:
        """Allow a new request at once, as after the loss of a connection."""
        self._requested_s = None


class CacheRecorder:
    """Track the cache of one engine from its events, which may have gaps.

    An engine does not repeat lost events. After a gap, each block known before may have
    been evicted until an event names it or a request uses it, and is dropped if neither
    happens within UNCONFIRMED_TTL_S. Meanwhile the view is uncertain.
    """

    def __init__(self, cached: CachedPrefixes) -> None:
        self.cached = cached
        self._stored: set[PrefixBlock] = set()
        self._evicted: set[PrefixBlock] = set()
        # Blocks that no event confirms, and when a request last used them.
        self._unconfirmed: dict[PrefixBlock, float] = {}
        self._maybe_evicted: set[PrefixBlock] = set()
        self._was_reset = False
        self._reported_uncertain = False
        self._sequence = 0

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
            self._maybe_evicted |= cached.blocks
            self._unconfirmed.update(dict.fromkeys(cached.blocks, now_s))
        cached.last_sequence = sequence
        cached.blocks.update(stored)
        cached.blocks.difference_update(evicted)
        touched = {*stored, *evicted}
        for block in touched:
            self._unconfirmed.pop(block, None)
        self._record_touched(touched)
        self._clear_maybe_evicted(touched)
        return gap

    def reset(self) -> None:
        """Drop all blocks, as the engine may have restarted."""
        if self.cached.blocks:
            self.cached.blocks.clear()
            self._unconfirmed.clear()
            self._clear_maybe_evicted(set(self._maybe_evicted))
            self._was_reset = True
        self.cached.last_sequence = 0

    def confirm(self, blocks: tuple[PrefixBlock, ...], now_s: float) -> None:
        """Add blocks that a finished prefill has left in the cache."""
        confirmed = set()
        for block in blocks:
            if block not in self.cached.blocks or block in self._unconfirmed:
                self._unconfirmed[block] = now_s
                confirmed.add(block)
        added = confirmed - self.cached.blocks
        self.cached.blocks.update(added)
        self._record_touched(added)
        self._clear_maybe_evicted(confirmed)

    def expire(self, now_s: float) -> None:
        """Drop blocks that neither an event nor a request has confirmed in time."""
        # The event of their eviction may have preceded the confirmation.
        oldest_s = now_s - UNCONFIRMED_TTL_S
        expired = {b for b, seen_s in self._unconfirmed.items() if seen_s < oldest_s}
        for block in expired:
            del self._unconfirmed[block]
        self.cached.blocks.difference_update(expired)
        self._record_touched(expired)
        self._clear_maybe_evicted(expired)

    def take_change(self) -> CacheChange | None:
        """Return the change since the last call, or None if there is none."""
        uncertainty_changed = self.cached.uncertain != self._reported_uncertain
        if not (
            self._was_reset or self._stored or self._evicted or uncertainty_changed
        ):
            return None
        self._reported_uncertain = self.cached.uncertain
        previous = self._sequence
        self._sequence += 1
        change = CacheChange(
            previous=previous,
            sequence=self._sequence,
            stored=tuple(self._stored),
            evicted=tuple(self._evicted),
            uncertain=self.cached.uncertain,
        )
        if self._was_reset:
            change = self.make_full()
        self._stored.clear()
        self._evicted.clear()
        self._was_reset = False
        return change

    def make_full(self) -> CacheChange:
        """Return the whole view with the sequence number of the last change."""
        # This includes blocks of the next change; applying them twice is harmless.
        return CacheChange(
            previous=self._sequence,
            sequence=self._sequence,
            stored=tuple(self.cached.blocks),
            full=True,
            uncertain=self.cached.uncertain,
        )

    def _clear_maybe_evicted(self, cleared: set[PrefixBlock]) -> None:
        self._maybe_evicted -= cleared
        self.cached.uncertain = bool(self._maybe_evicted)

    def _record_touched(self, touched: set[PrefixBlock]) -> None:
        for block in touched:
            present = block in self.cached.blocks
            (self._stored if present else self._evicted).add(block)
            (self._evicted if present else self._stored).discard(block)
