"""Cost of work: prefill and decode time, output length, queue wait."""

from bramleyport.estimate import _declared as _declared, _learned as _learned
from bramleyport.estimate._base import ESTIMATORS, Estimate, Estimator, Observation

__all__ = ["ESTIMATORS", "Estimate", "Estimator", "Observation"]
