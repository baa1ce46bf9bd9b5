"""How busy each key is, from the daemons' reports; old counts fade."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["KeyCounter", "KeyRates"]

# Seconds after which a count weighs half: a short time shows keys that turned hot or cold within a
# second or two, a long one keeps the chance of single requests from moving quiet keys about.
SHORT_HALF_LIFE_S = 1.0
LONG_HALF_LIFE_S = 5.0
# A short-time rate that is this many times the long-time one, and above it by this many requests a
# second, is news; so is one below this part of it.
RISE_FACTOR, RISE_RATE = 2.0, 1.5
FALL_PART = 0.4
# Rates below this many requests a second are dropped.
NEGLIGIBLE = 0.02
# Keys a daemon reports at most at a time; the busiest come first.
REPORTED_KEYS = 300


class KeyCounter:
    """Count this daemon's requests by key until the next report."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def count(self, key: int) -> None:
        """Count a request."""
        self._counts[key] += 1

    def flush(self) -> dict[int, int]:
        """Return the counts since the last report, the busiest keys if there are many."""
        counts = dict(self._counts.most_common(REPORTED_KEYS))
        self._counts.clear()
        return counts


class KeyRates:
    """Requests a second by key."""

    def __init__(self) -> None:
        self._short = _Faded(SHORT_HALF_LIFE_S)
        self._long = _Faded(LONG_HALF_LIFE_S)

    def add(self, counts: Mapping[int, int], now_s: float) -> None:
        """Take a report."""
        self._short.add(counts, now_s)
        self._long.add(counts, now_s)

    def rates(self, now_s: float) -> dict[int, float]:
        """Return the rates now: the long-time ones, but for keys that changed lately."""
        short, long = self._short.at(now_s), self._long.at(now_s)
        rates: dict[int, float] = {}
        for key in short.keys() | long.keys():
            quick, steady = short.get(key, 0.0), long.get(key, 0.0)
            rose = quick > RISE_FACTOR * steady and quick > steady + RISE_RATE
            fell = quick < FALL_PART * steady and steady > RISE_RATE
            rates[key] = quick if rose or fell else steady
        return rates


class _Faded:
    """Rates in which older counts weigh less."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._rate_by_key: dict[int, float] = {}
        self._at_s: float | None = None

    def add(self, counts: Mapping[int, int], now_s: float) -> None:
        self._fade(now_s)
        for key, count in counts.items():
            rate = self._rate_by_key.get(key, 0.0)
            self._rate_by_key[key] = rate + count * math.log(2) / self._half_life_s

    def at(self, now_s: float) -> dict[int, float]:
        self._fade(now_s)
        return self._rate_by_key

    def _fade(self, now_s: float) -> None:
        if self._at_s is not None and now_s > self._at_s:
            factor = 0.5 ** ((now_s - self._at_s) / self._half_life_s)
            self._rate_by_key = {
                key: rate * factor
                for key, rate in self._rate_by_key.items()
                if rate * factor > NEGLIGIBLE
            }
        self._at_s = now_s
