"""Request rates by key, from the reports of the daemons; older counts weigh less."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["KeyCounter", "KeyRates"]

# Half-lives of a count. The short one detects keys that become hot or cold within one or two
# seconds; the long one keeps single random requests from moving keys with little load.
SHORT_HALF_LIFE_S = 1.0
LONG_HALF_LIFE_S = 5.0
# A key has become hot when its short-term rate exceeds the long-term rate by this factor and by
# this many requests per second. It has become cold when its short-term rate is below `FALL_RATIO`
# of a long-term rate above `RISE_PER_S`.
RISE_FACTOR, RISE_PER_S = 2.0, 1.5
FALL_RATIO = 0.4
# Busy keys are close to one another: where this many adjacent keys become hot or cold together, few
# requests for each of them tell it. The higher margin keeps chance from doing so.
REGION_KEYS, REGION_RISE_PER_S = 256, 6.0
# Their sum shows a rise sooner than each key does: after 0.9 s this half-life has seen 7/8 of it,
# where the short one has seen less than half. The margin is 7 deviations of the sum at one request
# per second.
QUICK_HALF_LIFE_S, QUICK_RISE_PER_S = 0.3, 8.0
# A region stays hot until the long-term rate has nearly reached the short-term one: the long-term
# rate alone would be half of the true one five seconds after the rise.
STAY_FACTOR = 1.3
# Lower rates are dropped.
NEGLIGIBLE_PER_S = 0.02
# Rates are decayed at least once in this many half-lives.
MAX_HALF_LIVES = 20.0
# The keys with the most requests are reported.
MAX_REPORTED_KEYS = 300


class KeyCounter:
    """Count this daemon's requests by key until the next report."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def count(self, key: int, units: int = 1) -> None:
        """Count a request for `key` as so many requests of the slowest route."""
        if units:
            self._counts[key] += units

    def flush(self) -> dict[int, int]:
        """Return and clear the counts since the last call, at most `MAX_REPORTED_KEYS` of them."""
        counts = dict(self._counts.most_common(MAX_REPORTED_KEYS))
        self._counts.clear()
        return counts


class KeyRates:
    """Requests per second by key."""

    def __init__(self) -> None:
        self._short_term = _DecayingRates(SHORT_HALF_LIFE_S)
        self._long_term = _DecayingRates(LONG_HALF_LIFE_S)
        self._quick = _DecayingRates(QUICK_HALF_LIFE_S)

    def add(self, counts: Mapping[int, int], now_s: float) -> None:
        """Add the counts of a report."""
        self._short_term.add(counts, now_s)
        self._long_term.add(counts, now_s)
        self._quick.add(counts, now_s)

    def rates(self, now_s: float) -> dict[int, float]:
        """Return the long-term rates; the short-term ones for keys that became hot or cold."""
        short_term, long_term = self._short_term.at(now_s), self._long_term.at(now_s)
        quick = self._quick.at(now_s)
        rates: dict[int, float] = {}
        # The keys that have not changed by themselves.
        keys_by_region: dict[int, list[int]] = {}
        for key in short_term.keys() | long_term.keys():
            short_rate, long_rate = short_term.get(key, 0.0), long_term.get(key, 0.0)
            if _has_changed(short_rate, long_rate, RISE_PER_S):
                rates[key] = short_rate
                continue
            rates[key] = long_rate
            keys_by_region.setdefault(key // REGION_KEYS, []).append(key)
        for keys in keys_by_region.values():
            short_sum, long_sum, quick_sum = (
                sum(by_key.get(key, 0.0) for key in keys)
                for by_key in (short_term, long_term, quick)
            )
            rises = quick_sum > max(RISE_FACTOR * long_sum, long_sum + QUICK_RISE_PER_S)
            stays = short_sum > max(STAY_FACTOR * long_sum, long_sum + REGION_RISE_PER_S)
            if rises or stays or _has_changed(short_sum, long_sum, REGION_RISE_PER_S):
                scale = max(1.0, quick_sum / short_sum) if rises and short_sum else 1.0
                for key in keys:
                    rates[key] = scale * short_term.get(key, 0.0)
        return rates


def _has_changed(short_rate: float, long_rate: float, rise_per_s: float) -> bool:
    """Return whether the short-term rate shows that keys became hot or cold."""
    became_hot = short_rate > RISE_FACTOR * long_rate and short_rate > long_rate + rise_per_s
    return became_hot or (short_rate < FALL_RATIO * long_rate and long_rate > rise_per_s)


class _DecayingRates:
    """Rates that decay exponentially.

    They are kept as they would be at `_reference_s` without any decay since, so that a report
    costs no more than the keys that it names, however many keys are known.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._scaled_by_key: dict[int, float] = {}
        self._reference_s: float | None = None

    def add(self, counts: Mapping[int, int], now_s: float) -> None:
        if self._reference_s is None:
            self._reference_s = now_s
        elif now_s > self._reference_s + MAX_HALF_LIVES * self._half_life_s:
            self.at(now_s)
        weight = math.log(2) / self._half_life_s / self._decay_until(now_s)
        for key, count in counts.items():
            self._scaled_by_key[key] = self._scaled_by_key.get(key, 0.0) + count * weight

    def at(self, now_s: float) -> dict[int, float]:
        """Return the rates at a time, which becomes the reference unless it lies before it."""
        factor = self._decay_until(now_s)
        if factor < 1.0:
            self._scaled_by_key = {
                key: rate * factor
                for key, rate in self._scaled_by_key.items()
                if rate * factor > NEGLIGIBLE_PER_S
            }
        self._reference_s = max(now_s, self._reference_s or now_s)
        return self._scaled_by_key

    def _decay_until(self, now_s: float) -> float:
        elapsed_s = 0.0 if self._reference_s is None else now_s - self._reference_s
        return math.pow(0.5, max(0.0, elapsed_s) / self._half_life_s)
