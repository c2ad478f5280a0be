"""Benchmarks of policy, recovery and capacity."""
