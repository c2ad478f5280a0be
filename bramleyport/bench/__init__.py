"""Benchmarks of policies, recovery and capacity."""
