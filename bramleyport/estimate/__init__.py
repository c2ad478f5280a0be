"""Cost of work: prefill and decode time, output length, queue wait."""

from bramleyport.estimate import _declared as _declared
from bramleyport.estimate._base import ESTIMATORS, Estimate, Estimator, Observation

__all__ = ["ESTIMATORS", "Estimate", "Estimator", "Observation"]
