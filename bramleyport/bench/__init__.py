"""Benchmarks of the decision modules."""

from bramleyport.bench._command import bench, policy

__all__ = ["bench", "policy"]
