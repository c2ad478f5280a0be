"""Interface of admission policies and their decisions."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Explanation, Registry, UpstreamView, Work


@dataclass(frozen=True, slots=True)
class Admitted:
    """Accept a request."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class Rejected:
    """Reject a request at once and say when to try again."""

    explanation: Explanation
    retry_after_s: float


class AdmissionPolicy(Protocol):
    """Accept a request only if it is expected to finish in time."""

    def admit(
        self, work: Work, views: Sequence[UpstreamView], now_s: float
    ) -> Admitted | Rejected:
        """Decide whether to accept the work."""
        ...


ADMISSION_POLICIES: Final[Registry[AdmissionPolicy]] = Registry("admission policy")
