"""Interface of routing policies and their decisions."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from bramleyport.core import (
    Explanation,
    Registry,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    Work,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Describe the upstream of a request, and that for decode if it is split."""

    upstream: UpstreamId
    decode_upstream: UpstreamId | None = None
    # Forecast until prefill ends; 0 if the policy makes no forecast.
    prefill_s: float = 0.0
    explanation: Explanation


class RoutingPolicy(Protocol):
    """Choose an upstream for each request."""

    def choose(
        self, work: Work, views: Sequence[UpstreamView], now_s: float, rng: Random
    ) -> Route | None:
        """Choose among the eligible upstreams; return None if there are none."""
        ...


ROUTING_POLICIES: Final[Registry[RoutingPolicy]] = Registry("routing policy")


def is_eligible(work: Work, view: UpstreamView) -> bool:
    """Return whether an upstream can take the work at all."""
    if view.state is not UpstreamState.LIVE or view.kind is not work.kind:
        return False
    if work.kind is ServiceKind.PLAIN:
        return work.service in view.services
    return work.model in view.models
