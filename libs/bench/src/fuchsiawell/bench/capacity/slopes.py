"""Straight lines through measured sizes, with what they leave unexplained."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import dataclass
from statistics import linear_regression
from time import process_time
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = ["Line", "cpu_us", "fit", "memory_bytes", "report"]

REPEATS = 5  # the least of so many is taken, since other processes only add time
MIN_BATCH_S = 0.02  # of processor time for one timing


@dataclass(frozen=True, slots=True)
class Line:
    """Hold a least-squares line and its largest distance from a point, relative to that point."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line through at least three points of different sizes."""
    if len(points) < 3:
        raise ValueError(f"a slope needs three sizes, not {len(points)}")
    sizes, values = zip(*points, strict=True)
    slope, intercept = linear_regression(sizes, values)
    residual = max(
        abs(intercept + slope * size - value) / value if value else 0.0 for size, value in points
    )
    return Line(slope, intercept, residual)


def cpu_us(action: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds, the least of several batches."""
    count = 1
    while _batch_s(action, count) < MIN_BATCH_S:
        count *= 4
    return min(_batch_s(action, count) for _ in range(REPEATS)) / count * 1e6


def memory_bytes(build: Callable[[], object]) -> int:
    """Return the memory that the built object keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def report(
    name: str, unit: str, per: str, points: Sequence[tuple[float, float]]
) -> Iterator[Measurement]:
    """Yield each point, then the slope, the intercept and the residual of their line."""
    for size, value in points:
        yield Measurement(f"capacity/{name}/{size:g} {per}", value, unit, None, 1)
    line, n = fit(points), len(points)
    yield Measurement(f"capacity/{name}/slope", line.slope, f"{unit} a {per}", None, n)
    yield Measurement(f"capacity/{name}/intercept", line.intercept, unit, None, n)
    yield Measurement(f"capacity/{name}/residual", line.residual, "of a point", None, n)


def _batch_s(action: Callable[[], object], count: int) -> float:
    start_s = process_time()
    for _ in range(count):
        action()
    return process_time() - start_s
