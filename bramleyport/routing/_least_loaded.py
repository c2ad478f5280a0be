"""Baseline routing to the upstream with the fewest requests."""

from collections.abc import Sequence
from random import Random

from bramleyport.core import Explanation, Place, UpstreamView, Work
from bramleyport.estimate import Estimator
from bramleyport.routing._base import ROUTING_POLICIES, Route
from bramleyport.routing._transfer import TransferCost


@ROUTING_POLICIES.register("least_loaded")
class LeastLoadedRouting:
    """Choose the upstream with the fewest requests, ignoring caches and roles."""

    def __init__(
        self,
        estimator: Estimator,
        place: Place | None = None,
        transfer: TransferCost | None = None,
    ) -> None:
        self._estimator = estimator

    def choose(
        self, work: Work, views: Sequence[UpstreamView], now_s: float, rng: Random
    ) -> Route | None:
        """Choose among the eligible upstreams; return None if there are none."""
        if not views:
            return None
        best = min(views, key=lambda view: (_count_requests(view), rng.random()))
        numbers = {"requests": float(_count_requests(best))}
        return Route(
            upstream=best.upstream,
            explanation=Explanation(reason="least_loaded", numbers=numbers),
        )


def _count_requests(view: UpstreamView) -> int:
    return view.load.running + view.load.queued + view.sent.requests
