"""Run the benchmarks with `python -m bramleyport.bench`."""

from bramleyport.bench._command import bench

bench()
