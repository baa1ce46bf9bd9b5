"""Indexes for planning: request rates by range of keys, and sets of ranges."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["RangeSet", "RateIndex"]


class RateIndex:
    """Sum request rates over ranges of keys, both ends inclusive."""

    def __init__(self, rates: Mapping[int, float]) -> None:
        self._keys = sorted(rates)
        self._rates = [rates[key] for key in self._keys]
        self._sums = [0.0, *accumulate(self._rates)]

    def rate_in(self, first: int, last: int) -> float:
        """Return the requests per second for a range."""
        return (
            self._sums[bisect_right(self._keys, last)] - self._sums[bisect_left(self._keys, first)]
        )

    def items_in(self, first: int, last: int) -> list[tuple[int, float]]:
        """Return the keys of a range that have a rate, in order, each with its rate."""
        start, end = bisect_left(self._keys, first), bisect_right(self._keys, last)
        return list(zip(self._keys[start:end], self._rates[start:end], strict=True))


class RangeSet:
    """Tell whether a range of keys overlaps any of a set of ranges."""

    def __init__(self, ranges: Iterable[tuple[int, int]]) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for first, last in sorted(ranges):
            if self._lasts and first <= self._lasts[-1]:
                self._lasts[-1] = max(self._lasts[-1], last)
            else:
                self._firsts.append(first)
                self._lasts.append(last)

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a key of the range is in one of the set."""
        position = bisect_right(self._firsts, last) - 1
        return position >= 0 and self._lasts[position] >= first
