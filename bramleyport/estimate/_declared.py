"""Baseline estimator that uses declared output limits and reported rates."""

from bramleyport.core import Rank, UpstreamView, Work
from bramleyport.estimate._base import ESTIMATORS, Estimate, Observation


@ESTIMATORS.register("declared")
class DeclaredEstimator:
    """Use the caller's output limit as the expected output length."""

    def estimate(self, work: Work, view: UpstreamView) -> Estimate:
        """Forecast the cost of the work on the upstream."""
        cached_blocks = view.cached.count_cached(work.prefix_blocks)
        uncached = max(0, work.prompt_tokens - cached_blocks * view.block_tokens)
        return Estimate(
            prefill_s=uncached / view.rates.prefill_tokens_per_s,
            decode_s=work.max_output_tokens / view.rates.decode_tokens_per_s,
            output_tokens=work.max_output_tokens,
            output_spread=0.0,
            wait_s=self._forecast_wait(work.rank, view),
        )

    def observe(self, observation: Observation) -> None:
        """Ignore the observation: this estimator does not learn."""

    def _forecast_wait(self, rank: Rank, view: UpstreamView) -> float:
        sent_s = view.sent.prefill_tokens / view.rates.prefill_tokens_per_s
        return view.load.wait_s.get(rank, 0.0) + sent_s
