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
        self._tokens = 0

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that are cached."""
        cached = 0
        for part in parts:
            if part.prefix not in self._parts:
                break
            cached += part.tokens
        return cached

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Note that the parts were read or used just now."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.prefix, 0)
            self._parts[part.prefix] = part.tokens
        while self._tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


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

    def add(
        self, upstream: UpstreamId, parts: Iterable[PromptPart], capacity_tokens: int
    ) -> None:
        """Note that an engine reads the parts."""
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = PrefixCache(capacity_tokens)
        cache.add(parts)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the cache of an engine that is gone or has started again."""
        self._caches.pop(upstream, None)
