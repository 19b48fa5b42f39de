"""Straight lines through measured points, with their error."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """What was measured at one size."""

    size: float
    measured: float


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    :param slope: of the measured figure for each unit of size.
    :param base: the figure at size 0.
    :param error: standard error of the slope.
    """

    slope: float
    base: float
    error: float


def fit_line(points: Sequence[Point]) -> Line:
    """Fit a line through three points or more."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean = sum(point.measured for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    shared = sum((point.size - mean_size) * (point.measured - mean) for point in points)
    slope = shared / spread
    base = mean - slope * mean_size
    rest = sum((point.measured - base - slope * point.size) ** 2 for point in points)
    return Line(slope, base, math.sqrt(rest / (count - 2) / spread))
