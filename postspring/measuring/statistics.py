"""Figures from repeated runs."""

from collections.abc import Sequence
import math

__all__ = ["describe", "fit_line", "median", "percentile"]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie.

    Examples
    --------
    >>> percentile([4, 1, 3, 2], 0.5)
    2
    """
    ordered = sorted(values)
    index = max(0, math.ceil(share * len(ordered)) - 1)
    return ordered[index]


def median(values: Sequence[float]) -> float:
    """Return the median, the mean of the middle two for an even count.

    Examples
    --------
    >>> median([1, 2, 3, 10])
    2.5
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def describe(values: Sequence[float]) -> str:
    """Return median and spread in a few words."""
    return (
        f"median {median(values):.4g} "
        f"(least {min(values):.4g}, most {max(values):.4g}, "
        f"{len(values)} runs)"
    )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple:
    """Return slope, intercept and the largest relative residual.

    Examples
    --------
    >>> fit_line([(1, 3), (2, 5), (3, 7)])
    (2.0, 1.0, 0.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(
        abs(slope * x + intercept - y) / max(abs(y), 1e-12) for x, y in points
    )
    return slope, intercept, residual
