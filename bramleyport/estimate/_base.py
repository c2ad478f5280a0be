"""Interface of estimators and the values they exchange."""

from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Registry, UpstreamId, UpstreamView, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Forecast the cost of one request on one upstream."""

    prefill_s: float
    decode_s: float
    output_tokens: float
    output_spread: float
    wait_s: float
    # Zero where the estimator has no figure.
    between_tokens_s: float = 0.0
    spread_s: float = 0.0

    @property
    def first_token_s(self) -> float:
        """Return the forecast time to the first token."""
        return self.wait_s + self.prefill_s

    @property
    def answer_s(self) -> float:
        """Return the forecast time to the whole answer."""
        return self.wait_s + self.prefill_s + self.decode_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """Report how one request went on one upstream."""

    work: Work
    upstream: UpstreamId
    output_tokens: int
    cached_tokens: int
    wait_s: float
    prefill_s: float
    decode_s: float


class Estimator(Protocol):
    """Forecast cost and learn from what happened."""

    def estimate(self, work: Work, view: UpstreamView) -> Estimate:
        """Forecast the cost of the work on the upstream."""
        ...

    def observe(self, observation: Observation) -> None:
        """Learn from a finished request."""
        ...


ESTIMATORS: Final[Registry[Estimator]] = Registry("estimator")
