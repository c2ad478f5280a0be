"""Know which software version began a stream that may go on."""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Final

from bramleyport.core import RequestId, ServiceName
from bramleyport.fleet._types import SoftwareVersion
from bramleyport.fleet._version_shares import VersionShares

# Time for which streams are known before the first configuration.
DEFAULT_KEEP_S: Final = 60.0
# Bound of the memory for streams that have begun; the oldest ones are forgotten first.
MAX_STREAMS: Final = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class BegunStream:
    """Describe a stream by the request that brought its first event."""

    origin: RequestId
    service: ServiceName
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class _KnownShares:
    shares: VersionShares
    # When this gateway first knew of them.
    since_s: float


@dataclass(frozen=True, slots=True)
class _KnownStream:
    stream: BegunStream
    begun_s: float
    # The stream began at this gateway.
    is_own: bool


class StreamVersions:
    """Decide at which version new streams begin and others go on.

    A stream gets its version from its identifier and from shares that the store keeps,
    with all earlier shares that streams may still have. It begins at no other version,
    so what all these shares agree on is certain. Where they disagree on a stream, only
    a gateway that knows it by itself, or was told, can go on with it.
    """

    def __init__(self) -> None:
        # By service; the newest shares last.
        self._shares: dict[ServiceName, list[_KnownShares]] = {}
        self._streams: OrderedDict[RequestId, _KnownStream] = OrderedDict()
        # The own ones whose version can't be deduced, in the order of their beginnings.
        self._ambiguous: dict[RequestId, _KnownStream] = {}
        # Time for which shares are only known before new streams follow them, so that
        # few streams are ambiguous at a gateway which has not read them yet.
        self.activation_s = 0.0
        # Time for which a stream may go on.
        self.keep_s = DEFAULT_KEEP_S

    def list_shares(self, service: ServiceName) -> list[VersionShares]:
        """Return all shares that streams of a service may have, the newest last."""
        return [item.shares for item in self._shares.get(service, ())]

    def set_shares(
        self, service: ServiceName, stored: Sequence[VersionShares], now_s: float
    ) -> list[BegunStream]:
        """Set what the store has; return own streams that are ambiguous now."""
        before = self._shares.get(service, [])
        if [item.shares for item in before] == list(stored):
            return []
        since_s = {item.shares: item.since_s for item in before}
        if before and before[-1].shares != stored[-1]:
            # They may have been in force before, but not since.
            since_s[stored[-1]] = now_s
        self._shares[service] = [
            _KnownShares(shares, since_s.get(shares, now_s)) for shares in stored
        ]
        self._update_ambiguous()
        if len(stored) <= len(before):
            return []
        return [item for item in self.list_ambiguous(now_s) if item.service == service]

    def find_superseded_s(self, service: ServiceName) -> float | None:
        """Return when the oldest shares were superseded, or None if they are not."""
        known = self._shares.get(service, ())
        return known[1].since_s if len(known) > 1 else None

    def choose(
        self,
        service: ServiceName,
        origin: RequestId,
        now_s: float,
        lost: Collection[SoftwareVersion] = (),
    ) -> SoftwareVersion | None:
        """Return the version at which a stream begins.

        Newer shares count before their time for a stream whose version is lost. The
        result is None if no shares are known, or if they give it a lost version.
        """
        known = self._shares.get(service)
        if not known:
            return None
        active = [item for item in known if now_s - item.since_s >= self.activation_s]
        for item in (*active[-1:], known[-1], *self._list_superseded(known, now_s)):
            version = item.shares.choose(origin)
            if version not in lost:
                return version
        return None

    def _list_superseded(
        self, known: Sequence[_KnownShares], now_s: float
    ) -> list[_KnownShares]:
        """Return shares that were the newest ones lately, the last of them first.

        A gateway that does not know an upstream yet for which newer ones were written
        can follow these, and need not have that version's share taken back. Those that
        it never knew as the newest ones may be due to be dropped.
        """
        return [
            item
            for item, newer in reversed(list(pairwise(known)))
            if item.since_s < newer.since_s and now_s - item.since_s < self.activation_s
        ]

    def list_versions(self, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Return the versions that the store knows for a service."""
        return frozenset(
            version
            for item in self._shares.get(service, ())
            for version in item.shares.versions
        )

    def list_recent_versions(
        self, service: ServiceName, now_s: float, recent_s: float
    ) -> frozenset[SoftwareVersion]:
        """Return the versions that new streams have, or had a moment ago."""
        known = self._shares.get(service, [])
        later_ones = [*known[1:], None] if known else []
        return frozenset(
            version
            for item, later in zip(known, later_ones, strict=True)
            if later is None or now_s - later.since_s < recent_s
            for version in item.shares.versions
        )

    def find_stream(self, origin: RequestId, now_s: float) -> BegunStream | None:
        """Return a stream that began here, or of which another gateway told."""
        known = self._streams.get(origin)
        if known is None or now_s - known.begun_s > self.keep_s:
            return None
        return known.stream

    def deduce(
        self,
        service: ServiceName,
        origin: RequestId,
        unshared: Collection[SoftwareVersion] = (),
    ) -> SoftwareVersion | None:
        """Return the version that a stream must have had, or None if it is ambiguous.

        Any of the `unshared` versions may have got streams by shares that are not known
        here. That a version is registered is no reason to name it: streams follow no
        shares that are not in the store.
        """
        known = self._shares.get(service)
        if not known or not self.list_versions(service).issuperset(unshared):
            return None
        chosen = {item.shares.choose(origin) for item in known}
        return chosen.pop() if len(chosen) == 1 else None

    def record_begun(
        self, stream: BegunStream, now_s: float, *, is_own: bool = True
    ) -> bool:
        """Record that a stream has begun; return whether its version is ambiguous."""
        self._drop(stream.origin)
        known = self._streams[stream.origin] = _KnownStream(stream, now_s, is_own)
        while self._streams:
            origin, oldest = next(iter(self._streams.items()))
            is_old = now_s - oldest.begun_s > self.keep_s
            if len(self._streams) <= MAX_STREAMS and not is_old:
                break
            self._drop(origin)
        is_ambiguous = self._is_ambiguous(stream)
        if is_own and is_ambiguous:
            self._ambiguous[stream.origin] = known
        return is_ambiguous

    def list_ambiguous(self, now_s: float) -> list[BegunStream]:
        """Return the own streams of which other gateways have to be told."""
        return [
            item.stream
            for item in self._ambiguous.values()
            if now_s - item.begun_s <= self.keep_s
        ]

    def _drop(self, origin: RequestId) -> None:
        self._streams.pop(origin, None)
        self._ambiguous.pop(origin, None)

    def _update_ambiguous(self) -> None:
        self._ambiguous = {
            origin: item
            for origin, item in self._streams.items()
            if item.is_own and self._is_ambiguous(item.stream)
        }

    def _is_ambiguous(self, stream: BegunStream) -> bool:
        known = self._shares.get(stream.service)
        return not known or any(
            item.shares.choose(stream.origin) != stream.version for item in known
        )
