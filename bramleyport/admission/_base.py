"""Interface of admission policies and their decisions."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Explanation, Registry, UpstreamView, Work


@dataclass(frozen=True, slots=True)
class Admitted:
    """Describe the decision to accept a request."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class Rejected:
    """Describe the decision to reject a request, and when the caller may retry."""

    explanation: Explanation
    retry_after_s: float


class AdmissionPolicy(Protocol):
    """Decide whether an entry accepts a request."""

    def admit(
        self, work: Work, views: Sequence[UpstreamView], now_s: float
    ) -> Admitted | Rejected:
        """Decide whether to accept the work."""
        ...


ADMISSION_POLICIES: Final[Registry[AdmissionPolicy]] = Registry("admission policy")
