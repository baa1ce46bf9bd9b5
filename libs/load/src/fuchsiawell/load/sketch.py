"""The busiest keys of a stream in bounded memory."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count
from math import exp, log
from typing import Generic, TypeVar

__all__ = ["HeavyHitters", "Hitter"]

K = TypeVar("K")

MAX_EXPONENT = 60.0  # of the growing weight, before all counts are scaled down
MIN_AGE_S = 1.0  # taken for a younger sketch, which knows too little to divide by


@dataclass(frozen=True, slots=True)
class Hitter(Generic[K]):
    """Hold one key's estimate; the true value is in `rate - error` to `rate`."""

    key: K
    rate: float  # weight a second, decayed
    error: float


class HeavyHitters(Generic[K]):
    """Estimate each key's recent weight a second, for the heaviest keys only.

    A key's rate is overestimated by at most `total rate / capacity` and never underestimated, so
    every key above that bound is held. Old weight halves every `half_life_s`.

    Source: A. Metwally et al., "Efficient computation of frequent and top-k elements in data
    streams", 2005 (space-saving); G. Cormode et al., "Forward decay", 2009.
    """

    def __init__(self, capacity: int, half_life_s: float, now_s: float) -> None:
        if capacity < 1:
            raise ValueError(f"a sketch needs room for one key at least, not {capacity}")
        self._capacity = capacity
        self._decay_per_s = log(2) / half_life_s
        self._origin_s = now_s
        self._start_s = now_s
        self._total = 0.0
        self._count_by_key: dict[K, float] = {}
        self._error_by_key: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = count()

    def add(self, key: K, weight: float, now_s: float) -> None:
        """Count `weight` for `key`; O(log capacity)."""
        scaled = weight * self._scale(now_s)
        self._total += scaled
        found = self._count_by_key.get(key)
        if found is not None:
            self._count_by_key[key] = found + scaled
            return
        floor = self._evict_smallest() if len(self._count_by_key) >= self._capacity else 0.0
        self._count_by_key[key] = floor + scaled
        self._error_by_key[key] = floor
        heappush(self._heap, (floor + scaled, next(self._sequence), key))

    def top(self, limit: int, now_s: float) -> list[Hitter[K]]:
        """Return the heaviest keys, heaviest first."""
        per_s = self._per_s(now_s)
        ranked = sorted(self._count_by_key.items(), key=lambda item: -item[1])[:limit]
        return [Hitter(key, c * per_s, self._error_by_key[key] * per_s) for key, c in ranked]

    def rate(self, key: K, now_s: float) -> float:
        """Return the estimate of one key, 0 if it is not held."""
        found = self._count_by_key.get(key, 0.0)
        return found * self._per_s(now_s)

    def total_rate(self, now_s: float) -> float:
        """Return the decayed weight a second of all keys together."""
        return self._total * self._per_s(now_s)

    def _evict_smallest(self) -> float:
        """Drop the key of the smallest count, and return that count.

        A key's count only grows, so its heap item is a lower bound that is refreshed on sight.
        """
        while True:
            bound, sequence, key = heappop(self._heap)
            current = self._count_by_key[key]
            if current > bound:
                heappush(self._heap, (current, sequence, key))
                continue
            del self._count_by_key[key]
            del self._error_by_key[key]
            return current

    def _per_s(self, now_s: float) -> float:
        """Return what turns a count into weight a second, also while the sketch is young."""
        age_s = max(now_s - self._start_s, MIN_AGE_S)
        seen_share = 1 - exp(-self._decay_per_s * age_s)
        return self._decay_per_s / (self._scale(now_s) * seen_share)

    def _scale(self, now_s: float) -> float:
        exponent = self._decay_per_s * (now_s - self._origin_s)
        if exponent <= MAX_EXPONENT:
            return exp(exponent)
        self._rescale(exp(-min(exponent, 2 * MAX_EXPONENT)))
        self._origin_s = now_s
        return 1.0

    def _rescale(self, factor: float) -> None:
        self._total *= factor
        for key in self._count_by_key:
            self._count_by_key[key] *= factor
            self._error_by_key[key] *= factor
        self._heap = [(c, next(self._sequence), key) for key, c in self._count_by_key.items()]
        heapify(self._heap)
