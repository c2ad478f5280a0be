"""Track which prompt parts each engine has cached."""

from collections import OrderedDict
from collections.abc import Iterable

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import PrefixId, Prompt, PromptPart


class PrefixCache:
    """Model the prefix cache of one engine, with eviction in LRU order."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[PrefixId, int] = OrderedDict()
        # Parts that no call has prefilled yet, with the number of calls that will.
        self._pending: dict[PrefixId, int] = {}
        self._tokens = 0

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are cached or will be."""
        return self._count(parts, confirmed_only=False)

    def count_confirmed(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are known to be cached."""
        return self._count(parts, confirmed_only=True)

    def confirm(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine has prefilled the parts."""
        for part in parts:
            self._pending.pop(part.prefix, None)

    def abandon(self, parts: Iterable[PromptPart]) -> None:
        """Remove the parts of a call that ended before its prefill.

        Parts that are cached already, or that other calls will prefill too, are kept.
        """
        for part in parts:
            pending_calls = self._pending.get(part.prefix)
            if pending_calls is None:
                continue
            if pending_calls > 1:
                self._pending[part.prefix] = pending_calls - 1
                continue
            del self._pending[part.prefix]
            self._tokens -= self._parts.pop(part.prefix)

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Record that the parts are about to be prefilled or used."""
        for part in parts:
            if part.prefix not in self._parts:
                self._pending[part.prefix] = 1
            elif part.prefix in self._pending:
                self._pending[part.prefix] += 1
            self._tokens += part.tokens - self._parts.pop(part.prefix, 0)
            self._parts[part.prefix] = part.tokens
        while self._tokens > self.capacity_tokens and self._parts:
            prefix, tokens = self._parts.popitem(last=False)
            self._pending.pop(prefix, None)
            self._tokens -= tokens

    def _count(self, parts: Iterable[PromptPart], *, confirmed_only: bool) -> int:
        cached = 0
        for part in parts:
            if part.prefix not in self._parts:
                break
            if confirmed_only and part.prefix in self._pending:
                break
            cached += part.tokens
        return cached


class PrefixIndex:
    """Track the modelled prefix caches of all engines."""

    def __init__(self) -> None:
        self._caches: dict[UpstreamId, PrefixCache] = {}

    def count_cached(self, upstream: UpstreamId, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an engine has cached or will have."""
        cache = self._caches.get(upstream)
        if cache is None:
            return 0
        return min(prompt.tokens_in, cache.count_cached(prompt.parts))

    def count_confirmed(self, upstream: UpstreamId, prompt: Prompt) -> int:
        """Return how many tokens of a prompt another engine can fetch from this one."""
        cache = self._caches.get(upstream)
        return cache.count_confirmed(prompt.parts) if cache else 0

    def confirm(self, upstream: UpstreamId, parts: Iterable[PromptPart]) -> None:
        """Record that an engine has prefilled the parts."""
        cache = self._caches.get(upstream)
        if cache is not None:
            cache.confirm(parts)

    def abandon(self, upstream: UpstreamId, parts: Iterable[PromptPart]) -> None:
        """Record that a call ended before an engine had prefilled its prompt."""
        cache = self._caches.get(upstream)
        if cache is not None:
            cache.abandon(parts)

    def add(
        self, upstream: UpstreamId, parts: Iterable[PromptPart], capacity_tokens: int
    ) -> None:
        """Record that an engine is about to prefill or use the parts."""
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = PrefixCache(capacity_tokens)
        cache.add(parts)

    def discard(self, upstream: UpstreamId) -> None:
        """Drop the cache of an engine that is gone or has restarted."""
        self._caches.pop(upstream, None)
