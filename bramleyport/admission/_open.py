"""Baseline admission policy: accept a request if any upstream can serve it."""

from collections.abc import Sequence
from typing import Final

from bramleyport.admission._base import ADMISSION_POLICIES, Admitted, Rejected
from bramleyport.core import Explanation, UpstreamView, Work
from bramleyport.estimate import Estimator

NO_UPSTREAM_RETRY_S: Final = 1.0


@ADMISSION_POLICIES.register("open")
class OpenAdmission:
    """Accept every request for which there is an upstream."""

    def __init__(self, estimator: Estimator) -> None:
        self._estimator = estimator

    def admit(
        self, work: Work, views: Sequence[UpstreamView], now_s: float
    ) -> Admitted | Rejected:
        """Decide whether to accept the work."""
        if not views:
            return Rejected(Explanation(reason="no_upstream"), NO_UPSTREAM_RETRY_S)
        return Admitted(Explanation(reason="open"))
