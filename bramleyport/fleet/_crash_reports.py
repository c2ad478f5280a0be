"""Types of what gateways tell each other of crashes and their causes."""

from dataclasses import dataclass, field

from bramleyport.core import UpstreamId
from bramleyport.fleet._traits import TraitId, is_request


@dataclass(frozen=True, slots=True)
class CrashId:
    """Identify a crash by the process of the upstream that ended."""

    upstream: UpstreamId
    # Start of the process in Unix milliseconds.
    started_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """Describe a call that was at an upstream when this crashed."""

    crash: CrashId
    at_s: float = field(compare=False)
    traits: frozenset[TraitId]
    # Those with which no answered call was known to the gateway that reports; of
    # requests, no several calls of the last minute.
    unproven: frozenset[TraitId]
    # The head of the answer had arrived and no event: the call may well be the one that
    # its upstream crashed under.
    answer_began: bool = False
    # Time since the first event of the answer; None if it had none.
    ran_s: float | None = None

    @property
    def contestable(self) -> frozenset[TraitId]:
        """Return the traits that a single answer may clear: all but proven parts."""
        return self.unproven.union(filter(is_request, self.traits))


@dataclass(frozen=True, slots=True)
class HarmlessTrait:
    """Describe a trait by the time at which a call with it was last answered."""

    trait: TraitId
    answered_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Describe a trait under which upstreams crash."""

    trait: TraitId
    # Calls are withheld if they have all of these: the trait itself, and those that
    # every accused call had and that are not known to be harmless.
    companions: frozenset[TraitId]
    crashes: int
