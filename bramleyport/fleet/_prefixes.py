"""Remember which prompt parts each engine has read."""

from collections import OrderedDict
from collections.abc import Iterable

from bramleyport.core import UpstreamId
from bramleyport.fleet._types import PrefixId, Prompt, PromptPart


class PrefixCache:
    """Model the prefix cache of one engine: least recently used parts yield."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[PrefixId, int] = OrderedDict()
        # Parts that no call has read yet, and how many calls may still read them.
        self._unread: dict[PrefixId, int] = {}
        self._tokens = 0

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are cached or being read."""
        return self._count(parts, read_only=False)

    def count_confirmed(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are certainly cached."""
        return self._count(parts, read_only=True)

    def confirm(self, parts: Iterable[PromptPart]) -> None:
        """Note that the engine has read the parts."""
        for part in parts:
            self._unread.pop(part.prefix, None)

    def abandon(self, parts: Iterable[PromptPart]) -> None:
        """Drop what only a call would have read that ended before."""
        for part in parts:
            readers = self._unread.get(part.prefix)
            if readers is None:
                continue
            if readers > 1:
                self._unread[part.prefix] = readers - 1
                continue
            del self._unread[part.prefix]
            self._tokens -= self._parts.pop(part.prefix)

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Note that the parts are about to be read or used."""
        for part in parts:
            if part.prefix not in self._parts:
                self._unread[part.prefix] = 1
            elif part.prefix in self._unread:
                self._unread[part.prefix] += 1
            self._tokens += part.tokens - self._parts.pop(part.prefix, 0)
            self._parts[part.prefix] = part.tokens
        while self._tokens > self.capacity_tokens and self._parts:
            prefix, tokens = self._parts.popitem(last=False)
            self._unread.pop(prefix, None)
            self._tokens -= tokens

    def _count(self, parts: Iterable[PromptPart], *, read_only: bool) -> int:
        cached = 0
        for part in parts:
            if part.prefix not in self._parts:
                break
            if read_only and part.prefix in self._unread:
                break
            cached += part.tokens
        return cached


class PrefixIndex:
    """Hold the modelled prefix caches of all engines."""

    def __init__(self) -> None:
        self._caches: dict[UpstreamId, PrefixCache] = {}

    def count_cached(self, upstream: UpstreamId, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an engine has cached."""
        cache = self._caches.get(upstream)
        if cache is None:
            return 0
        return min(prompt.tokens_in, cache.count_cached(prompt.parts))

    def count_confirmed(self, upstream: UpstreamId, prompt: Prompt) -> int:
        """Return how many tokens of a prompt another engine can fetch from this one."""
        cache = self._caches.get(upstream)
        return cache.count_confirmed(prompt.parts) if cache else 0

    def confirm(self, upstream: UpstreamId, parts: Iterable[PromptPart]) -> None:
        """Note that an engine has read the parts."""
        cache = self._caches.get(upstream)
        if cache is not None:
            cache.confirm(parts)

    def abandon(self, upstream: UpstreamId, parts: Iterable[PromptPart]) -> None:
        """Note that a call ended before an engine had read its prompt."""
        cache = self._caches.get(upstream)
        if cache is not None:
            cache.abandon(parts)

    def add(
        self, upstream: UpstreamId, parts: Iterable[PromptPart], capacity_tokens: int
    ) -> None:
        """Note that an engine reads the parts."""
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = PrefixCache(capacity_tokens)
        cache.add(parts)

    def remove(self, upstream: UpstreamId) -> None:
        """Drop the cache of an engine that is gone or has started again."""
        self._caches.pop(upstream, None)
