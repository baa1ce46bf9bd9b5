"""Waiting requests in deadline order, with the work ahead of any deadline."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from itertools import count
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["DeadlineList"]

T = TypeVar("T")


class DeadlineList(Generic[T]):
    """Keep items by deadline, first come first of equal ones.

    A change costs O(log n) comparisons and one move of memory; `work_ahead_s` sums in one pass
    of compiled code. Lists are bounded by the queue's limit of a few hundred, where this is
    cheaper than a balanced tree.
    """

    def __init__(self) -> None:
        self._order: list[tuple[float, int]] = []
        self._items: list[T] = []
        self._work_s: list[float] = []
        self._place_by_item: dict[T, tuple[float, int]] = {}
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: T) -> bool:
        return item in self._place_by_item

    def __iter__(self) -> Iterator[tuple[T, float]]:
        """Yield each item and its work, earliest deadline first."""
        return zip(tuple(self._items), tuple(self._work_s), strict=True)

    def add(self, item: T, deadline_s: float, work_s: float) -> None:
        """Insert `item`, expected to keep a slot for `work_s`."""
        place = (deadline_s, next(self._sequence))
        index = bisect_right(self._order, place)
        self._order.insert(index, place)
        self._items.insert(index, item)
        self._work_s.insert(index, work_s)
        self._place_by_item[item] = place

    def remove(self, item: T) -> float:
        """Remove `item` and return its work; `KeyError` if it is not there."""
        place = self._place_by_item.pop(item)
        index = bisect_left(self._order, place)
        del self._order[index]
        del self._items[index]
        return self._work_s.pop(index)

    def first(self) -> T | None:
        """Return the item with the earliest deadline."""
        return self._items[0] if self._items else None

    def last_until(self, deadline_s: float) -> T | None:
        """Return the last item whose deadline is not after `deadline_s`."""
        index = bisect_right(self._order, (deadline_s, float("inf")))
        return self._items[index - 1] if index else None

    def work_ahead_s(self, deadline_s: float) -> float:
        """Return the work of all items that would run before a new one with this deadline."""
        index = bisect_right(self._order, (deadline_s, float("inf")))
        return sum(self._work_s[:index])
