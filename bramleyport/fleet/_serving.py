"""Describe which upstreams of a service can serve some calls, now or soon."""

from dataclasses import dataclass

from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet._types import Registration, SoftwareVersion, Stage


@dataclass(frozen=True, slots=True)
class ServingScope:
    """Select the upstreams that may write the answers of some calls."""

    service: ServiceName
    # None if upstreams of all versions may.
    versions: frozenset[SoftwareVersion] | None = None

    def includes(self, item: Registration) -> bool:
        """Return whether an upstream may write the answers, in one of its stages."""
        if item.service != self.service:
            return False
        return self.versions is None or item.version in self.versions


@dataclass(frozen=True, slots=True)
class AbsentUpstream:
    """Describe an upstream that can't be used now and is expected back."""

    registration: Registration
    # When it can be used; None if it may be back at any time.
    due_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingGroup:
    """Describe the upstreams in a scope that write answers."""

    ready: tuple[Registration, ...]
    absent: tuple[AbsentUpstream, ...] = ()

    @property
    def names(self) -> frozenset[UpstreamId]:
        """Return the upstreams that can be used now."""
        return frozenset(item.upstream for item in self.ready)

    @property
    def versions(self) -> frozenset[SoftwareVersion]:
        """Return the software versions that can be used now."""
        return frozenset(item.version for item in self.ready)

    @property
    def is_returning(self) -> bool:
        """Return whether nothing can be used now, but something is expected back."""
        return bool(self.absent) and not self.ready

    def find_due_s(self, now_s: float) -> float | None:
        """Return the first moment at which an absent upstream may be back."""
        due_s = (now_s if item.due_s is None else item.due_s for item in self.absent)
        return min(due_s, default=None)


def writes_answers(item: Registration) -> bool:
    """Return whether an upstream runs calls to their end in its present stage."""
    return item.stage is not Stage.PREFILL
