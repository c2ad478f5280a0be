"""Estimators of prefill time, decode time, output length and queue wait."""

from bramleyport.estimate._base import ESTIMATORS, Estimate, Estimator, Observation
from bramleyport.estimate._declared import DeclaredEstimator
from bramleyport.estimate._learned import LearnedEstimator

__all__ = [
    "ESTIMATORS",
    "DeclaredEstimator",
    "Estimate",
    "Estimator",
    "LearnedEstimator",
    "Observation",
]
