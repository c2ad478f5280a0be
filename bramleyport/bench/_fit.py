"""Fit a line through measurements at several sizes."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """Describe one measurement."""

    size: float
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Describe a fitted line and its largest error relative to the largest value."""

    slope: float
    intercept: float
    error: float


def fit_line(points: Sequence[Point]) -> Line:
    """Return the least-squares line through three or more points."""
    if len(points) < 3:
        raise ValueError("a slope needs measurements at three or more sizes")
    mean_size = sum(point.size for point in points) / len(points)
    mean_value = sum(point.value for point in points) / len(points)
    size_variance = sum((point.size - mean_size) ** 2 for point in points)
    covariance = sum((p.size - mean_size) * (p.value - mean_value) for p in points)
    slope = covariance / size_variance
    intercept = mean_value - slope * mean_size
    largest = max(abs(point.value) for point in points) or 1.0
    error = max(abs(p.value - intercept - slope * p.size) for p in points) / largest
    return Line(slope=slope, intercept=intercept, error=error)
