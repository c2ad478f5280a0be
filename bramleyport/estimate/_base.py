"""Interface of estimators, their input and their output."""

from dataclasses import dataclass
from typing import Final, Protocol

from bramleyport.core import Registry, UpstreamId, UpstreamView, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Describe the forecast cost of one request on one upstream."""

    prefill_s: float
    decode_s: float
    output_tokens: float
    output_spread: float
    wait_s: float
    # Zero if the estimator does not forecast the interval between tokens.
    between_tokens_s: float = 0.0
    spread_s: float = 0.0

    @property
    def first_token_s(self) -> float:
        """Return the forecast time to the first token."""
        return self.wait_s + self.prefill_s

    @property
    def answer_s(self) -> float:
        """Return the forecast time to the complete answer."""
        return self.wait_s + self.prefill_s + self.decode_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """Describe the measured cost of one finished request on one upstream."""

    work: Work
    upstream: UpstreamId
    output_tokens: int
    cached_tokens: int
    wait_s: float
    prefill_s: float
    decode_s: float


class Estimator(Protocol):
    """Forecast the cost of requests and learn from finished ones."""

    def estimate(self, work: Work, view: UpstreamView) -> Estimate:
        """Forecast the cost of the work on the upstream."""
        ...

    def observe(self, observation: Observation) -> None:
        """Learn from a finished request."""
        ...


ESTIMATORS: Final[Registry[Estimator]] = Registry("estimator")
